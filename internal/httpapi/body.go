package httpapi

import (
	"errors"
	"io"
)

// requestBody is the body of a request on a connection.
type requestBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements [io.Reader]. With the end of the body the request has been read whole.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if !b.conn.entry.Serve() {
			return 0, errRefused
		}
	}
	return n, err
}
