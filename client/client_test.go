package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReplyErr(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		// want is nil for a reply without an error.
		want *Error
	}{
		{"done", http.StatusOK, `{"state":"complete"}`, nil},
		{"refused", http.StatusTooManyRequests,
			`{"state":"not_run","error":{"code":"LC1007","kind":"over_quota","reason":"r","remedy":"m","retry_after_ms":1500}}`,
			&Error{Status: 429, Code: "LC1007", Kind: "over_quota", Reason: "r", Remedy: "m", RetryAfter: 1500 * time.Millisecond}},
		{"failed job", http.StatusOK, `{"state":"failed","error":{"kind":"task_failed"}}`, &Error{Status: 200, Kind: "task_failed"}},
		{"not an instance", http.StatusBadGateway, "bad gateway\n", &Error{Status: 502, Reason: "bad gateway"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer server.Close()
			reply, err := Client{Base: server.URL}.Call(context.Background(), http.MethodGet, "/", nil, nil)
			is.NoErr(err)
			var got *Error
			is.Equal(errors.As(reply.Err(), &got), tt.want != nil)
			is.Equal(got, tt.want)
		})
	}
}

func TestCallErrors(t *testing.T) {
	is := is.New(t)
	_, err := Client{Base: "http://127.0.0.1:1"}.Call(context.Background(), http.MethodGet, "/", nil, nil)
	is.True(err != nil) // nothing listens on this port
	_, err = Client{Base: "http://not an address"}.Call(context.Background(), http.MethodGet, "/", nil, nil)
	is.True(err != nil)
}

func TestUnusableFiles(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.pem")
	for _, f := range []Files{{Authority: missing}, {Certificate: missing}, {Certificate: missing, Key: missing}} {
		_, err := New("127.0.0.1:1", f)
		is.New(t).True(err != nil)
	}
}
