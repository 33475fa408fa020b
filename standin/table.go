package standin

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// tableRow is a row as it is encoded in replies; version 0 means that the row
	// does not exist.
	tableRow struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"version"`
	}

	// tableWrite sets a row if its current version is Version.
	tableWrite struct {
		Key        string `json:"key"`
		Version    uint64 `json:"version"`
		Value      []byte `json:"value"`
		LifetimeMS int64  `json:"lifetime_ms"`
	}

	storedRow struct {
		tableRow
		// expires is the time when the row expires; zero means never.
		expires time.Time
	}

	// table holds the rows of the transactional table and the object store.
	table struct {
		mu      sync.Mutex
		rows    map[string]storedRow
		objects map[string][]byte
		// replica is a copy of the rows for stale reads. Later writes do not
		// change it.
		replica      map[string]storedRow
		transactions uint64
		rowsWritten  uint64
	}
)

func newTable() *table {
	return &table{rows: make(map[string]storedRow), objects: make(map[string][]byte)}
}

// snapshotReplica copies the rows for stale reads.
func (t *table) snapshotReplica() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica = maps.Clone(t.rows)
}

func (t *table) counts() (transactions, rowsWritten uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.transactions, t.rowsWritten
}

func (t *table) rowsToRead(stale bool) map[string]storedRow {
	if stale {
		return t.replica
	}
	return t.rows
}

func (t *table) get(now time.Time, keys []string, stale bool) []tableRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]tableRow, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, readRow(t.rowsToRead(stale), now, k))
	}
	return rows
}

// readRow returns the row with the key. Its version is 0 if it does not exist or
// has expired.
func readRow(source map[string]storedRow, now time.Time, key string) tableRow {
	r, ok := source[key]
	if !ok || r.expired(now) {
		return tableRow{Key: key}
	}
	return r.tableRow
}

func (r storedRow) expired(now time.Time) bool {
	return !r.expires.IsZero() && now.After(r.expires)
}

// scan returns at most q.Limit rows in the order of their keys, and whether there
// are more.
func (t *table) scan(now time.Time, q scanRequest, stale bool) ([]tableRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	source := t.rowsToRead(stale)
	rows := []tableRow{}
	for _, k := range slices.Sorted(maps.Keys(source)) {
		if !strings.HasPrefix(k, q.Prefix) || k <= q.After || source[k].expired(now) {
			continue
		}
		if len(rows) == q.Limit {
			return rows, true
		}
		rows = append(rows, source[k].tableRow)
	}
	return rows, false
}

// applyWrites applies each write whose row has the expected version. It returns
// the rows afterwards, and which writes were applied.
func (t *table) applyWrites(now time.Time, writes []tableWrite) ([]tableRow, []bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transactions++
	rows := make([]tableRow, len(writes))
	applied := make([]bool, len(writes))
	for i, w := range writes {
		applied[i] = t.apply(now, w)
	}
	for i, w := range writes {
		rows[i] = readRow(t.rows, now, w.Key)
	}
	return rows, applied
}

func (t *table) apply(now time.Time, w tableWrite) bool {
	if readRow(t.rows, now, w.Key).Version != w.Version {
		return false
	}
	// Continue the version of an expired row, so that a write that expects an
	// old version can never match the new row.
	next := storedRow{tableRow: tableRow{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}}
	if w.LifetimeMS > 0 {
		next.expires = now.Add(milliseconds(w.LifetimeMS))
	}
	t.rows[w.Key] = next
	t.rowsWritten++
	return true
}

func (t *table) object(key string) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body, ok := t.objects[key]
	return body, ok
}

func (t *table) setObject(key string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.objects[key] = body
	t.transactions++
	t.rowsWritten++
}
