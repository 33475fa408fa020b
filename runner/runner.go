package runner

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/metric"
	"github.com/lovagecrank/lovagecrank/peer"
	"github.com/lovagecrank/lovagecrank/pool"
	"github.com/lovagecrank/lovagecrank/route"
)

type (
	// Config sets up a Runner.
	Config struct {
		Self instance.Info
		// Callers, Readiness and Metrics are the addresses to serve them on.
		Callers, Readiness, Metrics netip.AddrPort
		// LeaseTime and StopTime are those of the endpoints.
		LeaseTime, StopTime time.Duration
		// GraceTime is how long after the signal to stop the process may run.
		GraceTime time.Duration
	}

	// Endpoints carries out orders. Each call returns one reply.
	Endpoints interface {
		Start(ctx context.Context, s pool.Start) pool.StartReply
		Stop(ctx context.Context, s pool.Stop) pool.StopReply
		Look(ctx context.Context, l pool.Poll) pool.PollReply
	}

	// Store is what the platform keeps.
	Store interface {
		// Routes returns the configuration if it changed after the cursor,
		// and waits for that up to a time.
		Routes(ctx context.Context, after uint64, wait time.Duration) (RoutesChange, error)
		// Endpoints returns the entries that changed after the cursor.
		Endpoints(ctx context.Context, after uint64) (EndpointsChange, error)
		// Instances returns the entry instances that announced themselves.
		Instances(ctx context.Context) ([]Listed, error)
		// Announce lists an instance.
		Announce(ctx context.Context, i instance.Info) error
		// Forget removes an entry unless it has changed since it was read.
		Forget(ctx context.Context, l Listed) error
	}

	// RoutesChange is the newest configuration as the operator wrote it; nil
	// if it did not change.
	RoutesChange struct {
		Cursor   uint64
		Document []byte
	}

	// EndpointsChange are changes of the list of endpoints.
	EndpointsChange struct {
		endpoint.Change
		// Unreadable tells of entries that name no endpoint.
		Unreadable []error
	}

	// Listed is an instance that has announced itself.
	Listed struct {
		Info instance.Info
		// Version changes with each announcement.
		Version uint64
	}

	// Options are the parts that a Runner works with.
	Options struct {
		Endpoints Endpoints
		Store     Store
		// DecodeRoutes reads a configuration as the operator wrote it.
		DecodeRoutes func([]byte) (route.Document, error)
		// Handler makes the handler of callers' requests.
		Handler func(*Runner) http.Handler
		// Record takes events; it must not block.
		Record func(time.Time, event.Record)
	}

	// Runner is one running instance.
	Runner struct {
		cfg Config
		Options
		ctx   context.Context
		work  conc.WaitGroup
		peers *peer.Pool
		// sooner tells the timer that the next Tick is due earlier.
		sooner   chan struct{}
		routes   atomic.Pointer[route.Table]
		document atomic.Pointer[[]byte]
		view     atomic.Pointer[pool.View]
		stopping atomic.Bool
		metrics  *metric.Joined
		// storeLost tells that the store does not answer.
		storeLost atomic.Bool

		listsMu sync.Mutex
		// lists are the platform's lists as they are in use.
		lists message.Lists

		// asked is the newest configuration that a peer was asked for.
		askMu   sync.Mutex
		asked   uint64
		askedAt time.Time

		// useMu keeps the order in which lists come into use.
		useMu sync.Mutex
		// storeRead tells that the endpoints are the store's own word.
		storeRead bool

		// listChanges are what peers have read of the list of endpoints.
		listChanges chan endpoint.Change

		mu       sync.Mutex
		machine  *pool.Machine
		out      pool.Output
		wake     time.Time
		lastCall uint64
		calls    map[uint64]chan *fault.Error
	}
)

// New returns a runner. Run makes it work.
func New(cfg Config, o Options) *Runner {
	now := time.Now()
	r := &Runner{
		cfg:         cfg,
		Options:     o,
		ctx:         context.Background(),
		sooner:      make(chan struct{}, 1),
		listChanges: make(chan endpoint.Change, maxListChanges),
		machine:     pool.New(now, pool.Config{Self: cfg.Self, LeaseTime: cfg.LeaseTime, StopTime: cfg.StopTime}),
		calls:       map[uint64]chan *fault.Error{},
	}
	r.view.Store(&pool.View{})
	r.metrics = metric.NewJoined(r.snapshot)
	r.Record = func(now time.Time, e event.Record) {
		r.metrics.Event(e)
		o.Record(now, e)
	}
	r.peers = peer.New(peer.Config{
		Self:    cfg.Self,
		Handler: peerInputs{r},
		Silence: peerSilence,
		Binds:   binds,
		Connect: peerConnect,
		Seed:    cfg.Self.Incarnation,
	})
	return r
}

