package operator

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
)

const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute

	routeConfiguration = "/v1/configuration"
	routeClasses       = "/v1/classes"
	routeClass         = "/v1/classes/:name"
	routeTeams         = "/v1/teams"
	routeTeam          = "/v1/teams/:name"
	routeInstances     = "/v1/instances"
	routeEndpoints     = "/v1/endpoints"
	routeSubmission    = "/v1/submissions/:" + httpapi.ParamSubmission
	paramName          = "name"
)

type (
	// Config configures the handler. Nil functions are not called.
	Config struct {
		Service Service
		// Metrics serves /metrics; if it is nil, the path does not exist.
		Metrics http.Handler
		// Observe is called after each request with its route, the HTTP status
		// of the reply and the time that the request took.
		Observe func(route string, status int, took time.Duration)
		// Record is called with each event.
		Record func(event.Record)
		// Now returns the current time; nil means [time.Now].
		Now func() time.Time
	}

	handler struct {
		service Service
	}
)

// NewHandler returns the handler of the operators' interface.
func NewHandler(cfg Config) http.Handler {
	h := &handler{cfg.Service}
	return httpapi.NewRouter(httpapi.Config{
		Routes:      h.routes(),
		HeaderBytes: maxHeaderBytes,
		Metrics:     cfg.Metrics,
		Observe:     cfg.Observe,
		Record:      cfg.Record,
		Now:         cfg.Now,
	})
}

// NewServer returns a server for the handler. Without a TLS configuration it uses
// plain TCP. It calls record, unless that is nil, for connections that fail.
func NewServer(h http.Handler, bounds httpapi.Bounds, t *tls.Config, record func(event.Record)) *httpapi.Server {
	return httpapi.NewServer(httpapi.ServerConfig{
		Handler:     h,
		HeaderBytes: maxHeaderBytes + httpapi.RouterSlack,
		ReadTime:    readTimeout,
		IdleTime:    idleTimeout,
		TLS:         t,
		Bounds:      bounds,
		Record:      record,
	})
}

func (h *handler) routes() []httpapi.Route {
	return []httpapi.Route{
		{Method: http.MethodGet, Path: routeConfiguration, Handle: h.configuration},
		{Method: http.MethodGet, Path: routeClasses, Handle: h.classes},
		{Method: http.MethodPut, Path: routeClass, Handle: h.setClass},
		{Method: http.MethodDelete, Path: routeClass, Handle: h.deleteClass},
		{Method: http.MethodGet, Path: routeTeams, Handle: h.teams},
		{Method: http.MethodPut, Path: routeTeam, Handle: h.setTeam},
		{Method: http.MethodDelete, Path: routeTeam, Handle: h.deleteTeam},
		{Method: http.MethodGet, Path: routeInstances, Handle: h.instances},
		{Method: http.MethodGet, Path: routeEndpoints, Handle: h.endpoints},
		{Method: http.MethodGet, Path: routeSubmission, Handle: h.explain},
	}
}
