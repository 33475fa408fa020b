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
	// maxTick is how old the view of operators may be.
	maxTick = 250 * time.Millisecond
	// minTick bounds how often the machine is asked what is due.
	minTick = time.Millisecond
)

type (
	// Endpoints sends tasks to endpoints.
	Endpoints interface {
		// Run sends a task once and returns how that ended.
		Run(ctx context.Context, s entry.Start) entry.End
		// Stop asks the endpoint to stop a task whose answer is not wanted.
		Stop(ctx context.Context, s entry.Stop)
	}

	// Table carries out calls to the platform's table.
	Table interface {
		Do(ctx context.Context, c storage.Call) storage.Reply
	}

	// Peers carries messages to other instances. Send never blocks and hands
	// back what it cannot queue.
	Peers interface {
		Send(m message.Message)
		// SetPeers tells where the instances are.
		SetPeers(infos []instance.Info)
	}

	// link names a request of a peer until its result is sent.
	link struct {
		peer    instance.Ref
		request uint64
	}

	// driver owns the lock around the machine. Each input takes the lock,
	// lets the machine decide and hands its actions to goroutines and queues
	// before it releases the lock, so that actions keep their order.
	driver struct {
		ctx       context.Context
		self      instance.Info
		tasks     conc.WaitGroup
		endpoints Endpoints
		table     Table
		peers     Peers
		write     func(event.Record)
		tracer    *trace.Tracer
		metrics   *metric.Set
		// view is what queries read without the lock.
		view atomic.Pointer[entry.View]
		// starts has a receiver for each goroutine that waits for a start.
		starts chan entry.Start
		// sooner tells the timer that the next Tick is due earlier.
		sooner chan struct{}

		mu       sync.Mutex
		machine  *entry.Machine
		actions  entry.Actions
		wake     time.Time
		lastCall uint64
		calls    map[uint64]chan<- job.Result
		changes  map[string][]chan<- configuration.Answer
		// homes are the spans of the peers' jobs that are decided here.
		homes map[link]trace.Span
	}
)

// apply passes one input to the machine and carries out what it decided.
func (d *driver) apply(input func(now time.Time, m *entry.Machine, out *entry.Actions)) {
	d.mu.Lock()
	d.actions.Reset()
	input(time.Now(), d.machine, &d.actions)
	d.perform()
	events := d.takeEvents()
	d.mu.Unlock()
	for _, r := range events {
		d.write(r)
	}
}

// perform carries out the actions. It holds the lock and must not block.
func (d *driver) perform() {
	a := &d.actions
	for _, r := range a.Replies {
		d.reply(r.Call, r.Result)
	}
	for _, c := range a.Changes {
		d.changed(c)
	}
	for _, s := range a.Starts {
		d.begin(s)
	}
	for _, s := range a.Stops {
		d.tasks.Go(func() { d.endpoints.Stop(d.ctx, s) })
	}
	for _, c := range a.Calls {
		d.tasks.Go(func() { d.do(c) })
	}
	if a.Peers != nil {
		d.peers.SetPeers(a.Peers)
	}
	for _, m := range a.Messages {
		d.endSpan(m)
		d.peers.Send(m)
	}
	d.schedule(a.Wake)
}

func (d *driver) takeEvents() []event.Record {
	if len(d.actions.Events) == 0 {
		return nil
	}
	return append([]event.Record(nil), d.actions.Events...)
}

func (d *driver) reply(call uint64, r job.Result) {
	c, ok := d.calls[call]
	if !ok {
		return
	}
	delete(d.calls, call)
	c <- r
}

func (d *driver) changed(a configuration.Answer) {
	for _, c := range d.changes[a.ChangeID] {
		c <- a
	}
	delete(d.changes, a.ChangeID)
}

// begin hands a start to a goroutine that waits for one, or to a new one. The
// stacks of those that wait have grown already.
func (d *driver) begin(s entry.Start) {
	select {
	case d.starts <- s:
	default:
		d.tasks.Go(func() { d.work(s) })
	}
}

// work runs a start, and further ones until the context ends.
func (d *driver) work(s entry.Start) {
	for {
		d.run(s)
		select {
		case s = <-d.starts:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *driver) run(s entry.Start) {
	e := d.endpoints.Run(d.ctx, s)
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.Finished(now, e, out)
	})
}

func (d *driver) do(c storage.Call) {
	begun := time.Now()
	r := d.table.Do(d.ctx, c)
	d.metrics.StoreCall(r.Fate, time.Since(begun))
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.StoreReplied(now, r, out)
	})
}

// schedule notes when the next Tick is due. It holds the lock.
func (d *driver) schedule(at time.Time) {
	earlier := !at.IsZero() && (d.wake.IsZero() || at.Before(d.wake))
	d.wake = at
	if !earlier {
		return
	}
	select {
	case d.sooner <- struct{}{}:
	default:
	}
}

// tick calls the machine's Tick whenever it is due, until the context ends.
func (d *driver) tick() {
	timer := time.NewTimer(maxTick)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.sooner:
		case <-timer.C:
			d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
				m.Tick(now, out)
				d.view.Store(m.View(now))
			})
		}
		timer.Reset(d.untilTick())
	}
}

// untilTick returns the time until the next Tick, which keeps the view fresh
// also when nothing is due.
func (d *driver) untilTick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wake.IsZero() {
		return maxTick
	}
	return min(max(time.Until(d.wake), minTick), maxTick)
}
