package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/lovagecrank/lovagecrank/storage"
)

type (
	// Page is a consecutive part of the table, ordered by key.
	Page struct {
		Rows []storage.Row
		// More reports whether more rows follow.
		More bool
	}

	wireRow struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"version"`
	}

	wireWrite struct {
		Key        string  `json:"key"`
		Version    uint64  `json:"version"`
		Value      []byte  `json:"value"`
		LifetimeMS float64 `json:"lifetime_ms,omitempty"`
	}

	wireGet struct {
		Keys []string `json:"keys"`
	}

	wireScan struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}

	wireTransaction struct {
		Writes []wireWrite `json:"writes"`
	}

	wireRows struct {
		Rows    []wireRow `json:"rows"`
		Applied []bool    `json:"applied"`
		More    bool      `json:"more"`
	}
)

// Do executes a call to the table. It never resends a call that may have taken
// effect; such a call has the outcome Unknown.
func (c *Client) Do(ctx context.Context, call storage.Call) storage.Reply {
	if len(call.Insert) > 0 {
		return c.transact(ctx, call)
	}
	return c.get(ctx, call)
}

func (c *Client) get(ctx context.Context, call storage.Call) storage.Reply {
	if len(call.Get) == 1 {
		return c.getRow(ctx, call)
	}
	w, outcome := c.postTable(ctx, "/v1/table/get", wireGet{Keys: call.Get})
	if outcome != storage.Done || !matches(w.Rows, call.Get) {
		// A read never has an effect, so a failed one is NotApplied.
		return storage.Reply{Number: call.Number, Outcome: storage.NotApplied}
	}
	return storage.Reply{Number: call.Number, Rows: rowsOf(w.Rows)}
}

func (c *Client) transact(ctx context.Context, call storage.Call) storage.Reply {
	keys := make([]string, 0, len(call.Insert))
	t := wireTransaction{Writes: make([]wireWrite, 0, len(call.Insert))}
	for _, w := range call.Insert {
		keys = append(keys, w.Key)
		t.Writes = append(t.Writes, wireWrite{
			Key:        w.Key,
			Version:    w.Version,
			Value:      w.Value,
			LifetimeMS: float64(w.Lifetime) / float64(time.Millisecond),
		})
	}
	w, outcome := c.postTable(ctx, "/v1/table/transaction", t)
	if outcome != storage.Done {
		return storage.Reply{Number: call.Number, Outcome: outcome}
	}
	if !matches(w.Rows, keys) || len(w.Applied) != len(keys) {
		return storage.Reply{Number: call.Number, Outcome: storage.Unknown}
	}
	return storage.Reply{Number: call.Number, Rows: rowsOf(w.Rows), Applied: w.Applied}
}

// Scan returns up to limit rows whose keys have the prefix and are greater than
// after.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (Page, error) {
	body, err := json.Marshal(wireScan{Prefix: prefix, After: after, Limit: limit})
	if err != nil {
		return Page{}, err
	}
	var w wireRows
	if err := c.query(ctx, request{method: http.MethodPost, path: "/v1/table/scan", body: body}, &w); err != nil {
		return Page{}, err
	}
	return Page{Rows: rowsOf(w.Rows), More: w.More}, nil
}

// postTable posts v as JSON to the path and returns the rows of the reply.
func (c *Client) postTable(ctx context.Context, path string, v any) (wireRows, storage.Outcome) {
	body, err := json.Marshal(v)
	if err != nil {
		return wireRows{}, storage.NotApplied
	}
	res := c.send(ctx, request{method: http.MethodPost, path: path, body: body})
	if res.outcome != storage.Done {
		return wireRows{}, res.outcome
	}
	var w wireRows
	if res.status != http.StatusOK || json.Unmarshal(res.body, &w) != nil {
		return wireRows{}, storage.Unknown
	}
	return w, storage.Done
}

// matches reports whether a reply has one row for each key, in order.
func matches(rows []wireRow, keys []string) bool {
	if len(rows) != len(keys) {
		return false
	}
	for i, r := range rows {
		if r.Key != keys[i] {
			return false
		}
	}
	return true
}

func rowsOf(rows []wireRow) []storage.Row {
	list := make([]storage.Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, storage.Row{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	return list
}
