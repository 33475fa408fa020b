package caller

import (
	"crypto/tls"
	"net/http"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
)

// NewServer returns a server for the handler that enforces the limits of
// connections, also of all together. Without a TLS configuration it uses plain
// TCP. It calls record, unless that is nil, for connections that fail.
func NewServer(h http.Handler, limits Limits, bounds httpapi.Bounds, t *tls.Config, record func(event.Record)) *httpapi.Server {
	return httpapi.NewServer(httpapi.ServerConfig{
		Handler:     h,
		HeaderBytes: limits.HeaderBytes + httpapi.RouterSlack,
		ReadTime:    limits.ReadTime,
		IdleTime:    limits.IdleTime,
		TLS:         t,
		Bounds:      bounds,
		Record:      record,
	})
}
