package httpapi

import (
	"errors"
	"io"
	"net/http"

	"github.com/lovagecrank/lovagecrank/fault"
)

const (
	// bodyFactor is what a byte of a body takes: the text, and the values that are decoded
	// from it. It is reserved in steps of bodyStep bytes.
	bodyFactor = 3
	bodyStep   = 16 << 10
)

// requestBody is the body of a request on a connection.
type requestBody struct {
	io.ReadCloser
	// ended means that the body has been read whole.
	ended   bool
	conn    *conn
	request *http.Request
	// size is the number of bytes that have arrived, and reserved what is reserved
	// for them.
	size, reserved int64
}

// Read implements [io.Reader]. With the end of the body the request has been read whole.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	if f := b.reserve(); f != nil {
		return 0, f
	}
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil // nobody reads it, and it may be as large as a header
		b.ended = true
		if !b.conn.entry.Serve() {
			return 0, errRefused
		}
	}
	return n, err
}

// reserve reserves memory for what has arrived.
func (b *requestBody) reserve() error {
	bodies, needed := b.conn.server.bodies, bodyFactor*b.size
	if bodies == nil || needed <= b.reserved {
		return nil
	}
	needed = (needed + bodyStep - 1) / bodyStep * bodyStep
	if !bodies.ReserveArriving(needed-b.reserved, b.size) {
		return fault.New(fault.QueueFull, "the bodies of requests take %d of %d bytes", bodies.Used(), bodies.Limit()).WithRetryAfter(refusalRetryAfter)
	}
	b.reserved = needed
	return nil
}

// release returns what is reserved when the request has been answered.
func (b *requestBody) release() {
	if b.reserved > 0 {
		b.conn.server.bodies.Release(b.reserved)
	}
}
