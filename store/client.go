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
	idleTime       = 90 * time.Second

	defaultConnect = time.Second
	defaultCall    = 2 * time.Second

	// fateNotApplied is the platform's word that a call had no effect.
	fateNotApplied = "not_applied"
)

type (
	// Config sets up a client. Zero durations take defaults.
	Config struct {
		// Addresses are tried in turn, beginning with the one that answered
		// last. There must be at least one.
		Addresses []netip.AddrPort
		// Connect bounds the set-up of a connection.
		Connect time.Duration
		// Call bounds one call.
		Call time.Duration
	}

	// Client calls the platform. It is safe for concurrent use.
	Client struct {
		addresses []netip.AddrPort
		call      time.Duration
		transport *http.Transport
		kept      keptRows
		// current is the index of the address that answered last.
		current atomic.Int32
		// tags are the entity tags of the lists read last, by path.
		tags sync.Map
	}

	// request is one call over HTTP.
	request struct {
		method, path string
		body         []byte
		// tag is the entity tag that is known already; it may be empty.
		tag string
	}

	// response is what came of a request.
	response struct {
		fate   storage.Fate
		status int
		body   []byte
		tag    string
		err    error
	}

	wireRefusal struct {
		Fate   string `json:"fate"`
		Reason string `json:"reason"`
	}
)

var errTooLarge = fmt.Errorf("platform's reply exceeds %d bytes", maxReplyBytes)

// New returns a client. Close it at the end.
func New(cfg Config) *Client {
	dialer := &net.Dialer{Timeout: cmp.Or(cfg.Connect, defaultConnect)}
	return &Client{
		addresses: cfg.Addresses,
		call:      cmp.Or(cfg.Call, defaultCall),
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTime,
			DisableCompression:  true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// send tries the addresses in turn until one may have got the request. The
// fate is NotApplied only if it is proven of every address that was tried.
func (c *Client) send(ctx context.Context, r request) response {
	ctx, cancel := context.WithTimeout(ctx, c.call)
	defer cancel()
	last := response{fate: storage.NotApplied, err: errors.New("no address of the platform is set")}
	first := int(c.current.Load())
	for i := range c.addresses {
		at := (first + i) % len(c.addresses)
		last = c.sendTo(ctx, c.addresses[at], r)
		if last.fate == storage.Done {
			c.current.Store(int32(at))
		}
		if last.fate != storage.NotApplied || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func (c *Client) sendTo(ctx context.Context, address netip.AddrPort, r request) response {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{fate: storage.NotApplied, err: err}
	}
	// The transport must not send a request again that may have had effect.
	req.GetBody = nil
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.tag != "" {
		req.Header.Set("If-None-Match", r.tag)
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return response{fate: fateOf(err), err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return response{fate: storage.Doubtful, err: err}
	}
	if len(body) > maxReplyBytes {
		return response{fate: storage.Doubtful, err: errTooLarge}
	}
	whole := judge(res.StatusCode, body)
	whole.tag = res.Header.Get("ETag")
	return whole
}

// judge tells what a whole reply proves.
func judge(status int, body []byte) response {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusNotModified:
		return response{fate: storage.Done, status: status, body: body}
	}
	var refusal wireRefusal
	if status == http.StatusServiceUnavailable && json.Unmarshal(body, &refusal) == nil && refusal.Fate == fateNotApplied {
		return response{fate: storage.NotApplied, status: status, err: fmt.Errorf("platform refused the call: %s", refusal.Reason)}
	}
	return response{fate: storage.Doubtful, status: status, err: fmt.Errorf("platform replied %d", status)}
}

// fateOf tells what a failed round trip proves: only a connection that was
// never made proves that the call had no effect.
func fateOf(err error) storage.Fate {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return storage.NotApplied
	}
	return storage.Doubtful
}

// list reads a list and decodes the reply, or returns ErrUnchanged if it is
// the one that this client read last.
func (c *Client) list(ctx context.Context, path string, v any) error {
	r := request{method: http.MethodGet, path: path}
	if tag, ok := c.tags.Load(path); ok {
		r.tag = tag.(string)
	}
	res := c.send(ctx, r)
	if res.status == http.StatusNotModified {
		return ErrUnchanged
	}
	if err := decode(r, res, v); err != nil {
		return err
	}
	c.tags.Store(path, res.tag)
	return nil
}

// query sends a request without effect and decodes the reply.
func (c *Client) query(ctx context.Context, r request, v any) error {
	return decode(r, c.send(ctx, r), v)
}

func decode(r request, res response, v any) error {
	if res.fate != storage.Done {
		return fmt.Errorf("platform's %s is out of reach: %w", r.path, res.err)
	}
	if res.status != http.StatusOK {
		return fmt.Errorf("platform replied %d to %s", res.status, r.path)
	}
	if err := json.Unmarshal(res.body, v); err != nil {
		return fmt.Errorf("platform's reply to %s is not valid: %w", r.path, err)
	}
	return nil
}
