package httpapi

import (
	"errors"
	"io"
	"net/http"
)

// requestBody is the body of a request on a connection.
type requestBody struct {
	io.ReadCloser
	// ended means that the body has been read whole.
	ended   bool
	conn    *conn
	request *http.Request
}

// Read implements [io.Reader]. With the end of the body the request has been read whole.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil // nobody reads it, and it may be as large as a header
		b.ended = true
		if !b.conn.entry.Serve() {
			return 0, errRefused
		}
	}
	return n, err
}
