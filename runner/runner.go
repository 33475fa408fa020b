package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/metric"
	"github.com/lovagecrank/lovagecrank/patience"
	"github.com/lovagecrank/lovagecrank/peer"
	"github.com/lovagecrank/lovagecrank/pool"
	"github.com/lovagecrank/lovagecrank/route"
)

type (
	// Config configures a Runner.
	Config struct {
		Self instance.Info
		// FirstStart reports that the whole installation starts for the first
		// time, so that the store's list of instances is still incomplete.
		FirstStart bool
		// Callers, Readiness and Metrics are the listen addresses for callers,
		// the readiness probe and metrics.
		Callers, Readiness, Metrics netip.AddrPort
		// LeaseTime is the longest lease that an endpoint grants, and StopTime is
		// how long an endpoint takes to stop a run.
		LeaseTime, StopTime time.Duration
		// GracePeriod is how long the process may run after the signal to stop.
		GracePeriod time.Duration
		// Limits bound the memory that callers' jobs take.
		Limits footprint.Limits
	}

	// EndpointClient sends orders to endpoints. Each method blocks until it has
	// the reply or knows that there is none.
	EndpointClient interface {
		Start(ctx context.Context, s pool.Start) pool.StartReply
		Stop(ctx context.Context, s pool.Stop) pool.StopReply
		Poll(ctx context.Context, p pool.Poll) pool.PollReply
	}

	// Store is the platform's store.
	Store interface {
		// Configuration returns the configuration, and the operators' requests to
		// evacuate data centres, as far as they have changed since after, which is the Cursor of an earlier result, or zero to read it in any
		// case. It waits for a change for at most wait.
		Configuration(ctx context.Context, after uint64, wait time.Duration) (ConfigurationChange, error)
		// Endpoints returns the entries of endpoints that have changed since
		// after, which is the Cursor of an earlier result, or zero to read all
		// entries.
		Endpoints(ctx context.Context, after uint64) (EndpointsChange, error)
		// Instances returns the announcements of instances that have changed since
		// after, which is the Cursor of an earlier result, or zero to read all
		// of them.
		Instances(ctx context.Context, after uint64) (InstancesChange, error)
		// Announce adds or replaces the entry of an instance.
		Announce(ctx context.Context, i instance.Info) error
		// RemoveInstance removes the entry of an instance unless it has changed
		// since it was read.
		RemoveInstance(ctx context.Context, l ListedInstance) error
		// Patience returns what instances have kept of how long callers wait; nil
		// if there is nothing that this release can read.
		Patience(ctx context.Context) ([]patience.Profile, error)
		// KeepPatience replaces what Patience returns.
		KeepPatience(ctx context.Context, profiles []patience.Profile) error
	}

	// ConfigurationChange is the result of reading the configuration.
	ConfigurationChange struct {
		// Cursor is the position up to which changes have been read.
		Cursor uint64
		// Encoded is the newest configuration as the operator wrote it, or nil
		// if it has not changed.
		Encoded []byte
		// Evacuations are the changes of the operators' requests to evacuate data
		// centres, which are read with the configuration.
		Evacuations EvacuationChange
	}

	// EndpointsChange has changes of the list of endpoints.
	EndpointsChange struct {
		endpoint.Change
		// InvalidEntries has an error for each entry that could not be decoded.
		InvalidEntries []error
	}

	// InstancesChange has changes of the list of instances.
	InstancesChange struct {
		// Cursor is the position up to which changes have been read.
		Cursor uint64
		// Full means that Put is the complete list.
		Full bool
		Put  []ListedInstance
		// Removed holds the IDs of the removed entries.
		Removed []string
	}

	// ListedInstance is the entry of an instance that has announced itself.
	ListedInstance struct {
		Info instance.Info
		// Version changes with each announcement.
		Version uint64
	}

	// Options are the dependencies of a Runner. All but Listen are required.
	Options struct {
		EndpointClient EndpointClient
		Store          Store
		// DecodeConfiguration decodes a configuration as the operator wrote it.
		DecodeConfiguration func([]byte) (route.Document, error)
		// NewHandler returns the handler of callers' requests.
		NewHandler func(*Runner) http.Handler
		// Record logs an event. It must not block.
		Record func(time.Time, event.Record)
		// Listen opens a listener at one of the addresses of Config. It is
		// optional; the default opens a TCP socket.
		Listen func(netip.AddrPort) (net.Listener, error)
	}

	// Runner is one running instance.
	Runner struct {
		cfg Config
		Options
		ctx context.Context
		// inFlight waits for the goroutines of orders and of unsent messages.
		inFlight conc.WaitGroup
		peers    *peer.Pool
		// rescheduled signals tick that the next Tick is due earlier.
		rescheduled chan struct{}
		routes      atomic.Pointer[route.Table]
		// encodedConfiguration is the configuration in force, as the operator
		// wrote it.
		encodedConfiguration atomic.Pointer[[]byte]
		view                 atomic.Pointer[pool.View]
		stopping             atomic.Bool
		// requests is the number of callers' requests that have no complete answer.
		requests atomic.Int64
		metrics  *metric.RunnerSet
		// callers is the server of callers' requests. Run sets it before it serves.
		callers *httpapi.Server
		// memory is the memory that bodies and open jobs take.
		memory *footprint.Budget
		// listReads are the reads of the endpoints and the instances from the
		// store, and configurationReads those of the configuration.
		listReads, configurationReads dependency

		listsMu sync.Mutex
		// lists are the endpoints and the other instances in use, as sent to peers.
		lists message.Lists

		// listsRequestedAt is when the lists were last requested from a peer, and
		// listsRequests counts the requests. Only tick uses them.
		listsRequestedAt time.Time
		listsRequests    int

		// configurationRequests are the requests for the configuration to peers.
		requestMu             sync.Mutex
		configurationRequests configurationRequests

		// endpointsMu serializes changes of the endpoints in use.
		endpointsMu sync.Mutex
		// listFromStore reports that the endpoints in use are the store's list.
		listFromStore bool

		// listChanges has changes of the list of endpoints from peers.
		listChanges chan endpoint.Change

		// mu guards the fields below.
		mu      sync.Mutex
		machine *pool.Machine
		out     pool.Output
		// suspensions measures the suspensions of the machine.
		suspensions suspensionClock
		// wake is when the next Tick is due.
		wake time.Time
		// calls has the channels for the answers of unanswered submissions, by
		// call number. lastCall is the last call number used.
		lastCall uint64
		calls    map[uint64]chan *fault.Error
	}
)

