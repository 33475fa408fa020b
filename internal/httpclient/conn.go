package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// readBufferBytes is the size of a connection's read buffer: the header and the
// body of a usual response.
const readBufferBytes = 2 << 10

// errTooLarge is the error for a response whose body exceeds the limit.
var errTooLarge = errors.New("the response is too large")

// conn is one connection. One goroutine at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// request is the buffer in which requests are encoded.
	request []byte
	// reusable reports whether another request can be sent after the last one.
	reusable  bool
	idleSince time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

func (c *conn) close() { _ = c.Close() }

// alive reports whether an idle connection is still open and has no data. A request
// on one that the host has closed would be lost without an answer. It sets the deadline,
// since that of the last request would fail the check.
func (c *conn) alive(deadline time.Time) bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 || c.SetDeadline(deadline) != nil {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr = syscall.Read(int(fd), b[:])
		return true // never wait for data
	})
	return err == nil && (errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EINTR))
}

// exchange sends a request and reads its response before the connection's deadline, or
// until the context ends. After an error the connection must be closed.
func (c *conn) exchange(ctx context.Context, r Request, maxBody int64) (Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(0, 1)) })
	c.request = appendRequest(c.request[:0], r)
	_, err := c.Write(c.request)
	var resp Response
	if err == nil {
		resp, err = c.readResponse(r.Method, maxBody)
	}
	if !stop() {
		c.reusable = false // the deadline is or will be in the past
		if err != nil {
			err = ctx.Err()
		}
	}
	if err != nil {
		return Response{}, fmt.Errorf("%s %s: %w", r.Method, r.Path, err)
	}
	return resp, nil
}

// readResponse reads the final response to a request with the given method.
func (c *conn) readResponse(method string, maxBody int64) (Response, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 { // informational
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := readBody(resp, maxBody)
	if err != nil {
		return Response{}, err
	}
	c.reusable = !resp.Close
	return Response{Status: resp.StatusCode, Body: body}, nil
}

// readBody reads the whole body of a response.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	switch {
	case resp.ContentLength > limit:
		return nil, errTooLarge
	case resp.ContentLength >= 0:
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
	}
	return body, err
}
