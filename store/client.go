package store

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagecrank/lovagecrank/storage"
)

const (
	maxReplyBytes  = 32 << 20
	maxConnections = 16
	idleTimeout    = 90 * time.Second

	defaultConnectTimeout = time.Second
	defaultCallTimeout    = 2 * time.Second

	// outcomeNotApplied is the fate in a refusal by which the platform states
	// that the call had no effect.
	outcomeNotApplied = "not_applied"
)

type (
	// Config configures a Client. Zero durations select the defaults.
	Config struct {
		// Addresses are the platform's addresses. At least one is required.
		// Each call starts with the address that answered last and tries the
		// others in order.
		Addresses []netip.AddrPort
		// ConnectTimeout is the timeout for setting up a connection; the
		// default is one second.
		ConnectTimeout time.Duration
		// CallTimeout is the timeout for a call over all addresses that it
		// tries; the default is two seconds.
		CallTimeout time.Duration
	}

	// Client is a client for the platform. It is safe for concurrent use.
	Client struct {
		addresses   []netip.AddrPort
		callTimeout time.Duration
		transport   *http.Transport
		cache       rowCache
		// preferred is the index of the address that answered last.
		preferred atomic.Int32
		// etags maps the path of each list to the ETag of the last read.
		etags sync.Map
	}

	// request is an HTTP request to the platform.
	request struct {
		method, path string
		body         []byte
		// etag is the ETag of the version that the client has; it may be empty.
		etag string
	}

	// response is the outcome of a request. status and etag are those of the
	// reply, if there was one. body is set only if outcome is Done, and err only
	// if it is not.
	response struct {
		outcome storage.Outcome
		status  int
		body    []byte
		etag    string
		err     error
	}

	// wireRefusal is the body of a reply with status 503.
	wireRefusal struct {
		Fate   string `json:"fate"`
		Reason string `json:"reason"`
	}
)

var errTooLarge = fmt.Errorf("platform's reply exceeds %d bytes", maxReplyBytes)

// New returns a Client. The caller must call Close when done with it.
func New(cfg Config) *Client {
	dialer := &net.Dialer{Timeout: cmp.Or(cfg.ConnectTimeout, defaultConnectTimeout)}
	return &Client{
		addresses:   cfg.Addresses,
		callTimeout: cmp.Or(cfg.CallTimeout, defaultCallTimeout),
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// send tries the addresses in order until one may have received the request or
// the timeout expires. The outcome is NotApplied only if the request provably
// had no effect at any address that was tried.
func (c *Client) send(ctx context.Context, r request) response {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	res := response{outcome: storage.NotApplied, err: errors.New("no platform addresses are configured")}
	start := int(c.preferred.Load())
	for i := range c.addresses {
		index := (start + i) % len(c.addresses)
		res = c.sendTo(ctx, c.addresses[index], r)
		if res.outcome == storage.Done {
			c.preferred.Store(int32(index))
		}
		if res.outcome != storage.NotApplied || ctx.Err() != nil {
			return res
		}
	}
	return res
}

func (c *Client) sendTo(ctx context.Context, address netip.AddrPort, r request) response {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{outcome: storage.NotApplied, err: err}
	}
	// The transport must not resend a request that may have taken effect.
	req.GetBody = nil
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return response{outcome: outcomeOf(err), err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return response{outcome: storage.Unknown, err: err}
	}
	if len(body) > maxReplyBytes {
		return response{outcome: storage.Unknown, err: errTooLarge}
	}
	result := classify(res.StatusCode, body)
	result.etag = res.Header.Get("ETag")
	return result
}

// classify returns the response for a complete reply. Only 200, 304 and 404 are
// answers of the platform. A 503 proves that the call had no effect if its body
// states so. After any other reply the outcome is unknown.
func classify(status int, body []byte) response {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusNotModified:
		return response{outcome: storage.Done, status: status, body: body}
	}
	var refusal wireRefusal
	if status == http.StatusServiceUnavailable && json.Unmarshal(body, &refusal) == nil && refusal.Fate == outcomeNotApplied {
		return response{outcome: storage.NotApplied, status: status, err: fmt.Errorf("platform refused the call: %s", refusal.Reason)}
	}
	return response{outcome: storage.Unknown, status: status, err: fmt.Errorf("platform replied with status %d", status)}
}

// outcomeOf returns the outcome of a failed round trip. The call provably had no
// effect only if no connection was established.
func outcomeOf(err error) storage.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return storage.NotApplied
	}
	return storage.Unknown
}

// list reads the list at path into v. It returns ErrUnchanged if the list has not
// changed since this client last read it.
func (c *Client) list(ctx context.Context, path string, v any) error {
	r := request{method: http.MethodGet, path: path}
	if etag, ok := c.etags.Load(path); ok {
		r.etag = etag.(string)
	}
	res := c.send(ctx, r)
	if res.status == http.StatusNotModified {
		return ErrUnchanged
	}
	if err := decode(r, res, v); err != nil {
		return err
	}
	c.etags.Store(path, res.etag)
	return nil
}

// query sends a request that has no side effects and decodes the reply into v.
func (c *Client) query(ctx context.Context, r request, v any) error {
	return decode(r, c.send(ctx, r), v)
}

// decode decodes the JSON body of a reply with status 200 into v and returns an
// error for any other response.
func decode(r request, res response, v any) error {
	if res.outcome != storage.Done {
		return fmt.Errorf("request to the platform's %s failed: %w", r.path, res.err)
	}
	if res.status != http.StatusOK {
		return fmt.Errorf("platform replied with status %d to %s", res.status, r.path)
	}
	if err := json.Unmarshal(res.body, v); err != nil {
		return fmt.Errorf("platform's reply to %s is invalid: %w", r.path, err)
	}
	return nil
}