// Routes returns the configuration in force, or nil.
func (r *Runner) Routes() *route.Table { return r.routes.Load() }

// Stopping reports whether the planned stop has begun.
func (r *Runner) Stopping() bool { return r.stopping.Load() }

// Pending returns how many jobs of the queue wait here of which no task has
// begun.
func (r *Runner) Pending(queue string) int { return r.view.Load().Waiting[queue] }

// Submit takes a job in and waits for its end. It reports false if the caller
// has left before.
func (r *Runner) Submit(ctx context.Context, j pool.Job) (f *fault.Error, answered bool) {
	begun := time.Now()
	answer := make(chan *fault.Error, 1)
	var call uint64
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) {
		r.lastCall++
		call = r.lastCall
		r.calls[call] = answer
		m.Submit(now, call, j, out)
	})
	select {
	case f = <-answer:
		r.metrics.Answer(j.Queue.Name, f, time.Since(begun))
		return f, true
	case <-ctx.Done():
	}
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.CallerLeft(now, call, out) })
	select {
	case f = <-answer: // an answer that was ready is delivered, if it still can be
		return f, true
	default:
		return nil, false
	}
}

// Knows reports whether a job is in work here.
func (r *Runner) Knows(id string) (known bool) {
	r.apply(func(_ time.Time, m *pool.Machine, _ *pool.Output) { known = m.HasJob(id) })
	return known
}

// Cancel ends a job and reports whether it was in work here.
func (r *Runner) Cancel(id string) (known bool) {
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { known = m.Cancel(now, id, out) })
	return known
}

// apply passes one input to the machine and carries out what it decided.
func (r *Runner) apply(input func(now time.Time, m *pool.Machine, out *pool.Output)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.out.Reset()
	input(now, r.machine, &r.out)
	r.perform(now)
}

// perform carries out the actions. It holds the lock and must not block.
func (r *Runner) perform(now time.Time) {
	o := &r.out
	for _, a := range o.Answers {
		if answer, ok := r.calls[a.Call]; ok {
			delete(r.calls, a.Call)
			answer <- a.Fault
		}
	}
	for _, s := range o.Starts {
		r.work.Go(func() { r.start(s) })
	}
	for _, s := range o.Stops {
		r.work.Go(func() { r.stop(s) })
	}
	for _, l := range o.Polls {
		r.work.Go(func() { r.look(l) })
	}
	for _, m := range o.Messages {
		r.peers.Send(m)
	}
	for _, e := range o.Events {
		r.Record(now, e)
	}
	r.schedule(o.Wake)
}

func (r *Runner) start(s pool.Start) {
	reply := r.Endpoints.Start(r.ctx, s)
	r.metrics.Order("start", reply.Outcome.String())
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandleStartReply(now, reply, out) })
}

func (r *Runner) stop(s pool.Stop) {
	reply := r.Endpoints.Stop(r.ctx, s)
	r.metrics.Order("stop", reply.Outcome.String())
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandleStopReply(now, reply, out) })
}

func (r *Runner) look(l pool.Poll) {
	reply := r.Endpoints.Look(r.ctx, l)
	r.metrics.Order("look", reply.Outcome.String())
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandlePollReply(now, reply, out) })
}

// schedule notes when the next Tick is due. It holds the lock.
func (r *Runner) schedule(at time.Time) {
	if at.IsZero() || !r.wake.IsZero() && !at.Before(r.wake) {
		return
	}
	r.wake = at
	select {
	case r.sooner <- struct{}{}:
	default:
	}
}

// tick calls the machine's Tick whenever it is due, until the context ends.
func (r *Runner) tick() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.sooner:
		case <-timer.C:
			r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) {
				r.wake = time.Time{}
				m.Tick(now, out)
				v := m.View(now)
				r.view.Store(&v)
			})
		}
		timer.Reset(r.untilTick())
	}
}

func (r *Runner) untilTick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(time.Until(r.wake), minTick), maxTick)
}
