package httpapi

import (
	"crypto/tls"
	"log"
	"net/http"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

// headerSlack is how far, in bytes, the limit of the HTTP server exceeds the
// configured header limit. It lets the router answer a request just above the
// configured limit with an error that includes a remedy.
const headerSlack = 64 << 10

type (
	// ServerConfig configures a server.
	ServerConfig struct {
		Handler http.Handler
		// HeaderBytes is the maximum size of a request header.
		HeaderBytes int
		// ReadTime is the time limit for reading a request header.
		ReadTime time.Duration
		// IdleTime is how long a connection without a request stays open.
		IdleTime time.Duration
		// TLS is the TLS configuration. It is nil for plain TCP.
		TLS *tls.Config
		// Record is called with an event for each failed connection. It may be
		// nil.
		Record func(event.Record)
	}

	// errorWriter converts the error log of the HTTP server, such as failed
	// TLS handshakes, into events.
	errorWriter struct {
		record func(event.Record)
	}
)

// NewServer returns an HTTP server with the configured connection limits.
func NewServer(cfg ServerConfig) *http.Server {
	return &http.Server{
		Handler:           cfg.Handler,
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: cfg.ReadTime,
		IdleTimeout:       cfg.IdleTime,
		MaxHeaderBytes:    cfg.HeaderBytes + headerSlack,
		ErrorLog:          log.New(errorWriter{cfg.Record}, "", 0),
	}
}

// Write implements [io.Writer].
func (w errorWriter) Write(p []byte) (int, error) {
	if w.record != nil {
		w.record(event.Record{Kind: event.RequestFailed, Subject: "connection", Detail: strings.TrimSpace(string(p))})
	}
	return len(p), nil
}
