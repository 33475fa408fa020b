package runner

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/pool"
)

const (
	// minDrainTime is how long a stopping instance at least accepts connections.
	// The platform's load balancer stops sending connections only after two
	// failed readiness probes, which are a second apart.
	minDrainTime = 2500 * time.Millisecond
	// exitMargin is how long before the end of its grace period an instance
	// exits.
	exitMargin = 250 * time.Millisecond
	// answerMargin is how long before its exit an instance answers the jobs that
	// have not ended, so that there is time to send the answers.
	answerMargin = 150 * time.Millisecond
	// finishInterval is the time between two checks whether the machine can finish
	// its planned stop.
	finishInterval = 50 * time.Millisecond
)

// countRequests returns a handler that passes requests to h and counts those that
// have no complete answer yet.
func (r *Runner) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.requests.Add(1)
		defer r.requests.Add(-1)
		h.ServeHTTP(w, req)
	})
}

// stopGracefully carries out a planned stop. It hands over the endpoints and waits
// until all jobs are answered and no run is left, but at least for minDrainTime.
// Then new jobs are refused, and it waits until each request that was read has its
// answer. It returns earlier if force ends, and at the latest exitMargin before the
// end of the grace period.
func (r *Runner) stopGracefully(force context.Context, servers []*httpapi.Server) {
	start := time.Now()
	r.Record(start, event.Record{Kind: event.StopStarted, Subject: r.cfg.Self.ID})
	r.stopping.Store(true)
	end := start.Add(r.cfg.GracePeriod - exitMargin)
	lastAnswer := end.Add(-answerMargin)
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.BeginStop(now, lastAnswer, out) })
	ctx, cancel := context.WithDeadline(force, end)
	defer cancel()
	r.finishMachine(ctx, start.Add(minDrainTime), lastAnswer)
	for _, s := range servers {
		_ = s.Shutdown(ctx) // the requests that are left are counted
	}
	if n := r.requests.Load(); n > 0 {
		r.Record(time.Now(), event.Record{Kind: event.StopForced, Subject: r.cfg.Self.ID, Detail: fmt.Sprintf("%d requests were not answered", n)})
		return
	}
	r.Record(time.Now(), event.Record{Kind: event.Stopped, Subject: r.cfg.Self.ID})
}

// finishMachine waits until the machine has neither jobs nor runs and refuses new
// jobs, from the earliest time on and at most until the latest, when all jobs are
// due. It returns earlier if ctx ends.
func (r *Runner) finishMachine(ctx context.Context, earliest, latest time.Time) {
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	timer := time.NewTimer(time.Until(earliest))
	defer timer.Stop()
	for finished := false; !finished; timer.Reset(finishInterval) {
		select {
		case <-ctx.Done():
			r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.Tick(now, out) }) // answers the jobs that are left
			return
		case <-timer.C:
		}
		r.apply(func(now time.Time, m *pool.Machine, _ *pool.Output) { finished = m.FinishStop(now) })
	}
}
