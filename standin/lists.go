package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
)

type (
	// listEntry is one row of a list. It expires at the given time; the zero
	// time means never.
	listEntry[T any] struct {
		row     T
		expires time.Time
	}

	// laggedList is a list whose readers get a snapshot that may be out of
	// date.
	laggedList[T any] struct {
		rows       map[string]listEntry[T]
		snapshot   []T
		snapshotAt time.Time
	}

	// lists holds the lists of instances and endpoints. Their snapshots are at
	// most lag old.
	lists struct {
		lag time.Duration

		mu        sync.Mutex
		instances laggedList[instanceRow]
		endpoints laggedList[endpointRow]
	}
)

func newLists(lag time.Duration) *lists {
	return &lists{
		lag:       lag,
		instances: laggedList[instanceRow]{rows: make(map[string]listEntry[instanceRow])},
		endpoints: laggedList[endpointRow]{rows: make(map[string]listEntry[endpointRow])},
	}
}

// set adds or replaces a row. It expires after lifetime; zero means never.
func (l *laggedList[T]) set(now time.Time, id string, row T, lifetime time.Duration) {
	e := listEntry[T]{row: row}
	if lifetime > 0 {
		e.expires = now.Add(lifetime)
	}
	l.rows[id] = e
}

// read returns a snapshot of the rows that is at most lag old, in the order of
// their IDs.
func (l *laggedList[T]) read(now time.Time, lag time.Duration) []T {
	if !l.snapshotAt.IsZero() && now.Sub(l.snapshotAt) < lag {
		return l.snapshot
	}
	maps.DeleteFunc(l.rows, func(_ string, e listEntry[T]) bool {
		return !e.expires.IsZero() && now.After(e.expires)
	})
	l.snapshot = make([]T, 0, len(l.rows))
	for _, id := range slices.Sorted(maps.Keys(l.rows)) {
		l.snapshot = append(l.snapshot, l.rows[id].row)
	}
	l.snapshotAt = now
	return l.snapshot
}

func (l *lists) setInstance(now time.Time, r instanceRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lifetime := milliseconds(r.LifetimeMS)
	r.LifetimeMS = 0
	l.instances.set(now, r.ID, r, lifetime)
}

func (l *lists) setEndpoint(now time.Time, r endpointRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lifetime := milliseconds(r.LifetimeMS)
	r.LifetimeMS = 0
	l.endpoints.set(now, r.ID, r, lifetime)
}

func (l *lists) removeInstance(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.instances.rows, id)
}

func (l *lists) removeEndpoint(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.endpoints.rows, id)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (p *Platform) handleListInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	l := p.state.lists
	l.mu.Lock()
	rows := l.instances.read(time.Now(), l.lag)
	l.mu.Unlock()
	writeWithETag(w, r, instanceList{Instances: rows})
}

// handleListEndpoints serves the endpoints of one data centre, or all if the query
// names none.
func (p *Platform) handleListEndpoints(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	l := p.state.lists
	l.mu.Lock()
	rows := l.endpoints.read(time.Now(), l.lag)
	l.mu.Unlock()
	if name := r.URL.Query().Get("data_centre"); name != "" {
		rows = slices.DeleteFunc(slices.Clone(rows), func(e endpointRow) bool { return e.DataCentre != name })
	}
	writeWithETag(w, r, endpointList{Endpoints: rows})
}

// writeWithETag writes v with an entity tag, or status 304 if the request has the
// same tag.
func writeWithETag(w http.ResponseWriter, r *http.Request, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := `"` + strconv.FormatUint(xxhash.Sum64(body), 16) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Ignore the error: a client that has disconnected needs no reply.
	_, _ = w.Write(body)
}

func (p *Platform) handleAnnounceInstance(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var row instanceRow
	if !readBody(w, r, &row) {
		return
	}
	row.ID = ps.ByName("id")
	p.state.lists.setInstance(time.Now(), row)
	p.replyToWrite(w, json.RawMessage("{}"))
}

func (p *Platform) handleAnnounceEndpoint(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var row endpointRow
	if !readBody(w, r, &row) {
		return
	}
	row.ID = ps.ByName("id")
	p.state.lists.setEndpoint(time.Now(), row)
	p.replyToWrite(w, json.RawMessage("{}"))
}
