package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/metric"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/trace"
)

const (
	// maxTickInterval is the longest time between two Ticks. Each Tick updates
	// the view that operators see.
	maxTickInterval = 250 * time.Millisecond
	// minTickInterval is the shortest wait before a Tick; it limits the rate
	// of Ticks.
	minTickInterval = time.Millisecond
)

type (
	// Endpoints sends tasks to endpoints.
	Endpoints interface {
		// Run sends a task once and returns how the attempt ended.
		Run(ctx context.Context, s entry.Start) entry.End
		// Stop asks the endpoint to stop a task whose answer is no longer
		// needed.
		Stop(ctx context.Context, s entry.Stop)
	}

	// Table executes calls to the platform's transactional table.
	Table interface {
		Do(ctx context.Context, c storage.Call) storage.Reply
	}

	// Peers sends messages to other instances. Send never blocks; a message
	// that it can't queue is passed to [peer.Handler.Unsent].
	Peers interface {
		Send(m message.Message)
		// SetPeers replaces the list of instances that may receive messages.
		SetPeers(infos []instance.Info)
	}

	// peerRequest identifies a peer's request until its result is sent.
	peerRequest struct {
		peer    instance.Ref
		request uint64
	}

	// driver serializes access to the machine. Each input locks mu, calls the
	// machine and passes the resulting actions to goroutines and queues before
	// it unlocks mu, so that actions keep their order.
	driver struct {
		ctx        context.Context
		self       instance.Info
		goroutines conc.WaitGroup
		endpoints  Endpoints
		table      Table
		peers      Peers
		record     func(event.Record)
		tracer     *trace.Tracer
		metrics    *metric.Set
		// view is the latest snapshot, which queries read without locking mu.
		view atomic.Pointer[entry.View]
		// starts is an unbuffered channel on which idle goroutines receive
		// tasks to start.
		starts chan entry.Start
		// earlierTick signals runTicks that the next Tick is due earlier than
		// scheduled.
		earlierTick chan struct{}

		// mu guards the fields below.
		mu      sync.Mutex
		machine *entry.Machine
		actions entry.Actions
		// wake is the time of the next Tick; zero if none is needed.
		wake     time.Time
		lastCall uint64
		// pendingCalls are the reply channels of callers, by call number.
		pendingCalls map[uint64]chan<- job.Result
		// pendingChanges are the reply channels of operators, by change id.
		pendingChanges map[string][]chan<- configuration.ChangeResult
		// homeSpans are the open trace spans of jobs that peers forwarded to
		// this instance as their home.
		homeSpans map[peerRequest]trace.Span
	}
)

// apply calls update, which passes one input to the machine, under the lock and
// executes the resulting actions. It records events after unlocking.
func (d *driver) apply(update func(now time.Time, m *entry.Machine, out *entry.Actions)) {
	d.mu.Lock()
	d.actions.Reset()
	update(time.Now(), d.machine, &d.actions)
	d.executeActions()
	events := d.copyEvents()
	d.mu.Unlock()
	for _, r := range events {
		d.record(r)
	}
}

// executeActions executes d.actions. The caller must hold d.mu, so it must not
// block.
func (d *driver) executeActions() {
	a := &d.actions
	for _, r := range a.Replies {
		d.reply(r.Call, r.Result)
	}
	for _, c := range a.Changes {
		d.replyChange(c)
	}
	for _, s := range a.Starts {
		d.startTask(s)
	}
	for _, s := range a.Stops {
		d.goroutines.Go(func() { d.endpoints.Stop(d.ctx, s) })
	}
	for _, c := range a.Calls {
		d.goroutines.Go(func() { d.callStore(c) })
	}
	if a.Peers != nil {
		d.peers.SetPeers(a.Peers)
	}
	for _, m := range a.Messages {
		d.endHomeSpan(m)
		d.peers.Send(m)
	}
	d.schedule(a.Wake)
}

// copyEvents returns a copy of the events in d.actions, which the next input
// reuses.
func (d *driver) copyEvents() []event.Record {
	if len(d.actions.Events) == 0 {
		return nil
	}
	return append([]event.Record(nil), d.actions.Events...)
}

func (d *driver) reply(call uint64, r job.Result) {
	c, ok := d.pendingCalls[call]
	if !ok {
		return
	}
	delete(d.pendingCalls, call)
	c <- r
}

func (d *driver) replyChange(a configuration.ChangeResult) {
	for _, c := range d.pendingChanges[a.ChangeID] {
		c <- a
	}
	delete(d.pendingChanges, a.ChangeID)
}

// startTask passes a task start to an idle goroutine, or to a new one if none is
// idle. Idle goroutines are reused because their stacks have already grown.
func (d *driver) startTask(s entry.Start) {
	select {
	case d.starts <- s:
	default:
		d.goroutines.Go(func() { d.runTasks(s) })
	}
}

// runTasks runs s and then the tasks received from d.starts, until the context
// ends.
func (d *driver) runTasks(s entry.Start) {
	for {
		d.runTask(s)
		select {
		case s = <-d.starts:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *driver) runTask(s entry.Start) {
	e := d.endpoints.Run(d.ctx, s)
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.Finished(now, e, out)
	})
}

func (d *driver) callStore(c storage.Call) {
	started := time.Now()
	r := d.table.Do(d.ctx, c)
	d.metrics.StoreCall(r.Outcome, time.Since(started))
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.HandleStoreReply(now, r, out)
	})
}

// schedule sets the time of the next Tick; zero means that none is needed. The
// caller must hold d.mu.
func (d *driver) schedule(at time.Time) {
	earlier := !at.IsZero() && (d.wake.IsZero() || at.Before(d.wake))
	d.wake = at
	if !earlier {
		return
	}
	select {
	case d.earlierTick <- struct{}{}:
	default:
	}
}

// runTicks calls the machine's Tick when it is due and at least every
// maxTickInterval, until the context ends. Each Tick also updates the view.
func (d *driver) runTicks() {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.earlierTick:
		case <-timer.C:
			d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
				m.Tick(now, out)
				d.view.Store(m.View(now))
			})
		}
		timer.Reset(d.untilTick())
	}
}

// untilTick returns the time until the next Tick: at most maxTickInterval, so
// that the view is updated even if nothing is due.
func (d *driver) untilTick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wake.IsZero() {
		return maxTickInterval
	}
	return min(max(time.Until(d.wake), minTickInterval), maxTickInterval)
}
