package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/connection"
	"github.com/lovagecrank/lovagecrank/footprint"
)

// bounded returns bounds of a number of connections, and of 80 KiB for headers.
func bounded(connections int) Bounds {
	return Bounds{Connections: connections, Headers: footprint.NewHeaderBudget(footprint.Limits{InstanceBytes: 800 << 10})}
}

// startServer serves h until the test ends, and returns its address.
func startServer(t *testing.T, bounds Bounds, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerConfig{
		Handler:     h,
		HeaderBytes: headerLimit,
		ReadTime:    time.Minute,
		IdleTime:    time.Minute,
		Bounds:      bounds,
	})
	done := make(chan error)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s, l.Addr().String()
}

// send opens a connection and sends the text.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	return c
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold")
		}
	}
}

// status reads a reply and returns its status, or zero if the connection ends.
func status(c net.Conn) int {
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, reply.Body)
	_ = reply.Body.Close()
	return reply.StatusCode
}

const smallRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// isClosed reports whether the server closes a connection.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.Copy(io.Discard, c)
	return err == nil || !strings.Contains(err.Error(), "timeout")
}

// TestWaitingConnectionsGiveWay: connections without a whole request took all descriptors,
// and no new caller was served.
func TestWaitingConnectionsGiveWay(t *testing.T) {
	tests := []struct{ name, text string }{
		{"nothing sent", ""},
		{"an unfinished header", "GET / HTTP/1.1\r\nHost: h\r\n"},
		{"an unfinished body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"},
		{"kept after a request", smallRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var whole atomic.Int32
			s, address := startServer(t, bounded(3), func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					whole.Add(1)
				}
			})
			first := send(t, address, tt.text)
			waitFor(t, func() bool { return s.Connections().Waiting == 1 })
			time.Sleep(10 * time.Millisecond) // the first has sent its text before others come
			for range 5 {
				is.Equal(status(send(t, address, smallRequest)), http.StatusOK)
				is.True(s.Connections().Waiting+s.Connections().Serving <= 3)
			}
			is.True(isClosed(first))
			is.True(whole.Load() <= 6) // an unfinished one is not served
		})
	}
}

// TestServedConnectionsAreKept checks that a connection whose request is served is not
// closed for a new one, which is refused instead.
func TestServedConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	end := make(chan struct{})
	s, address := startServer(t, bounded(2), func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-end
	})
	served := []net.Conn{send(t, address, smallRequest), send(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")}
	waitFor(t, func() bool { return s.Connections() == connection.Count{Serving: 2, Limit: 2} })
	reply, err := http.ReadResponse(bufio.NewReader(send(t, address, smallRequest)), nil)
	is.NoErr(err)
	is.Equal(reply.StatusCode, http.StatusServiceUnavailable)
	is.True(reply.Header.Get("Retry-After") != "")
	body, err := io.ReadAll(reply.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), `"state":"not_run"`))
	close(end)
	for _, c := range served {
		is.Equal(status(c), http.StatusOK)
	}
	waitFor(t, func() bool {
		return s.Connections().Waiting > 0 && status(send(t, address, smallRequest)) == http.StatusOK
	})
}

// TestAnswerIsSentBeforeConnectionGivesWay: a connection whose request had just been served
// was closed for a new one before its reply was sent.
func TestAnswerIsSentBeforeConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	started, end := make(chan string, 1), make(chan struct{})
	_, address := startServer(t, bounded(1), func(_ http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-end
	})
	stop := make(chan struct{})
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", address); err == nil {
					_ = c.Close()
				}
			}
		})
	}
	defer others.Wait()
	defer close(stop)
	for answered, sent := 0, 0; answered < 200; {
		clients := map[string]net.Conn{} // others may have the place, so that a client is refused
		for len(started) == 0 {
			path := fmt.Sprintf("/%d", sent)
			clients[path] = send(t, address, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			sent++
			time.Sleep(time.Millisecond)
		}
		c := clients[<-started]
		end <- struct{}{}
		if c != nil { // a client of the round before may have come late
			is.Equal(status(c), http.StatusOK)
			answered++
		}
		for _, c := range clients {
			_ = c.Close()
		}
	}
}

// TestUnreadReplyIsGivenUp: a client that read nothing of its reply held it for good.
func TestUnreadReplyIsGivenUp(t *testing.T) {
	written := make(chan error, 1)
	s, address := startServer(t, bounded(2), func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for part := make([]byte, 1<<20); err == nil; {
			_, err = w.Write(part)
		}
		written <- err
	})
	s.writeTime = 50 * time.Millisecond
	send(t, address, smallRequest)
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("the reply is still being written")
	}
}

// TestTrailerIsDropped: the trailer of a request was kept while the request was served.
func TestTrailerIsDropped(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, bounded(2), func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.Equal(string(body), "body")
		is.Equal(len(r.Trailer), 0)
	})
	is.Equal(status(send(t, address, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\na:b\r\nc:d\r\n\r\n")), http.StatusOK)
}

// TestBodiesTogetherExceedMemory: bodies below the limit took more memory together than the
// instance has.
func TestBodiesTogetherExceedMemory(t *testing.T) {
	is := is.New(t)
	bounds := bounded(100)
	bounds.Bodies = footprint.NewBudget(footprint.Limits{InstanceBytes: 1200 << 10}) // 225 KiB for bodies that arrive
	s, address := startServer(t, bounds, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			writeError(w, r, nil, err)
		}
	})
	const header = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"
	first := send(t, address, header+strings.Repeat(" ", 59000))
	waitFor(t, func() bool { return bounds.Bodies.Used() >= 3*59000 })
	is.Equal(status(send(t, address, header+strings.Repeat(" ", 60000))), http.StatusServiceUnavailable)
	is.Equal(status(send(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")), http.StatusOK) // a small one is served
	_, err := io.WriteString(first, strings.Repeat(" ", 1000))
	is.NoErr(err)
	is.Equal(status(first), http.StatusOK)
	waitFor(t, func() bool { return s.Connections().Serving == 0 && bounds.Bodies.Used() == 0 })
}

// TestRefusalOfUnreadBodyArrives: the reply to a request whose body was not read was lost, as
// unread bytes reset the connection.
func TestRefusalOfUnreadBodyArrives(t *testing.T) {
	_, address := startServer(t, bounded(10), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	for range 50 {
		reply, err := http.Post("http://"+address, "", strings.NewReader(strings.Repeat(" ", 300_000)))
		is.New(t).NoErr(err)
		is.New(t).Equal(reply.StatusCode, http.StatusRequestEntityTooLarge)
		_ = reply.Body.Close()
	}
}

// BenchmarkRequest measures a request on a kept connection, with the limits and with the
// server of net/http alone.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	body := strings.Repeat("x", 600)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	servers := []struct {
		name  string
		serve func(net.Listener) error
	}{
		{"limits", NewServer(ServerConfig{Handler: handler, HeaderBytes: headerLimit, ReadTime: time.Minute, IdleTime: time.Minute}).Serve},
		{"alone", (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}).Serve},
	}
	for _, s := range servers {
		b.Run(s.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.serve(l) }()
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(c, request)
				reply, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, reply.Body)
			}
		})
	}
}
