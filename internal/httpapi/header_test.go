package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/internal/flood"
)

const headerLimit = 16 << 10

// oddHeaders are headers of legal size whose decoding takes many times their size.
var oddHeaders = []struct{ name, lines string }{
	{"short lines of different names", flood.DistinctLines(headerLimit / 5)},
	{"short lines of one name", strings.Repeat("a:b\r\n", headerLimit/5)},
	{"shortest lines", strings.Repeat("a:\n", headerLimit/3)},
	{"continued lines", "a:b\n" + strings.Repeat(" c\n", headerLimit/3)},
	{"a long line", "a: " + strings.Repeat("x", headerLimit) + "\n"},
	{"names that are not canonical", strings.ToUpper(flood.DistinctLines(headerLimit / 5))},
}

// TestHeaderFitsItsReservation checks that decoding a header takes no more memory than is
// counted for it, whatever lines it has.
func TestHeaderFitsItsReservation(t *testing.T) {
	for _, tt := range oddHeaders {
		t.Run(tt.name, func(t *testing.T) {
			text := "GET / HTTP/1.1\nHost: h\n" + tt.lines + "\n"
			reader := bufio.NewReader(strings.NewReader(text))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := http.ReadRequest(reader)
			runtime.ReadMemStats(&after)
			is.New(t).NoErr(err)
			var h headerScan
			h.next([]byte(text))
			used, counted := int64(after.TotalAlloc-before.TotalAlloc), footprint.Header(h.lines, h.bytes)
			t.Logf("%d bytes of %d for %d lines and %d bytes", used, counted, h.lines, h.bytes)
			is.New(t).True(used <= counted+headerLimit)
		})
	}
}

// TestScanFindsTheEnd checks the end of a header that arrives in parts.
func TestScanFindsTheEnd(t *testing.T) {
	tests := []struct {
		name, text  string
		lines, rest int
		ended       bool
	}{
		{"a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\nbody", 3, 4, true},
		{"line feeds only", "GET / HTTP/1.1\nHost: h\n\nbo\n\ndy", 3, 6, true},
		{"no end", "GET / HTTP/1.1\r\nHost: h\r\n\r", 2, 0, false},
		{"a line of spaces", "GET / HTTP/1.1\r\n \r\nHost: h\r\n", 3, 0, false},
		{"two carriage returns", "GET / HTTP/1.1\r\n\r\r\na:b\r\n", 3, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for size := 1; size <= len(tt.text); size++ {
				is := is.New(t)
				var h headerScan
				rest := 0
				for i := 0; i < len(tt.text); i += size {
					rest += len(h.next([]byte(tt.text[i:min(i+size, len(tt.text))])))
				}
				is.Equal(h.ended, tt.ended)
				is.Equal(h.lines, tt.lines)
				is.Equal(rest, tt.rest)
				is.Equal(h.bytes, len(tt.text)-rest)
			}
		})
	}
}

// TestHeadersTogetherExceedMemory: headers of legal size that arrived together took more
// memory than the instance has.
func TestHeadersTogetherExceedMemory(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t, bounded(100), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	const unfinished = "GET / HTTP/1.1\r\nHost: h\r\n"
	header := unfinished + flood.DistinctLines(310) // 32 KiB beyond the usual
	var held []net.Conn
	for range 2 {
		held = append(held, send(t, address, header))
		waitFor(t, func() bool { return s.headers.Used() >= int64(len(held))*30<<10 })
	}
	is.Equal(status(send(t, address, header)), http.StatusServiceUnavailable)
	is.True(s.headers.Used() <= s.headers.Limit())
	is.Equal(status(send(t, address, smallRequest)), http.StatusNoContent) // ordinary ones are served
	for _, c := range held {
		_, err := io.WriteString(c, "\r\n")
		is.NoErr(err)
		is.Equal(status(c), http.StatusNoContent)
	}
	waitFor(t, func() bool { return s.headers.Used() == 0 })
	is.Equal(status(send(t, address, header+"\r\n")), http.StatusNoContent)
}

// TestReadAheadIsCounted: the header of a request that arrived with the one before it was
// decoded without being counted.
func TestReadAheadIsCounted(t *testing.T) {
	lines := flood.DistinctLines(500)
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct{ name, first, rest string }{
		{"after a request", "", smallRequest},
		{"after a body", "", post + "Content-Length: 4\r\n\r\nbody"},
		{"after a chunked body", "", post + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"after two requests", "", smallRequest + smallRequest},
		{"after the rest of a body", post + "Content-Length: 4\r\n\r\nbo", "dy"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, address := startServer(t, bounded(100), func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			c := send(t, address, tt.first)
			_, err := io.WriteString(c, tt.rest+"GET / HTTP/1.1\r\nHost: h\r\n"+lines)
			is.New(t).NoErr(err)
			// The server decodes what it has, and waits for more.
			waitFor(t, func() bool { return s.headers.Used() >= footprint.Header(500, len(lines)) })
		})
	}
}

// TestBodiesAreNotCountedAsHeaders checks that a caller who keeps its connection doesn't
// take memory for headers with what it sends as bodies.
func TestBodiesAreNotCountedAsHeaders(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat(" \n", 40<<10)
	var s *Server
	s, address := startServer(t, bounded(100), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		is.Equal(n, int64(len(body)))
		is.Equal(s.headers.Used(), int64(0))
		w.WriteHeader(http.StatusNoContent)
	})
	c := send(t, address, "")
	for range 5 {
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		is.NoErr(err)
		is.Equal(status(c), http.StatusNoContent)
	}
}
