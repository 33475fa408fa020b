package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testConfig = Config{MaxConnsPerHost: 2, ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxBodyBytes: 1 << 10}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// countingServer counts the connections that it accepts.
func countingServer(t *testing.T, h http.HandlerFunc) (s *httptest.Server, opened *atomic.Int64) {
	opened = new(atomic.Int64)
	s = httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s, opened
}

func TestExchange(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s %s %s", r.Method, r.RequestURI, r.Header.Get("Expected"), r.Header.Get("Content-Type"), body)
	}
	tests := []struct {
		name    string
		request Request
		handler http.HandlerFunc
		status  int
		body    string
	}{
		{"POST with a body", Request{Method: "POST", Path: "/a?b=c", Body: []byte("{}"), Header: []Field{{"Expected", "w-1"}}}, echo, 200, "POST /a?b=c w-1 application/json {}"},
		{"GET", Request{Method: "GET", Path: "/"}, echo, 200, "GET /   "},
		{"chunks", Request{Method: "GET", Path: "/"}, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "one,")
			w.(http.Flusher).Flush()
			fmt.Fprint(w, "two")
		}, 200, "one,two"},
		{"an informational response first", Request{Method: "GET", Path: "/"}, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusConflict)
		}, 409, ""},
		{"a redirect is not followed", Request{Method: "POST", Path: "/", Body: []byte("{}")}, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, 307, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, opened := countingServer(t, tt.handler)
			c := New(testConfig)
			tt.request.Address, tt.request.Timeout = addressOf(s), time.Second
			for range 3 {
				resp, err := c.Do(t.Context(), tt.request)
				is.NoErr(err)
				is.Equal(resp.Status, tt.status)
				is.Equal(string(resp.Body), tt.body)
			}
			is.Equal(opened.Load(), int64(1)) // the connection is used again
		})
	}
}

// Guards against a request that is lost on a connection which the host has closed:
// its outcome would be unknown, though it was never received.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	s, opened := countingServer(t, func(http.ResponseWriter, *http.Request) {})
	c := New(testConfig)
	r := Request{Method: "POST", Address: addressOf(s), Path: "/", Body: []byte("{}"), Timeout: time.Second}
	for range 3 {
		_, err := c.Do(t.Context(), r)
		is.NoErr(err)
		s.CloseClientConnections()
	}
	is.Equal(opened.Load(), int64(3))
}

// Guards against a new connection for each request after a pause: the deadline of the
// last request made the check of the connection fail.
func TestIdleLongerThanTimeout(t *testing.T) {
	is := is.New(t)
	s, opened := countingServer(t, func(http.ResponseWriter, *http.Request) {})
	c := New(testConfig)
	for range 3 {
		_, err := c.Do(t.Context(), Request{Method: "GET", Address: addressOf(s), Path: "/", Timeout: 50 * time.Millisecond})
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(opened.Load(), int64(1))
}

func TestNotReusable(t *testing.T) {
	is := is.New(t)
	s, opened := countingServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	c := New(testConfig)
	for range 2 {
		_, err := c.Do(t.Context(), Request{Method: "GET", Address: addressOf(s), Path: "/", Timeout: time.Second})
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int64(2))
}

func TestErrors(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	tests := []struct {
		name    string
		handler http.HandlerFunc
		request Request
		// leave reports that the caller's context ends soon.
		leave bool
		want  error
	}{
		{"no answer in time", hang, Request{Path: "/", Timeout: 30 * time.Millisecond}, false, context.DeadlineExceeded},
		{"the context ends", hang, Request{Path: "/", Timeout: time.Minute}, true, context.Canceled},
		{"a body that is too large", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("x", 2000)) }, Request{Path: "/", Timeout: time.Second}, false, errTooLarge},
		{"too large in chunks", func(w http.ResponseWriter, _ *http.Request) {
			for range 20 {
				fmt.Fprint(w, strings.Repeat("x", 100))
				w.(http.Flusher).Flush()
			}
		}, Request{Path: "/", Timeout: time.Second}, false, errTooLarge},
		{"a header field with a line break", hang, Request{Path: "/", Header: []Field{{"A", "b\r\nC: d"}}, Timeout: time.Second}, false, errInvalidRequest},
		{"a path with a space", hang, Request{Path: "/a b", Timeout: time.Second}, false, errInvalidRequest},
		{"the connection is closed without a response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Request{Path: "/", Timeout: time.Second}, false, io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := countingServer(t, tt.handler)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.leave {
				time.AfterFunc(30*time.Millisecond, cancel)
			}
			tt.request.Method, tt.request.Address = "GET", addressOf(s)
			_, err := New(testConfig).Do(ctx, tt.request)
			is.True(errors.Is(err, tt.want) || tt.want == context.DeadlineExceeded && isTimeout(err))
		})
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	address := addressOf(s)
	s.Close()
	_, err := New(testConfig).Do(t.Context(), Request{Method: "GET", Address: address, Path: "/", Timeout: time.Second})
	var opErr *net.OpError
	is.True(errors.As(err, &opErr))
	is.Equal(opErr.Op, "dial")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	var current, most atomic.Int64
	s, _ := countingServer(t, func(http.ResponseWriter, *http.Request) {
		if n := current.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(20 * time.Millisecond)
		current.Add(-1)
	})
	c := New(testConfig)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			if _, err := c.Do(t.Context(), Request{Method: "GET", Address: addressOf(s), Path: "/", Timeout: 5 * time.Second}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.True(most.Load() <= int64(testConfig.MaxConnsPerHost))
	_, err := c.Do(t.Context(), Request{Method: "GET", Address: addressOf(s), Path: "/", Timeout: time.Second})
	is.NoErr(err)
}

// Connections that are not used are closed, and their hosts forgotten.
func TestIdleTimeout(t *testing.T) {
	is := is.New(t)
	s, _ := countingServer(t, func(http.ResponseWriter, *http.Request) {})
	cfg := testConfig
	cfg.IdleTimeout = 20 * time.Millisecond
	c := New(cfg)
	_, err := c.Do(t.Context(), Request{Method: "GET", Address: addressOf(s), Path: "/", Timeout: time.Second})
	is.NoErr(err)
	hosts := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.hosts)
	}
	for range 200 {
		if hosts() == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("the connection is still open")
}

func BenchmarkDo(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, `{"clockMs":12.5}`)
	}))
	defer s.Close()
	c := New(testConfig)
	r := Request{Method: "POST", Address: addressOf(s), Path: "/orders", Body: []byte(`{"order":"5c0e7a21d94b36f8.0.0.1","number":1}`), Timeout: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Do(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
}