// New returns a runner that does nothing until Run is called.
func New(cfg Config, o Options) *Runner {
	now := time.Now()
	cfg.Limits = cfg.Limits.WithDefaults()
	r := &Runner{
		cfg:         cfg,
		Options:     o,
		memory:      footprint.NewBudget(cfg.Limits),
		ctx:         context.Background(),
		rescheduled: make(chan struct{}, 1),
		listChanges: make(chan endpoint.Change, maxQueuedListChanges),
		machine:     pool.New(now, pool.Config{Self: cfg.Self, FirstStart: cfg.FirstStart, LeaseTime: cfg.LeaseTime, StopTime: cfg.StopTime, AwaitEvacuations: true}),
		calls:       map[uint64]chan *fault.Error{},
		suspensions: newSuspensionClock(now),

		listsRequestedAt: now,
	}
	if r.Listen == nil {
		r.Listen = func(a netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", a.String()) }
	}
	r.view.Store(&pool.View{})
	r.metrics = metric.NewRunnerSet(r.snapshot)
	r.Record = func(now time.Time, e event.Record) {
		r.metrics.Event(e)
		o.Record(now, e)
	}
	r.peers = peer.New(peer.Config{
		Self:           cfg.Self,
		Handler:        peerHandler{r},
		ReadTimeout:    peerReadTimeout,
		Critical:       isCritical,
		ConnectTimeout: peerConnectTimeout,
		Seed:           cfg.Self.Incarnation,
	})
	return r
}

// Routes returns the table of queues of the configuration in force, or nil if there
// is none yet.
func (r *Runner) Routes() *route.Table { return r.routes.Load() }

// Stopping reports whether the planned stop has begun.
func (r *Runner) Stopping() bool { return r.stopping.Load() }

// Pending returns the number of jobs of the queue that wait at this instance and
// have no started task.
func (r *Runner) Pending(queue string) int { return r.view.Load().Waiting[queue] }

// Submit submits a job and waits for its answer; a nil error means that the job is
// complete. It returns answered false if ctx, the caller's context, ended before
// the answer. A job that exceeds the limits of memory is refused before anything is made
// for its tasks.
func (r *Runner) Submit(ctx context.Context, j pool.Job) (f *fault.Error, answered bool) {
	start := time.Now()
	release, f := r.reserveJob(j)
	if f != nil {
		r.RecordRefusal(j.Queue.Name, j.ID, f)
		return f, true
	}
	defer release()
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
		r.metrics.Answer(j.Queue.Name, f, time.Since(start))
		return f, true
	case <-ctx.Done():
	}
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.CallerLeft(now, call, out) })
	select {
	case f = <-answer: // the answer became ready in the meantime
		r.metrics.Answer(j.Queue.Name, f, time.Since(start))
		return f, true
	default:
		return nil, false
	}
}

