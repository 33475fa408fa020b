package flood

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

const (
	// attempts is how often a client connects again after its connection was closed.
	attempts = 3
	// dialTimeout limits how long a client waits for a connection, and sendTimeout how
	// long one that is not read sends.
	dialTimeout = 5 * time.Second
	sendTimeout = 5 * time.Second
	// dialers is the number of connections that are opened at the same time, so that
	// the listener's queue does not overflow.
	dialers = 64
)

// Hold opens a number of connections of the kind and returns when all have sent what
// they could. They stay open, and clients whose connections are closed connect again
// up to two times, until the test ends.
func Hold(t testing.TB, address netip.AddrPort, target Target, kind Kind, connections int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clients, sending sync.WaitGroup
	slots := make(chan struct{}, dialers)
	for i := range connections {
		sending.Add(1)
		clients.Go(func() {
			sent := sync.OnceFunc(sending.Done)
			defer sent()
			request := kind.Request(target, i)
			for range attempts {
				slots <- struct{}{}
				conn := connect(ctx, address, request)
				<-slots
				if conn == nil {
					continue
				}
				sent()
				wait(ctx, conn, kind.Unread)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		clients.Wait()
	})
	sending.Wait()
}

// connect opens a connection and sends the request as far as the server reads it.
func connect(ctx context.Context, address netip.AddrPort, request []string) net.Conn {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	for _, part := range request {
		if _, err := io.WriteString(conn, part); err != nil {
			break // the server has refused the request, or reads no more
		}
	}
	return conn
}

// wait waits until the server closes the connection, or ctx ends, and closes it. If
// unread is set it reads nothing, and waits for ctx only.
func wait(ctx context.Context, conn net.Conn, unread bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	if unread {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// Status sends one request of the kind and returns the status of the reply.
func Status(t testing.TB, address netip.AddrPort, target Target, kind Kind) int {
	t.Helper()
	conn := connect(t.Context(), address, kind.Request(target, 1<<34))
	if conn == nil {
		t.Fatal("no connection")
	}
	defer conn.Close()
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = reply.Body.Close()
	return reply.StatusCode
}
