package httpapi

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/footprint"
)

const (
	// readBufferBytes is the size of the buffer through which the HTTP server reads, and
	// so how much of the next request it may have read with a body.
	readBufferBytes = 4 << 10
	// closed is the reservation of a connection that has been closed.
	closed = -1
)

var newline = []byte{'\n'}

type (
	// header is what a connection knows of the request's header that it reads. Only the
	// goroutine that reads uses it, except for reserved.
	header struct {
		// reserved is the number of bytes that are reserved for it, or closed.
		reserved atomic.Int64
		scan     headerScan
		// body is the number of bytes that were read since the end of the header.
		body int64
		// The HTTP server's buffer holds at most the last bufferBytes that were read, with
		// bufferLines ends of lines.
		bufferBytes, bufferLines int
		// contentLength is the length of the request's body, or negative if not known.
		contentLength int64
	}

	// headerScan counts the lines and the bytes of a header and finds its end.
	headerScan struct {
		lines, bytes int
		// line is the number of bytes of the last line, which has not ended; if that is
		// one, first is the byte.
		line  int
		first byte
		ended bool
	}
)

// next counts the next bytes of the header and returns those after its end.
func (h *headerScan) next(p []byte) (rest []byte) {
	for len(p) > 0 && !h.ended {
		if h.line == 0 {
			h.first = p[0]
		}
		n := bytes.IndexByte(p, '\n')
		if n < 0 {
			h.line += len(p)
			h.bytes += len(p)
			return nil
		}
		h.line += n
		h.bytes += n + 1
		h.lines++
		h.ended = h.line == 0 || h.line == 1 && h.first == '\r'
		h.line = 0
		p = p[n+1:]
	}
	return p
}

// countHeader counts what was read, of at most limit bytes. It returns false if the header
// finds no memory, and the request has been refused.
func (c *conn) countHeader(p []byte, limit int) (ok bool) {
	held := max(readBufferBytes-limit, 0) // the buffer has room for the limit
	c.bufferBytes = min(c.bufferBytes, held) + len(p)
	c.bufferLines = min(c.bufferLines, held) + bytes.Count(p, newline)
	if !c.scan.ended && c.state.Load() == reading {
		p = c.scan.next(p)
		if !c.reserveHeader() && c.state.CompareAndSwap(reading, refused) {
			c.refuse()
			return false
		}
	}
	c.body += int64(len(p))
	return true
}

// reserveHeader reserves what the header takes as far as it has been read.
func (c *conn) reserveHeader() (ok bool) {
	needed := footprint.Header(c.scan.lines, c.scan.bytes)
	for {
		reserved := c.reserved.Load()
		switch {
		case reserved == closed:
			return false
		case needed <= reserved:
			return true
		case !c.server.headers.Reserve(needed - reserved):
			return false
		case c.reserved.CompareAndSwap(reserved, needed):
			return true
		}
		c.server.headers.Release(needed - reserved)
	}
}

// releaseHeader returns what is reserved. The reservation is then zero, or closed for good.
func (c *conn) releaseHeader(next int64) {
	for {
		reserved := c.reserved.Load()
		if reserved == closed {
			return
		}
		if c.reserved.CompareAndSwap(reserved, next) {
			c.server.headers.Release(reserved)
			return
		}
	}
}

// nextRequest prepares for the header of the next request, a part of which may have been
// read with the last one.
func (c *conn) nextRequest() {
	c.entry.Wait(time.Now())
	c.releaseHeader(0)
	ahead := int64(min(c.bufferBytes, readBufferBytes))
	if c.scan.ended && c.contentLength >= 0 {
		ahead = min(ahead, max(c.body-c.contentLength, 0))
	}
	c.scan = headerScan{bytes: int(ahead), lines: min(c.bufferLines, int(ahead))}
	c.body = 0
	c.unread.Store(false)
	c.state.Store(reading)
	if !c.reserveHeader() && c.state.CompareAndSwap(reading, refused) {
		c.refuse()
	}
}

// refuse replies to a request that was not read whole, so that it is certain that nothing
// was run.
func (c *conn) refuse() {
	now := time.Now()
	f := fault.New(fault.QueueFull, "the headers of requests take %d of %d bytes", c.server.headers.Used(), c.server.headers.Limit()).WithRetryAfter(refusalRetryAfter)
	c.server.reportRefusal(now, headerRefused, c.RemoteAddr(), f.Detail)
	writeRefusal(now, c.Conn, f)
}
