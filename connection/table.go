package connection

import (
	"sync"
	"sync/atomic"
	"time"
)

// The states of an entry that are not a time of day.
const (
	serving = 0
	removed = -1
)

type (
	// Table holds the connections of a listener, at most a limit of them. It is safe for
	// concurrent use.
	Table[C any] struct {
		limit int

		mu      sync.Mutex
		entries []*Entry[C]
	}

	// Entry is a connection in a table. Serve and Wait take no lock, since they are on
	// the path of each request.
	Entry[C any] struct {
		Conn C
		// index is the position in the table's list, guarded by its lock.
		index int
		// state is since when the connection waits for a whole request, in nanoseconds
		// since 1970, or serving or removed.
		state atomic.Int64
	}

	// Count has the numbers of connections by state, and their limit.
	Count struct{ Waiting, Serving, Limit int }
)

// NewTable returns an empty table for a number of connections, which is at least 1.
func NewTable[C any](limit int) *Table[C] { return &Table[C]{limit: max(limit, 1)} }

// Add adds a connection that waits for its first request since now. If the table is full,
// it removes the connection that has waited longest at now and returns its entry as
// displaced. If none waits, it adds nothing and returns a nil entry.
func (t *Table[C]) Add(now time.Time, conn C) (e, displaced *Entry[C]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= t.limit {
		displaced = t.displace(now)
		if displaced == nil {
			return nil, nil
		}
	}
	e = &Entry[C]{Conn: conn, index: len(t.entries)}
	e.state.Store(now.UnixNano())
	t.entries = append(t.entries, e)
	return e, displaced
}

// displace removes the entry that has waited longest at now and returns it, or nil if
// none waits. An entry may begin to serve meanwhile, and then the search starts again. The
// caller holds t.mu.
func (t *Table[C]) displace(now time.Time) *Entry[C] {
	for {
		var longest *Entry[C]
		since := now.UnixNano() + 1
		for _, e := range t.entries {
			if s := e.state.Load(); s != serving && s < since {
				longest, since = e, s
			}
		}
		if longest == nil {
			return nil
		}
		if longest.state.CompareAndSwap(since, removed) {
			t.delete(longest)
			return longest
		}
	}
}

// delete takes an entry out of the list. The caller holds t.mu.
func (t *Table[C]) delete(e *Entry[C]) {
	last := len(t.entries) - 1
	t.entries[e.index] = t.entries[last]
	t.entries[e.index].index = e.index
	t.entries[last] = nil
	t.entries = t.entries[:last]
}

// Remove removes the entry of a connection that is closed. It does nothing for one that
// was removed before.
func (t *Table[C]) Remove(e *Entry[C]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state.Swap(removed) != removed {
		t.delete(e)
	}
}

// Limit returns the maximum number of connections.
func (t *Table[C]) Limit() int { return t.limit }

// Count returns the numbers of connections.
func (t *Table[C]) Count() Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Count{Limit: t.limit}
	for _, e := range t.entries {
		if e.state.Load() == serving {
			c.Serving++
		} else {
			c.Waiting++
		}
	}
	return c
}

// Serve marks that the connection's request has been read whole and is served. It returns
// false if the connection has been removed, so that the request must not be served.
func (e *Entry[C]) Serve() (ok bool) {
	for {
		since := e.state.Load()
		if since == removed {
			return false
		}
		if e.state.CompareAndSwap(since, serving) {
			return true
		}
	}
}

// Wait marks that the connection waits for its next request, since a time that may be in
// the future: the connection is kept until then.
func (e *Entry[C]) Wait(start time.Time) {
	for {
		since := e.state.Load()
		if since == removed || e.state.CompareAndSwap(since, start.UnixNano()) {
			return
		}
	}
}
