package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
)

const (
	// minTickDelay is the least time until the machine's Tick after an input that
	// requests one, so that what becomes due meanwhile is handled together. Other
	// inputs handle what is due too. maxTickInterval is the longest time between two
	// calls of Tick.
	minTickDelay    = 8 * time.Millisecond
	maxTickInterval = 100 * time.Millisecond
	// viewInterval is the minimum time between two snapshots of the machine, which
	// metrics and the readiness probe read.
	viewInterval = 40 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes are the limits for connections
	// to all three HTTP servers: the platform's usual values for callers. The limits
	// of the configuration do not change them.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// Run serves until ctx ends, then carries out a planned stop. If force ends too,
// Run returns without waiting for the remaining jobs. It returns an error if a
// listener cannot be opened or a server fails.
func (r *Runner) Run(ctx, force context.Context) error {
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx = workCtx
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	servers := r.servers()
	var group conc.WaitGroup
	failed := make(chan error, len(servers)+1)
	for i, s := range servers {
		group.Go(func() { failed <- s.Serve(listeners[i]) })
	}
	group.Go(func() {
		if err := r.peers.Run(workCtx, listeners[len(servers)]); err != nil {
			failed <- err
		}
	})
	for _, loop := range []func(){r.tick, r.followConfiguration, r.followEndpoints, r.followInstances, r.keepPatience} {
		group.Go(loop)
	}
	r.Record(time.Now(), event.Record{Kind: event.Started, Subject: r.cfg.Self.ID, Detail: r.cfg.Callers.String()})

	select {
	case <-ctx.Done():
		r.stopGracefully(force, servers)
	case err = <-failed:
	}
	cancel()
	for _, s := range servers {
		_ = s.Close() // after a complete planned stop no request is left unanswered
	}
	group.Wait()
	r.inFlight.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// listen opens the listeners for callers, the readiness probe, metrics and peers,
// in this order.
func (r *Runner) listen() ([]net.Listener, error) {
	addresses := []netip.AddrPort{
		r.cfg.Callers,
		r.cfg.Readiness,
		r.cfg.Metrics,
		r.cfg.Self.Address,
	}
	var list []net.Listener
	for _, a := range addresses {
		l, err := r.Listen(a)
		if err != nil {
			for _, open := range list {
				_ = open.Close()
			}
			return nil, err
		}
		list = append(list, l)
	}
	return list, nil
}

// servers returns the HTTP servers for callers, the readiness probe and metrics,
// in the order of the listeners.
func (r *Runner) servers() []*httpapi.Server {
	headers := footprint.NewHeaderBudget(r.cfg.Limits)
	serve := func(h http.Handler, connections int) *httpapi.Server {
		return httpapi.NewServer(httpapi.ServerConfig{
			Handler:     h,
			HeaderBytes: maxHeaderBytes,
			ReadTime:    headerTimeout,
			IdleTime:    idleTimeout,
			Bounds:      httpapi.Bounds{Connections: connections, Headers: headers},
			Record:      func(e event.Record) { r.Record(time.Now(), e) },
		})
	}
	readiness := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	callers, monitors := r.cfg.Limits.CallerConnections(), r.cfg.Limits.MonitorConnections()
	r.callers = serve(r.countRequests(r.NewHandler(r)), callers)
	return []*httpapi.Server{r.callers, serve(readiness, monitors), serve(r.metrics.Handler(), monitors)}
}

// ready reports whether the load balancer should send new connections.
func (r *Runner) ready() bool {
	return !r.stopping.Load() && r.routes.Load() != nil && r.view.Load().Ready
}

func formatVersion(v uint64) string { return strconv.FormatUint(v, 10) }
