package httpapi

import (
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/connection"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/metric"
)

const (
	// RouterSlack is how far, in bytes, the limit of a server should exceed that of its
	// router, which answers a larger header with an error that includes a remedy.
	RouterSlack = 16 << 10
	// reportInterval is the least time between two events about refused connections.
	reportInterval = 10 * time.Second
	// writeTime is how long a client may read nothing of its reply.
	writeTime = 10 * time.Second
	// replyTime is for how long a connection is kept after its request has been served, so
	// that the reply is sent; the client may never read it.
	replyTime = time.Second
	// maxRefusing is the maximum number of new connections that are being refused with a
	// reply.
	maxRefusing = 16
)

// The reasons for which connections are closed or refused.
const (
	displaced refusalReason = iota
	tableFull
	headerRefused
	numRefusals
)

// refusalNames are the values of the label reason in metrics.
var refusalNames = [numRefusals]string{"displaced", "full", "header_memory"}

type (
	// refusalReason is why a connection is closed or refused.
	refusalReason int

	// ServerConfig configures a server.
	ServerConfig struct {
		Handler http.Handler
		// HeaderBytes is the maximum size of a request header. Larger ones are answered
		// with status 431.
		HeaderBytes int
		// ReadTime is the time limit for reading a request header.
		ReadTime time.Duration
		// IdleTime is how long a connection without a request stays open.
		IdleTime time.Duration
		// TLS is the TLS configuration. It is nil for plain TCP.
		TLS *tls.Config
		Bounds
		// Record is called with an event for each failed connection. It may be
		// nil.
		Record func(event.Record)
	}

	// Bounds bound what all connections take together. Servers may share budgets.
	Bounds struct {
		// Connections is the maximum number of connections of the server. If there are
		// more, the one that has waited longest for a request is closed. If it is zero,
		// the number is that of callers of an instance with the default limits.
		Connections int
		// Headers is the budget for large headers. If it is nil, the server has one of
		// an instance with the default limits.
		Headers *footprint.Budget
		// Bodies is the budget for bodies that arrive, and for what is decoded from them
		// until they are answered. If it is nil, the handler counts them.
		Bodies *footprint.Budget
	}

	// Server is an HTTP server that bounds what its connections take together.
	Server struct {
		*http.Server
		tls     *tls.Config
		headers *footprint.Budget
		bodies  *footprint.Budget
		// writeTime is the constant, which tests shorten.
		writeTime   time.Duration
		connections *connection.Table[*conn]
		refusals    [numRefusals]atomic.Uint64
		// replies are the goroutines that refuse new connections, and refusing their
		// number, which only the one that accepts increases.
		replies  conc.WaitGroup
		refusing atomic.Int32
		record   func(event.Record)
		// reportedAt is when a refusal was last reported, in nanoseconds since 1970.
		reportedAt atomic.Int64
	}

	// listener accepts the connections of a server.
	listener struct {
		net.Listener
		server *Server
	}

	// errorWriter converts the error log of the HTTP server, such as failed
	// TLS handshakes, into events.
	errorWriter struct {
		record func(event.Record)
	}
)

// NewServer returns an HTTP server with the configured connection limits.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{tls: cfg.TLS, headers: cfg.Headers, bodies: cfg.Bodies, writeTime: writeTime, record: cfg.Record}
	if s.headers == nil {
		s.headers = footprint.NewHeaderBudget(footprint.Limits{})
	}
	if cfg.Connections <= 0 {
		cfg.Connections = footprint.Limits{}.CallerConnections()
	}
	s.connections = connection.NewTable[*conn](cfg.Connections)
	if s.record == nil {
		s.record = func(event.Record) {}
	}
	s.Server = &http.Server{
		Handler:           s.trackRequests(cfg.Handler),
		ReadHeaderTimeout: cfg.ReadTime,
		IdleTimeout:       cfg.IdleTime,
		MaxHeaderBytes:    cfg.HeaderBytes,
		ConnContext:       withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*conn).nextRequest()
			}
		},
		ErrorLog: log.New(errorWriter{s.record}, "", 0),
	}
	return s
}

