package caller

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/internal/httpapi"
)

// TestIncompleteBodyClosesConnection checks that the server closes a connection on
// which only a part of the body arrives. Otherwise such callers would hold
// connections forever.
func TestIncompleteBodyClosesConnection(t *testing.T) {
	is := is.New(t)
	limits := Limits{
		BodyBytes: 1 << 20, TasksPerJob: 10, PayloadBytes: 1 << 10, HeaderBytes: 1 << 14,
		IdleTime: time.Minute, ReadTime: 50 * time.Millisecond, WaitTime: time.Minute,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(NewHandler(Config{Limits: limits}), limits, httpapi.Bounds{}, nil, nil)
	go func() { _ = server.Serve(l) }()
	defer server.Close()

	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{\"class\":")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err = io.ReadAll(conn)
	is.NoErr(err) // the server closes the connection
}
