package httpapi

import (
	"errors"
	"io"
	"net/http"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/footprint"
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
	// size is the number of bytes that have arrived, for which arrival reserves.
	size    int64
	arrival footprint.Arrival
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
	steps := (bodyFactor*b.size + bodyStep - 1) / bodyStep
	if !b.arrival.Grow(steps*bodyStep, b.size) {
		bodies := b.arrival.Budget
		return fault.New(fault.QueueFull, "the bodies of requests take %d of %d bytes", bodies.Used(), bodies.Limit()).WithRetryAfter(refusalRetryAfter)
	}
	return nil
}
