package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// maxReplyBytes limits the size of a reply body.
const maxReplyBytes = 256 << 20

type (
	// Client calls one listener of one instance. Base is the listener's URL
	// without a path. If HTTP is nil, [http.DefaultClient] is used.
	Client struct {
		Base string
		HTTP *http.Client
	}

	// Reply is the HTTP response to one call.
	Reply struct {
		Status int
		Header http.Header
		Body   json.RawMessage
	}

	// Error is an error reply of an instance.
	Error struct {
		Status int
		// Code and Kind identify the error in the error catalogue, for example
		// LC1007 and over_quota. They are empty if the reply had no error
		// object.
		Code, Kind string
		// Reason says what was wrong and Remedy how to fix it.
		Reason, Remedy string
		// RetryAfter is the delay after which a retry can succeed. Zero means
		// that a retry does not help.
		RetryAfter time.Duration
	}

	// wireError is a reply body with an error object.
	wireError struct {
		Error *struct {
			Code         string  `json:"code"`
			Kind         string  `json:"kind"`
			Reason       string  `json:"reason"`
			Remedy       string  `json:"remedy"`
			RetryAfterMS float64 `json:"retry_after_ms"`
		} `json:"error"`
	}

	// Files names the PEM files for TLS. The zero value means plain HTTP.
	Files struct {
		// Authority is the certificate authority that must have signed the
		// instance's certificate. If it is empty, the system's authorities
		// are used.
		Authority string
		// Certificate and Key are the client certificate and its private key.
		// Both may be empty.
		Certificate, Key string
	}
)

// Error returns the code, kind, reason, remedy and retry delay in one line.
func (r *Error) Error() string {
	text := fmt.Sprintf("%s %s: %s", r.Code, r.Kind, r.Reason)
	if r.Kind == "" {
		text = fmt.Sprintf("status %d: %s", r.Status, r.Reason)
	}
	if r.Remedy != "" {
		text += ": " + r.Remedy
	}
	if r.RetryAfter > 0 {
		text += fmt.Sprintf(" (retry after %v)", r.RetryAfter)
	}
	return text
}

// New returns a client for the listener at address, an IP address or a host
// name with a port. It uses TLS if f names any file.
func New(address string, f Files) (Client, error) {
	if f == (Files{}) {
		return Client{Base: "http://" + address}, nil
	}
	config, err := f.config()
	if err != nil {
		return Client{}, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = config
	return Client{Base: "https://" + address, HTTP: &http.Client{Transport: transport}}, nil
}

// config returns the TLS configuration with the files loaded.
func (f Files) config() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Authority != "" {
		pem, err := os.ReadFile(f.Authority)
		if err != nil {
			return nil, fmt.Errorf("cannot read the authority; check the path: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s contains no PEM certificate", f.Authority)
		}
	}
	if f.Certificate == "" && f.Key == "" {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("cannot use the certificate and key; give the paths of both files: %w", err)
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}

// Call sends one request with a JSON body, which may be nil. It returns the
// reply for any HTTP status; see [Reply.Err].
func (c Client) Call(ctx context.Context, method, path string, header http.Header, body []byte) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, fmt.Errorf("invalid address; give HOST:PORT: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return Reply{}, fmt.Errorf("no reply from the instance; check the address and that the instance is running: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return Reply{}, fmt.Errorf("the reply was cut off; retry with the same submission id: %w", err)
	}
	if len(data) > maxReplyBytes {
		return Reply{}, errors.New("the reply exceeds the size limit of this client")
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

func (c Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// Err returns an [*Error] if the body has an error object or the status is 400
// or higher, otherwise nil.
func (r Reply) Err() error {
	var w wireError
	if err := json.Unmarshal(r.Body, &w); err == nil && w.Error != nil {
		return &Error{
			Status: r.Status, Code: w.Error.Code, Kind: w.Error.Kind,
			Reason: w.Error.Reason, Remedy: w.Error.Remedy,
			RetryAfter: time.Duration(w.Error.RetryAfterMS * float64(time.Millisecond)),
		}
	}
	if r.Status < http.StatusBadRequest {
		return nil
	}
	return &Error{Status: r.Status, Reason: strings.TrimSpace(string(r.Body))}
}
