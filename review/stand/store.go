package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. It has no faults.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/rows-get", s.get)
	mux.HandleFunc("/api/rows-feed", s.feed)
	mux.HandleFunc("/api/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: value})
}

// write stores a row under the present version. The caller holds s.mu.
func (s *store) write(r row) {
	r.Ver = s.ver
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, rows []row) {
	out := map[string]any{"rows": append([]row{}, rows...), "truncated": false, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds()}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Tombstone && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || wait == 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.reply(w, rows)
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

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ ExpectedRev, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectedRev {
		old := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if old.Tombstone {
			old.Ver = 0
		}
		if old.Ver != e.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": []row{old}})
			return
		}
	}
	for _, p := range append(t.Puts, t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range t.Remove {
		s.write(row{Table: d.Table, Part: d.Part, Key: d.Key, Tombstone: true})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"ver": s.ver, "nowMs": time.Since(s.started).Milliseconds()})
}
