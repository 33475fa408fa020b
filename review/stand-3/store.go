package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes to answer, as on the users' sheets.
const storeAnswerTime = 4 * time.Millisecond

// The limits of the pages: how long the history of changes is kept, and how much a reply to
// rows-get has at most.
const (
	historyTime  = 20 * time.Second
	maxReplyRows = 500
	maxReplySize = 1 << 20
)

type (
	// store is a stand-in for the platform's store with its tables of rows.
	store struct {
		server *http.Server

		mu      sync.Mutex
		ver     uint64
		rows    map[string]storeRow
		changed chan struct{}
		// written has the time of each version, for the history.
		written []time.Time
	}

	storeRow struct {
		Table     string `json:"table"`
		Part      string `json:"part"`
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Ver       uint64 `json:"ver"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}
)

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Value: value})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Tombstone: true})
}

// write stores a row under the present version. The caller holds s.mu.
func (s *store) write(r storeRow) {
	r.Ver = s.ver
	for uint64(len(s.written)) <= s.ver {
		s.written = append(s.written, time.Now())
	}
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, rows []storeRow, truncated bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": s.ver, "nowMs": time.Now().UnixMilli()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Tombstone && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	limit, size := maxReplyRows, 0
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	for i, row := range rows {
		if size += len(row.Value); i >= limit || i > 0 && size > maxReplySize {
			s.reply(w, rows[:i], true)
			return
		}
	}
	s.reply(w, rows, false)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if next := after + 1; next < uint64(len(s.written)) && time.Since(s.written[next]) > historyTime {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []storeRow
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || wait == 0 {
			slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Ver) - int(b.Ver) })
			s.reply(w, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	var t struct {
		ExpectedRev []storeRow `json:"expectedRev"`
		Puts        []storeRow `json:"puts"`
		Remove      []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectedRev {
		old := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if old.Tombstone {
			old.Ver = 0
		}
		if old.Ver != e.Ver {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": []storeRow{}, "ver": s.ver, "nowMs": time.Now().UnixMilli()})
			return
		}
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range t.Remove {
		s.write(storeRow{Table: d.Table, Part: d.Part, Key: d.Key, Tombstone: true})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.ver, "nowMs": time.Now().UnixMilli()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies are made here
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