// CountEvent counts an event that is logged without Record.
func (r *Runner) CountEvent(e event.Record) { r.metrics.Event(e) }

// RecordRefusal counts and logs that a submission was refused before it became a
// job of the machine. The names of the queue and the job are empty if they are not
// known; a refusal without a job is only counted.
func (r *Runner) RecordRefusal(queue, id string, f *fault.Error) {
	r.metrics.Refuse(queue, f)
	if id != "" {
		detail := f.Kind.Row().Code + " " + f.Kind.Row().Title + ": " + httpapi.Truncate(f.Detail)
		r.Record(time.Now(), event.Record{Kind: event.JobRefused, Subject: id, Detail: detail + "; queue=" + queue})
	}
}

// HasJob reports whether this instance has the job and has not answered it.
func (r *Runner) HasJob(id string) (found bool) {
	r.apply(func(_ time.Time, m *pool.Machine, _ *pool.Output) { found = m.HasJob(id) })
	return found
}

// Cancel ends a job. It reports whether this instance had the job and had not
// answered it.
func (r *Runner) Cancel(id string) (found bool) {
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { found = m.Cancel(now, id, out) })
	return found
}

// apply passes one input to the machine and performs the resulting actions.
func (r *Runner) apply(input func(now time.Time, m *pool.Machine, out *pool.Output)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.out.Reset()
	if d := r.suspensions.observe(now, timeSinceBoot()); d > 0 {
		r.machine.RecordSuspension(d)
	}
	input(now, r.machine, &r.out)
	r.perform(now)
}

// perform performs the actions in r.out. The caller holds r.mu, so perform must
// not block.
func (r *Runner) perform(now time.Time) {
	o := &r.out
	for _, a := range o.Answers {
		if answer, ok := r.calls[a.Call]; ok {
			delete(r.calls, a.Call)
			answer <- a.Fault
		}
	}
	for _, s := range o.Starts {
		r.inFlight.Go(func() { r.start(s) })
	}
	for _, s := range o.Stops {
		r.inFlight.Go(func() { r.stop(s) })
	}
	for _, p := range o.Polls {
		r.inFlight.Go(func() { r.poll(p) })
	}
	for _, m := range o.Messages {
		r.peers.Send(m)
	}
	for _, e := range o.Events {
		r.Record(now, e)
	}
	if o.NeighboursChanged {
		r.peers.SetPeers(o.Neighbours)
	}
	r.schedule(o.Wake)
}

func (r *Runner) start(s pool.Start) {
	reply := r.EndpointClient.Start(r.ctx, s)
	r.metrics.Order("start", reply.Outcome.String())
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandleStartReply(now, reply, out) })
}

func (r *Runner) stop(s pool.Stop) {
	reply := r.EndpointClient.Stop(r.ctx, s)
	r.metrics.Order("stop", reply.Outcome.String())
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandleStopReply(now, reply, out) })
}

func (r *Runner) poll(p pool.Poll) {
	reply := r.EndpointClient.Poll(r.ctx, p)
	r.metrics.Order("look", reply.Outcome.String())
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandlePollReply(now, reply, out) })
}

// schedule sets when the next Tick is due, unless one is due earlier or at is
// zero. The caller holds r.mu.
func (r *Runner) schedule(at time.Time) {
	if at.IsZero() || !r.wake.IsZero() && !at.Before(r.wake) {
		return
	}
	r.wake = at
	select {
	case r.rescheduled <- struct{}{}:
	default:
	}
}

// tick calls the machine's Tick whenever it is due, until the context ends.
func (r *Runner) tick() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var viewedAt time.Time
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.rescheduled:
		case <-timer.C:
			r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) {
				r.wake = time.Time{}
				m.Tick(now, out)
				if now.Sub(viewedAt) >= viewInterval {
					viewedAt = now
					v := m.View(now)
					r.view.Store(&v)
				}
			})
			r.requestLists(time.Now())
			r.requestConfiguration(time.Now())
		}
		timer.Reset(r.untilTick())
	}
}

// untilTick returns the time until the next Tick, from minTickDelay to
// maxTickInterval.
func (r *Runner) untilTick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(time.Until(r.wake), minTickDelay), maxTickInterval)
}
