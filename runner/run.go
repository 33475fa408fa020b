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
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/pool"
)

const (
	minTick = time.Millisecond
	maxTick = 100 * time.Millisecond
	// headerTime and idleTime bound connections of callers; they are the
	// platform's usual limits.
	headerTime  = 3 * time.Second
	idleTime    = 60 * time.Second
	headerBytes = 16 << 10
	// lingerTime is how long a stopping instance still takes connections: the
	// platform's balancer needs two misses, a second apart, to leave it out.
	lingerTime = 2500 * time.Millisecond
	// exitMargin is how long before the end of its grace an instance ends.
	exitMargin = 250 * time.Millisecond
	// answerTime is how long before its end an instance answers the jobs that
	// have not ended, so that the answers leave.
	answerTime = 150 * time.Millisecond
)

// Run serves until the context ends, then stops in order. force ends that
// early.
func (r *Runner) Run(ctx, force context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx = work
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
		if err := r.peers.Run(work, listeners[len(servers)]); err != nil {
			failed <- err
		}
	})
	for _, loop := range []func(){r.tick, r.followRoutes, r.followEndpoints, r.followInstances} {
		group.Go(loop)
	}
	r.Record(time.Now(), event.Record{Kind: event.Started, Subject: r.cfg.Self.ID, Detail: r.cfg.Callers.String()})

	select {
	case <-ctx.Done():
		r.stopInOrder(force)
	case err = <-failed:
	}
	cancel()
	for _, s := range servers {
		_ = s.Close() // nothing is left to be answered
	}
	group.Wait()
	r.work.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// listen opens the sockets of callers, readiness, metrics and peers.
func (r *Runner) listen() ([]net.Listener, error) {
	addresses := []netip.AddrPort{
		r.cfg.Callers,
		r.cfg.Readiness,
		r.cfg.Metrics,
		r.cfg.Self.Address,
	}
	var list []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.String())
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

func (r *Runner) servers() []*http.Server {
	serve := func(h http.Handler) *http.Server {
		return httpapi.NewServer(httpapi.ServerConfig{
			Handler:     h,
			HeaderBytes: headerBytes,
			ReadTime:    headerTime,
			IdleTime:    idleTime,
			Record:      func(e event.Record) { r.Record(time.Now(), e) },
		})
	}
	readiness := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return []*http.Server{serve(r.Handler(r)), serve(readiness), serve(r.metrics.Handler())}
}

// ready reports whether the balancer should send new connections.
func (r *Runner) ready() bool {
	return !r.stopping.Load() && r.routes.Load() != nil && r.view.Load().Ready
}

// stopInOrder hands the endpoints over and waits for the jobs to be answered.
func (r *Runner) stopInOrder(force context.Context) {
	begun := time.Now()
	r.Record(begun, event.Record{Kind: event.StopBegun, Subject: r.cfg.Self.ID})
	r.stopping.Store(true)
	end := begun.Add(r.cfg.GraceTime - exitMargin)
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.BeginStop(now, end.Add(-answerTime), out) })
	limit, cancel := context.WithDeadline(force, end)
	defer cancel()
	for limit.Err() == nil {
		if v := r.view.Load(); time.Since(begun) > lingerTime && v.Jobs == 0 && v.Running == 0 {
			r.Record(time.Now(), event.Record{Kind: event.Stopped, Subject: r.cfg.Self.ID})
			return
		}
		time.Sleep(maxTick / 2)
	}
	r.Record(time.Now(), event.Record{Kind: event.StopForced, Subject: r.cfg.Self.ID, Detail: strconv.Itoa(r.view.Load().Jobs) + " jobs were not answered"})
}

func version(v uint64) string { return strconv.FormatUint(v, 10) }
