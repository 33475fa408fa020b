package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

var errInvalidRequest = errors.New("the path or a header field of the request has characters that HTTP does not allow")

type (
	// Config configures a Client. All fields are required.
	Config struct {
		// MaxConnsPerHost is the maximum number of connections to one address.
		MaxConnsPerHost int
		// ConnectTimeout is the timeout for opening a connection.
		ConnectTimeout time.Duration
		// IdleTimeout is how long an unused connection stays open.
		IdleTimeout time.Duration
		// MaxBodyBytes is the maximum size of the body of a response.
		MaxBodyBytes int64
	}

	// Request is a request to one host.
	Request struct {
		Method  string
		Address netip.AddrPort
		// Path may have a query.
		Path string
		// Header has the fields besides Host, Content-Length and, if there is a
		// body, Content-Type, which is JSON.
		Header []Field
		// Body is nil if the request has none.
		Body []byte
		// Timeout limits the whole exchange, with the opening of a connection.
		Timeout time.Duration
	}

	// Field is one header field.
	Field struct{ Name, Value string }

	// Response is a response that was read completely.
	Response struct {
		Status int
		Body   []byte
	}

	// Client sends requests. It is safe for concurrent use. It follows no redirects
	// and never sends a request twice.
	Client struct {
		cfg    Config
		dialer net.Dialer

		mu    sync.Mutex
		hosts map[netip.AddrPort]*host
		// closing reports that closeIdle is scheduled.
		closing bool
	}

	// host has the connections to one address. Client.mu guards its fields.
	host struct {
		// users is the number of requests that use or await a connection.
		users int
		// slots has one element for each connection in use.
		slots chan struct{}
		// idle are the unused connections, the last used one last.
		idle []*conn
	}
)

// New returns a client without connections.
func New(cfg Config) *Client {
	return &Client{
		cfg:    cfg,
		dialer: net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1},
		hosts:  map[netip.AddrPort]*host{},
	}
}

// Do sends a request and reads its response. The error is that of [net.Dialer] if no
// connection could be opened, so that the request was certainly not sent; with any
// other error the host may have received it. Do returns early when the context ends.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if !r.valid() {
		return Response{}, errInvalidRequest
	}
	deadline := time.Now().Add(r.Timeout)
	h := c.host(r.Address)
	defer c.leave(h)
	if err := h.acquire(ctx, r.Timeout); err != nil {
		return Response{}, err
	}
	defer h.release()
	conn, err := c.connect(ctx, h, r.Address, deadline)
	if err != nil {
		return Response{}, err
	}
	resp, err := conn.exchange(ctx, r, c.cfg.MaxBodyBytes)
	if err != nil || !conn.reusable {
		conn.close()
		return resp, err
	}
	c.keep(h, conn)
	return resp, nil
}

// host returns the connections to an address, until leave is called.
func (c *Client) host(a netip.AddrPort) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[a]
	if h == nil {
		h = &host{slots: make(chan struct{}, c.cfg.MaxConnsPerHost)}
		c.hosts[a] = h
	}
	h.users++
	return h
}

func (c *Client) leave(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.users--
}

// acquire waits until a connection may be used.
func (h *host) acquire(ctx context.Context, timeout time.Duration) error {
	select {
	case h.slots <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case h.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return fmt.Errorf("all %d connections are in use: %w", cap(h.slots), context.DeadlineExceeded)
	}
}

func (h *host) release() { <-h.slots }

// connect returns an idle connection that the host has not closed, or a new one, with
// the deadline set.
func (c *Client) connect(ctx context.Context, h *host, a netip.AddrPort, deadline time.Time) (*conn, error) {
	for {
		idle := c.takeIdle(h)
		if idle == nil {
			break
		}
		if idle.alive(deadline) {
			return idle, nil
		}
		idle.close()
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	tcp, err := c.dialer.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	if err := tcp.SetDeadline(deadline); err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return newConn(tcp), nil
}

func (c *Client) takeIdle(h *host) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	last := h.idle[n-1]
	h.idle[n-1], h.idle = nil, h.idle[:n-1]
	return last
}

// keep keeps a connection for later requests.
func (c *Client) keep(h *host, conn *conn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h.idle = append(h.idle, conn)
	if !c.closing {
		c.closing = true
		time.AfterFunc(c.cfg.IdleTimeout, c.closeIdle)
	}
}

// closeIdle closes the connections that were not used for too long, and forgets
// hosts without connections. It runs again while there are any.
func (c *Client) closeIdle() {
	var closing []*conn
	defer func() {
		for _, conn := range closing {
			conn.close()
		}
	}()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	left := false
	for a, h := range c.hosts {
		n := 0
		for n < len(h.idle) && now.Sub(h.idle[n].idleSince) >= c.cfg.IdleTimeout {
			n++
		}
		closing = append(closing, h.idle[:n]...)
		h.idle = append([]*conn(nil), h.idle[n:]...)
		if len(h.idle) == 0 && h.users == 0 {
			delete(c.hosts, a)
		}
		left = left || len(h.idle) > 0
	}
	if c.closing = left; left {
		time.AfterFunc(c.cfg.IdleTimeout/2, c.closeIdle)
	}
}

// valid reports whether no part of the request would be read as another header field.
func (r Request) valid() bool {
	for _, f := range r.Header {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			return false
		}
	}
	return !strings.ContainsFunc(r.Path, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// appendRequest appends the encoded request to b.
func appendRequest(b []byte, r Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = r.Address.AppendTo(b)
	for _, f := range r.Header {
		b = append(b, "\r\n"...)
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
	}
	if r.Body != nil {
		b = append(b, "\r\nContent-Type: application/json"...)
	}
	if r.Body != nil || r.Method != http.MethodGet {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}
