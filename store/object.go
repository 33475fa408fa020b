package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/lovagecrank/lovagecrank/storage"
)

const objectPath = "/v1/objects/"

// PutObject replaces an object. It may be repeated while the fate is not Done.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) storage.Fate {
	res := c.send(ctx, request{method: http.MethodPut, path: objectPath + url.PathEscape(key), body: data})
	if res.fate == storage.Done && res.status != http.StatusOK {
		return storage.Doubtful
	}
	return res.fate
}

// GetObject returns an object, and whether there is one.
func (c *Client) GetObject(ctx context.Context, key string) (data []byte, found bool, err error) {
	res := c.send(ctx, request{method: http.MethodGet, path: objectPath + url.PathEscape(key)})
	if res.fate != storage.Done {
		return nil, false, fmt.Errorf("platform's object store is out of reach: %w", res.err)
	}
	return res.body, res.status == http.StatusOK, nil
}
