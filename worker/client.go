package worker

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
)

const (
	// maxConnections is the maximum number of connections to one endpoint.
	maxConnections = 64
	// leaseMargin is how long after the end of the lease Start still waits for
	// the reply.
	leaseMargin = time.Second

	defaultConnectTimeout = time.Second
	defaultMaxReplyBytes  = 4 << 20
	idleConnTimeout       = 90 * time.Second

	// TCP keep-alive closes an unresponsive connection after about
	// keepAliveIdle + keepAliveCount * keepAliveInterval.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

type (
	// Config configures a client. Zero fields take defaults.
	Config struct {
		// ConnectTimeout is the timeout for opening a connection.
		ConnectTimeout time.Duration
		// MaxReplyBytes is the maximum size of an endpoint's reply.
		MaxReplyBytes int64
	}

	// Client sends tasks to endpoints. It is safe for concurrent use.
	Client struct {
		transport     *http.Transport
		maxReplyBytes int64
		// hosts maps each address (netip.AddrPort) to its state (*host).
		hosts sync.Map
	}

	// host is the state that a client keeps for one address.
	host struct {
		// name is the address as used in URLs and the Host header.
		name string
		// inFlight is the number of requests in flight.
		inFlight atomic.Int32
	}
)

var errBusy = errors.New("every connection to the endpoint is in use")

// New returns a client. The caller must close it.
func New(cfg Config) *Client {
	dialer := &net.Dialer{
		Timeout: cmp.Or(cfg.ConnectTimeout, defaultConnectTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &Client{
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		maxReplyBytes: cmp.Or(cfg.MaxReplyBytes, defaultMaxReplyBytes),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// acquire reserves one of the connections to an endpoint until the caller
// releases the host. It returns errBusy if all are in use. This way a request
// never waits for a connection inside the transport, where an error would not
// show whether the request was sent.
func (c *Client) acquire(e endpoint.Info) (*host, error) {
	h := c.host(e.Address)
	limit := int32(maxConnections)
	if e.Connections > 0 {
		limit = min(limit, int32(e.Connections))
	}
	if h.inFlight.Add(1) > limit {
		h.release()
		return nil, errBusy
	}
	return h, nil
}

func (h *host) release() { h.inFlight.Add(-1) }

// host returns the state for the address and creates it if necessary.
func (c *Client) host(address netip.AddrPort) *host {
	if h, ok := c.hosts.Load(address); ok {
		return h.(*host)
	}
	h, _ := c.hosts.LoadOrStore(address, &host{name: address.String()})
	return h.(*host)
}

// send sends a request exactly once. The transport cannot retry it, because it
// is a POST request without GetBody and without an idempotency key, and
// redirects are not followed.
func (c *Client) send(ctx context.Context, h *host, path, traceParent string, body []byte) (*http.Response, error) {
	header := http.Header{"Content-Type": contentType}
	if traceParent != "" {
		header["Traceparent"] = []string{traceParent}
	}
	req := http.Request{
		Method:     http.MethodPost,
		URL:        &url.URL{Scheme: "http", Host: h.name, Path: path},
		Host:       h.name,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
		// The transport recognizes this type and sends header and body in one
		// write.
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	return c.transport.RoundTrip(req.WithContext(ctx))
}

// isDialError reports whether the error proves that no byte was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
