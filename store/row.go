package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"

	"github.com/lovagecrank/lovagecrank/storage"
)

const (
	// minCachedBytes is the minimum size of a cached row's value in bytes.
	minCachedBytes = 1024
	// maxCachedRows limits the number of cached rows.
	maxCachedRows = 16
)

type (
	// rowCache caches large rows with their ETags, so that a row that is read
	// repeatedly is transferred only when it has changed. The zero value is an
	// empty cache.
	rowCache struct {
		mu   sync.Mutex
		rows map[string]cachedRow
	}

	cachedRow struct {
		etag string
		row  storage.Row
	}
)

// getRow reads one row. A cached row is validated by its ETag and not by its
// version, because a row may expire and be created again.
func (c *Client) getRow(ctx context.Context, call storage.Call) storage.Reply {
	key := call.Get[0]
	failed := storage.Reply{Number: call.Number, Outcome: storage.NotApplied}
	cached := c.cache.get(key)
	res := c.send(ctx, request{method: http.MethodGet, path: "/v1/table/rows/" + url.PathEscape(key), etag: cached.etag})
	if res.outcome != storage.Done {
		return failed
	}
	if res.status == http.StatusNotModified && cached.etag != "" {
		return storage.Reply{Number: call.Number, Rows: []storage.Row{cached.row}}
	}
	var w wireRow
	if res.status != http.StatusOK || json.Unmarshal(res.body, &w) != nil || w.Key != key {
		return failed
	}
	row := storage.Row{Key: w.Key, Value: w.Value, Version: w.Version}
	c.cache.put(cachedRow{etag: res.etag, row: row})
	return storage.Reply{Number: call.Number, Rows: []storage.Row{row}}
}

// get returns the cached row with the key, or the zero value if there is none.
func (c *rowCache) get(key string) cachedRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key]
}

// put removes the cached row with the key of r. It caches r only if r has an
// ETag and a large value and the cache is not full.
func (c *rowCache) put(r cachedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rows, r.row.Key)
	if r.etag == "" || len(r.row.Value) < minCachedBytes || len(c.rows) >= maxCachedRows {
		return
	}
	if c.rows == nil {
		c.rows = map[string]cachedRow{}
	}
	c.rows[r.row.Key] = r
}
