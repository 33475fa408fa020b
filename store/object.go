package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/lovagecrank/lovagecrank/storage"
)

const objectPath = "/v1/objects/"

// PutObject creates or replaces an object. The caller may retry until the outcome
// is Done, because the operation is idempotent.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) storage.Outcome {
	res := c.send(ctx, request{method: http.MethodPut, path: objectPath + url.PathEscape(key), body: data})
	if res.outcome == storage.Done && res.status != http.StatusOK {
		return storage.Unknown
	}
	return res.outcome
}

// GetObject returns the data of an object and reports whether the object exists.
func (c *Client) GetObject(ctx context.Context, key string) (data []byte, found bool, err error) {
	res := c.send(ctx, request{method: http.MethodGet, path: objectPath + url.PathEscape(key)})
	if res.outcome != storage.Done {
		return nil, false, fmt.Errorf("request to the platform's object store failed: %w", res.err)
	}
	return res.body, res.status == http.StatusOK, nil
}
