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
	// keptBytes is how large a row must be to be kept for the next read.
	keptBytes = 1024
	// maxKept bounds the rows that are kept.
	maxKept = 16
)

type (
	// keptRows are the last large rows that were read, so that one that is
	// read over and over crosses the network only when it has changed. The
	// zero value is empty.
	keptRows struct {
		mu   sync.Mutex
		rows map[string]keptRow
	}

	keptRow struct {
		tag string
		row storage.Row
	}
)

// getRow reads one row. The platform's entity tag tells whether it is the one
// that is kept; a version would not, since a row may expire and come anew.
func (c *Client) getRow(ctx context.Context, call storage.Call) storage.Reply {
	key := call.Get[0]
	failed := storage.Reply{Number: call.Number, Fate: storage.NotApplied}
	kept := c.kept.find(key)
	res := c.send(ctx, request{method: http.MethodGet, path: "/v1/table/rows/" + url.PathEscape(key), tag: kept.tag})
	if res.fate != storage.Done {
		return failed
	}
	if res.status == http.StatusNotModified && kept.tag != "" {
		return storage.Reply{Number: call.Number, Rows: []storage.Row{kept.row}}
	}
	var w wireRow
	if res.status != http.StatusOK || json.Unmarshal(res.body, &w) != nil || w.Key != key {
		return failed
	}
	row := storage.Row{Key: w.Key, Value: w.Value, Version: w.Version}
	c.kept.keep(keptRow{tag: res.tag, row: row})
	return storage.Reply{Number: call.Number, Rows: []storage.Row{row}}
}

func (k *keptRows) find(key string) keptRow {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rows[key]
}

// keep takes a row that was read in the place of the one that was kept.
func (k *keptRows) keep(r keptRow) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rows, r.row.Key)
	if r.tag == "" || len(r.row.Value) < keptBytes || len(k.rows) >= maxKept {
		return
	}
	if k.rows == nil {
		k.rows = map[string]keptRow{}
	}
	k.rows[r.row.Key] = r
}
