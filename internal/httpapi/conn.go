package httpapi

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lovagecrank/lovagecrank/connection"
	"github.com/lovagecrank/lovagecrank/fault"
)

const (
	// refusalRetryAfter is when a refused client may come back.
	refusalRetryAfter = time.Second
	// A refused client gets its reply only if little of what it sends is left unread:
	// the connection is reset otherwise.
	refusalDrainTime  = 10 * time.Millisecond
	refusalDrainBytes = 64 << 10
	// bodyDrainTime and bodyDrainBytes are the same for a client whose body was not read.
	bodyDrainTime  = 500 * time.Millisecond
	bodyDrainBytes = 512 << 10
)

// The states of a request: its header is read, it is served, or it was refused before it
// was served.
const (
	reading int32 = iota
	served
	refused
)

var errRefused = errors.New("the request was refused")

type (
	// conn is a connection of a Server. It knows how far its request has come, and reserves
	// memory for a header before the HTTP server decodes it. The HTTP server never reads
	// from two goroutines at once.
	conn struct {
		net.Conn
		// tcp is the connection beneath TLS, or Conn itself.
		tcp    net.Conn
		server *Server
		// tls is the connection if its handshake has not been done, or nil.
		tls *tls.Conn
		// entry is the place in the server's table.
		entry *connection.Entry[*conn]
		// unread means that a part of the request's body was not read.
		unread atomic.Bool
		state  atomic.Int32
		header
	}

	connKey struct{}
)

// Read implements [io.Reader]. It refuses a request whose header finds no memory.
func (c *conn) Read(p []byte) (int, error) {
	if c.state.Load() == refused {
		return 0, &net.OpError{Op: "read", Err: errRefused} // the HTTP server doesn't reply to it
	}
	if c.tls != nil {
		if err := c.handshake(); err != nil {
			return 0, &net.OpError{Op: "read", Err: err}
		}
		c.tls = nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.countHeader(p[:n], len(p)) {
		return 0, &net.OpError{Op: "read", Err: errRefused}
	}
	return n, err
}

// Write implements [io.Writer]. A client that reads nothing must not hold a reply for good.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.server.writeTime)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// handshake carries out the TLS handshake. The HTTP server has set the time limit for the
// first header, which is that of reading from the client, too.
func (c *conn) handshake() error {
	if err := c.SetWriteDeadline(time.Now().Add(c.server.ReadHeaderTimeout)); err != nil {
		return err
	}
	if err := c.tls.Handshake(); err != nil {
		var plain tls.RecordHeaderError
		if errors.As(err, &plain) && plain.Conn != nil {
			_, _ = io.WriteString(plain.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nThis address serves HTTPS only.\n")
		}
		c.server.ErrorLog.Printf("TLS handshake with %s: %v", c.RemoteAddr(), err)
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// serve marks that the header has been read, and with it the request if it has no body.
// It returns false if the request must not be served.
func (c *conn) serve(contentLength int64) (ok bool) {
	c.contentLength = contentLength
	return c.state.CompareAndSwap(reading, served) && (contentLength != 0 || c.entry.Serve())
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	if c.unread.Swap(false) {
		drain(c.Conn, time.Now().Add(bodyDrainTime), bodyDrainBytes)
	}
	c.releaseHeader(closed)
	c.server.connections.Remove(c.entry)
	return c.Conn.Close()
}

// abort closes the connection without a word to the client, which may not read it.
func (c *conn) abort() { _ = c.tcp.Close() }

// CloseWrite closes the side of the connection that sends. The HTTP server calls it.
func (c *conn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(c net.Conn) error {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// writeRefusal replies with the error, without waiting for the client. The connection is
// of no use afterwards.
func writeRefusal(now time.Time, c net.Conn, f *fault.Error) {
	body := appendFailure(nil, "", f)
	_ = c.SetDeadline(now.Add(refusalDrainTime))
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %d\r\nConnection: close\r\n\r\n%s",
		len(body), retryAfterSeconds(f.RetryAfter), body)
	if err == nil {
		drain(c, now.Add(refusalDrainTime), refusalDrainBytes)
	}
}

// drain reads what a client still sends after its reply, up to a number of bytes: unread
// bytes would reset the connection, and the reply might be lost.
func drain(c net.Conn, end time.Time, limit int64) {
	if closeWrite(c) == nil && c.SetReadDeadline(end) == nil {
		_, _ = io.CopyN(io.Discard, c, limit)
	}
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *conn { return r.Context().Value(connKey{}).(*conn) }

// withConn is the ConnContext of a server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
