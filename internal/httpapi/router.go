package httpapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
)

// statusClientClosed is the status reported to [Config].Observe if the client
// closed the connection before the reply.
const statusClientClosed = 499

type (
	// Handle serves one route. If it returns an error, the router writes the
	// error reply.
	Handle func(w http.ResponseWriter, r *http.Request, p httprouter.Params) error

	// Route maps one method and path to a handler.
	Route struct {
		Method, Path string
		Handle       Handle
	}

	// Config configures a router. All functions may be nil.
	Config struct {
		Routes []Route
		// HeaderBytes is the maximum size of the request URI and the header
		// fields together.
		HeaderBytes int
		// Metrics serves /metrics. If it is nil, that path does not exist.
		Metrics http.Handler
		// Observe is called after each reply.
		Observe func(route string, status int, elapsed time.Duration)
		// Record is called with an event for each reply that could not be
		// written.
		Record func(event.Record)
		Now    func() time.Time
	}

	router struct {
		Config
	}

	// recorder records the status of a reply and the last write error.
	recorder struct {
		http.ResponseWriter
		status int
		err    error
	}
)

// NewRouter returns a handler for the routes. All its replies, except those of
// /metrics, are JSON.
func NewRouter(cfg Config) http.Handler {
	rt := &router{cfg}
	if rt.Now == nil {
		rt.Now = time.Now
	}
	h := httprouter.New()
	h.RedirectTrailingSlash = false
	h.RedirectFixedPath = false
	for _, route := range rt.Routes {
		h.Handle(route.Method, route.Path, rt.wrap(route))
	}
	if rt.Metrics != nil {
		h.Handler(http.MethodGet, "/metrics", rt.Metrics)
	}
	h.NotFound = refuse(http.StatusNotFound, "there is no such path; see docs/README.md for the interfaces")
	h.MethodNotAllowed = refuse(http.StatusMethodNotAllowed, "the path does not know this method; see the header Allow")
	return h
}

// wrap returns a handler that checks the header, calls the route's handler,
// writes its error and reports the reply to Observe and Record.
func (rt *router) wrap(route Route) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		start := rt.Now()
		rec := &recorder{ResponseWriter: w, status: statusClientClosed}
		err := rt.checkHeader(r)
		if err == nil {
			err = route.Handle(rec, r, p)
		}
		if err != nil {
			writeError(rec, r, p, err)
		}
		if rec.err != nil && rt.Record != nil {
			rt.Record(event.Record{Kind: event.RequestFailed, Subject: route.Path, Detail: rec.err.Error()})
		}
		if rt.Observe != nil {
			rt.Observe(route.Path, rec.status, rt.Now().Sub(start))
		}
	}
}

// checkHeader returns an error if the header is too large. The limit of the
// HTTP server is higher, since the reply of the HTTP server has no remedy.
func (rt *router) checkHeader(r *http.Request) error {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	if n > rt.HeaderBytes {
		return fault.New(fault.TooLarge, "the header has %d bytes and the limit is %d; send fewer or shorter fields", n, rt.HeaderBytes)
	}
	return nil
}

// refuse returns a handler that replies to every request with a bad request
// error of the given HTTP status.
func refuse(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := fault.New(fault.BadRequest, "%s %s: %s", r.Method, Truncate(r.URL.Path), detail)
		WriteBody(w, status, appendFailure(nil, "", f))
	})
}

// writeError writes an error reply, or nothing if the client has canceled the
// request.
func writeError(w http.ResponseWriter, r *http.Request, p httprouter.Params, err error) {
	if errors.Is(err, context.Canceled) && r.Context().Err() != nil {
		return // the client has closed the connection
	}
	var f *fault.Error
	if !errors.As(err, &f) {
		f = fault.New(fault.Internal, "%s", err)
	}
	SetRetryAfter(w, f.RetryAfter)
	id := p.ByName(ParamSubmission)
	if CheckID(ParamSubmission, id) != nil {
		id = ""
	}
	WriteBody(w, f.Kind.Row().Status, appendFailure(nil, id, f))
}

// WriteHeader implements [http.ResponseWriter].
func (w *recorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements [http.ResponseWriter].
func (w *recorder) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		w.err = err
	}
	return n, err
}

// Unwrap gives [http.ResponseController] access to the underlying writer.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
