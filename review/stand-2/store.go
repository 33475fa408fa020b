package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store is a stand-in for the platform's store: tables with versions, a feed of
	// changes and conditional transactions.
	store struct {
		mu      sync.Mutex
		ver     uint64
		rows    map[rowKey]storeRow
		changed chan struct{}
		started time.Time
		// busy refuses the calls of the instances, and silent leaves them unanswered.
		busy, silent bool
	}

	rowKey struct{ table, part, key string }

	storeRow struct {
		Table     string `json:"table"`
		Part      string `json:"part"`
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Ver       uint64 `json:"ver"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	rowsReply struct {
		Rows      []storeRow `json:"rows"`
		Truncated bool       `json:"truncated"`
		Ver       uint64     `json:"ver"`
		NowMs     int64      `json:"nowMs"`
	}
)

const maxRows = 500

func newStore() *store {
	return &store{rows: map[rowKey]storeRow{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row in the unnamed part of a table, as the operator and the workers do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Value: value})
	s.notify()
}

// remove removes a row in the unnamed part of a table.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Tombstone: true})
	s.notify()
}

func (s *store) write(r storeRow) {
	r.Ver = s.ver
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the answer time on the users' sheets
	s.mu.Lock()
	busy, silent := s.busy, s.silent
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
		return
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	reply := rowsReply{Rows: []storeRow{}, Ver: s.ver, NowMs: s.nowMs()}
	for _, row := range s.rows {
		if row.Tombstone || row.Table != q.Get("table") || row.Part != q.Get("part") || row.Key < q.Get("from") {
			continue
		}
		if end := q.Get("target"); end != "" && row.Key >= end {
			continue
		}
		reply.Rows = append(reply.Rows, row)
	}
	s.mu.Unlock()
	slices.SortFunc(reply.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if len(reply.Rows) > limit {
		reply.Rows, reply.Truncated = reply.Rows[:limit], true
	}
	writeReply(w, http.StatusOK, reply)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		reply := rowsReply{Rows: []storeRow{}, Ver: s.ver, NowMs: s.nowMs()}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Ver > after {
				reply.Rows = append(reply.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Rows) > 0 || wait == 0 {
			slices.SortFunc(reply.Rows, func(a, b storeRow) int { return int(a.Ver) - int(b.Ver) })
			writeReply(w, http.StatusOK, reply)
			return
		}
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
	var t struct {
		ExpectedRev []storeRow `json:"expectedRev"`
		Puts        []storeRow `json:"puts"`
		Remove      []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(t.Puts, t.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []storeRow{}
	met := true
	for _, e := range t.ExpectedRev {
		row := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if row.Tombstone {
			row = storeRow{}
		}
		met = met && row.Ver == e.Ver
		if row.Ver > 0 {
			current = append(current, row)
		}
	}
	if !met {
		writeReply(w, http.StatusPreconditionFailed, rowsReply{Rows: current, Ver: s.ver, NowMs: s.nowMs()})
		return
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range t.Remove {
		s.write(storeRow{Table: d.Table, Part: d.Part, Key: d.Key, Tombstone: true})
	}
	s.notify()
	writeReply(w, http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.nowMs()})
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func writeReply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