// Serve accepts connections until the server is shut down or the listener fails. With a
// TLS configuration it speaks HTTP/1.1 only: the limits count the requests of a
// connection one at a time.
func (s *Server) Serve(l net.Listener) error {
	defer s.replies.Wait()
	return s.Server.Serve(&listener{l, s})
}

// Accept implements [net.Listener]. It closes the connection that has waited longest if
// there are too many, and refuses the new one if all are served.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now, s := time.Now(), l.server
		c := &conn{Conn: accepted, tcp: accepted, server: s}
		if s.tls != nil {
			c.tls = tls.Server(accepted, s.tls)
			c.Conn = c.tls
		}
		var closed *connection.Entry[*conn]
		c.entry, closed = s.connections.Add(now, c)
		if closed != nil {
			s.reportRefusal(now, displaced, closed.Conn.RemoteAddr(), "it waited longest of all connections")
			closed.Conn.abort()
		}
		if c.entry != nil {
			return c, nil
		}
		s.refuseConnection(now, accepted)
	}
}

// refuseConnection replies to a new connection that there is no room, and closes it. Under
// TLS, and if many are being refused, it closes it at once.
func (s *Server) refuseConnection(now time.Time, c net.Conn) {
	f := fault.New(fault.QueueFull, "all %d connections are served", s.connections.Limit()).WithRetryAfter(refusalRetryAfter)
	s.reportRefusal(now, tableFull, c.RemoteAddr(), f.Detail)
	if s.tls != nil || s.refusing.Load() >= maxRefusing {
		_ = c.Close()
		return
	}
	s.refusing.Add(1)
	s.replies.Go(func() {
		writeRefusal(now, c, f)
		_ = c.Close()
		s.refusing.Add(-1)
	})
}

// trackRequests returns a handler that passes requests to h and marks how far they have
// come.
func (s *Server) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if !c.serve(r.ContentLength) {
			panic(http.ErrAbortHandler) // the connection is closed; a return would be a reply
		}
		defer func() { c.entry.Wait(time.Now().Add(replyTime)) }()
		if r.ContentLength != 0 {
			body := &requestBody{ReadCloser: r.Body, conn: c, request: r, arrival: footprint.Arrival{Budget: s.bodies}}
			defer func() {
				c.unread.Store(!body.ended)
				body.arrival.Release()
			}()
			r.Body = body
		}
		h.ServeHTTP(w, r)
	})
}

// Connections returns the numbers of connections.
func (s *Server) Connections() connection.Count { return s.connections.Count() }

// Clients returns the state of the listener for metrics.
func (s *Server) Clients() metric.Clients {
	n := s.Connections()
	c := metric.Clients{
		Waiting: n.Waiting, Serving: n.Serving, MaxConnections: n.Limit,
		Refused:      map[string]uint64{},
		HeaderMemory: s.headers.Used(), MaxHeaderMemory: s.headers.Limit(),
	}
	for reason, name := range refusalNames {
		c.Refused[name] = s.refusals[reason].Load()
	}
	return c
}

// reportRefusal counts a refused or closed connection, and records an event at most once
// in reportInterval.
func (s *Server) reportRefusal(now time.Time, reason refusalReason, client net.Addr, detail string) {
	s.refusals[reason].Add(1)
	last := s.reportedAt.Load()
	if now.UnixNano()-last < int64(reportInterval) || !s.reportedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	s.record(event.Record{Kind: event.ConnectionRefused, Subject: client.String(), Detail: detail})
}

// Write implements [io.Writer].
func (w errorWriter) Write(p []byte) (int, error) {
	w.record(event.Record{Kind: event.RequestFailed, Subject: "connection", Detail: strings.TrimSpace(string(p))})
	return len(p), nil
}
