package pool

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// tailRunFactor is how many times longer the runs of the tail take.
	tailRunFactor = 7
	// maxListedEnds is the number of ends in one list, by the platform's specification.
	maxListedEnds = 500
)

type (
	// fakeEndpoint implements the platform's specification of an endpoint.
	fakeEndpoint struct {
		sim       *simulation
		index     int
		info      endpoint.Info
		up        bool
		startedAt time.Time
		token     int64
		leaseEnd  time.Duration
		runs      map[run.Ref]*fakeRun
		ended     []End
		lastEnd   int64
		// highestRun is the highest number of a stopped or ended run, by task.
		highestRun   map[string]int64
		pendingPolls []*pendingPoll
		// slowdown is the factor applied to run times. fails makes all runs
		// fail, and hangs makes them stall.
		slowdown float64
		fails    bool
		hangs    bool
		// failShare and refuseShare are the shares of runs that fail and of
		// starts that are refused, and tailShare that of runs that take
		// tailFactor times as long.
		failShare, refuseShare, tailShare float64
		// losesStops makes stops have no effect and no answer.
		losesStops bool
		leaving    fakeLeaving
		// unguarded makes it start whatever it is told to. sizes are its sizes since it
		// started, and listedSize is the one that the list shows.
		unguarded  bool
		sizes      []sizeChange
		listedSize task.Needs
		// staleEntry is the entry of its earlier boot while the list still shows that; nil
		// otherwise.
		staleEntry *endpoint.Info
		// coldUntil is until when runs that start take coldSlowdown times as long.
		coldUntil time.Time
		// predecessor is the endpoint that this one has replaced after a crash; nil if
		// there is none.
		predecessor *fakeEndpoint
		// fullRefusals counts the starts refused as Full, startCount the others and
		// lostRuns the runs that ended because the endpoint did.
		// refusedStops counts the stops that arrived while it was down.
		fullRefusals, startCount, lostRuns, refusedStops int
	}

	fakeRun struct {
		ref       run.Ref
		needs     task.Needs
		startedAt time.Time
		duration  time.Duration
		ended     bool
	}

	pendingPoll struct {
		lastEnd int64
		reply   func(PollReply)
		done    bool
	}
)

func newFakeEndpoint(sim *simulation, i int) *fakeEndpoint {
	e := &fakeEndpoint{sim: sim, index: i, up: true, slowdown: 1}
	e.info = endpoint.Info{
		ID:         fmt.Sprintf("e%02d", i),
		Address:    netip.AddrPortFrom(address.Addr(), uint16(1+i)),
		DataCentre: sim.dataCentre(i),
		Rack:       fmt.Sprintf("r%d", i/3),
		Slots:      8,
		Size:       needs(16),
		Service:    "s",
		Labels:     []string{"a", fmt.Sprintf("r%d", i/3)},
	}
	e.info.Size.MemoryBytes = 64 << 30
	e.boot()
	e.startedAt = e.startedAt.Add(-time.Hour) // its clock is ahead of that of its next boot
	e.info.StartedAt = e.startedAt
	return e
}

func (e *fakeEndpoint) boot() {
	e.up, e.startedAt = true, e.sim.now.Truncate(time.Millisecond)
	e.info.StartedAt = e.startedAt
	e.token, e.leaseEnd, e.lastEnd = 0, 0, 0
	e.runs, e.ended, e.highestRun = map[run.Ref]*fakeRun{}, nil, map[string]int64{}
	e.pendingPolls = nil
	e.leaving, e.coldUntil = fakeLeaving{}, time.Time{}
	e.sizes, e.listedSize, e.staleEntry = nil, task.Needs{}, nil
}

// crash ends all runs on the endpoint. It restarts after d.
func (e *fakeEndpoint) crash(d time.Duration) {
	e.down()
	e.sim.after(d, e.boot)
}

// down ends all runs on the endpoint, which no longer answers.
func (e *fakeEndpoint) down() {
	for _, r := range e.sortedRuns() {
		r.ended = true
		e.lostRuns++
		e.sim.observer.runEnded(e, r.ref, run.Expired)
	}
	e.runs = map[run.Ref]*fakeRun{}
	e.up = false
}

func (e *fakeEndpoint) clock() time.Duration { return e.sim.now.Sub(e.startedAt) + time.Millisecond }

func (e *fakeEndpoint) start(s Start) Reply {
	if r, ok := e.checkOrder(s.Order); !ok {
		return r
	}
	if _, ok := e.runs[s.Run]; ok {
		e.extendLease(s.Until)
		return e.reply(Accepted)
	}
	if s.Until <= e.clock() {
		return e.reply(Late)
	}
	e.extendLease(s.Until)
	if e.refuseShare > 0 && e.sim.rng.Float64() < e.refuseShare {
		return e.reply(Unhealthy)
	}
	for ref := range e.runs {
		if ref.Task == s.Run.Task && ref.Number >= s.Run.Number {
			return e.reply(Old)
		}
	}
	if s.Run.Number <= e.highestRun[s.Run.Task] {
		return e.reply(Old)
	}
	n, duration, ok := e.sim.observer.workOf(s.Run.Task)
	used := task.Needs{}
	for _, r := range e.runs {
		used = addScaled(used, r.needs, 1)
	}
	fits := fitsWithin(addScaled(used, n, 1), e.info.Size) && len(e.runs) < e.info.Slots
	if !fits && !e.unguarded {
		e.fullRefusals++
		return e.reply(Full)
	}
	e.checkRoom(s, addScaled(used, n, 1))
	if e.sim.onStart != nil {
		e.sim.onStart(e, s)
	}
	r := &fakeRun{ref: s.Run, needs: n, startedAt: e.sim.now, duration: time.Duration(e.currentSlowdown() * float64(duration))}
	if e.tailShare > 0 && e.sim.rng.Float64() < e.tailShare {
		r.duration *= tailRunFactor
	}
	if e.failShare > 0 && e.sim.rng.Float64() < e.failShare {
		ok = false
	}
	e.runs[s.Run] = r
	e.startCount++
	e.sim.observer.runStarted(e, s)
	e.crashAfterStart(s.Run.Task)
	if !e.hangs {
		e.sim.after(r.duration, func() { e.end(r, statusOf(ok && !e.fails)) })
	}
	return e.reply(Accepted)
}

// checkOrder refuses orders while the endpoint is down and orders with an old
// token.
func (e *fakeEndpoint) checkOrder(o Order) (Reply, bool) {
	if !e.up {
		return Reply{Outcome: ConnectionRefused}, false
	}
	if o.Token < e.token {
		return e.reply(Fenced), false
	}
	e.token = o.Token
	return Reply{}, true
}

func (e *fakeEndpoint) reply(o Outcome) Reply { return Reply{Outcome: o, Clock: e.clock()} }

// extendLease renews the lease and ends all runs when it expires.
func (e *fakeEndpoint) extendLease(until time.Duration) {
	until = min(until, e.clock()+testLeaseTime)
	if until <= e.leaseEnd {
		return
	}
	e.leaseEnd = until
	startedAt := e.startedAt
	e.sim.after(until-e.clock(), func() {
		if e.startedAt != startedAt || !e.up || e.clock() < e.leaseEnd {
			return
		}
		for _, r := range e.sortedRuns() {
			e.end(r, run.Expired)
		}
	})
}

// sortedRuns returns the runs, sorted by task name and number.
func (e *fakeEndpoint) sortedRuns() []*fakeRun {
	return slices.SortedFunc(maps.Values(e.runs), func(a, b *fakeRun) int {
		return cmp.Or(cmp.Compare(a.ref.Task, b.ref.Task), cmp.Compare(a.ref.Number, b.ref.Number))
	})
}

func (e *fakeEndpoint) end(r *fakeRun, status run.Status) {
	if r.ended {
		return
	}
	r.ended = true
	delete(e.runs, r.ref)
	e.lastEnd++
	e.ended = append(e.ended, End{Number: e.lastEnd, Run: r.ref, Status: status})
	e.highestRun[r.ref.Task] = max(e.highestRun[r.ref.Task], r.ref.Number)
	e.sim.observer.runEnded(e, r.ref, status)
	for _, p := range e.pendingPolls {
		e.answer(p)
	}
	e.pendingPolls = nil
}

func (e *fakeEndpoint) stop(s Stop) Reply {
	if e.losesStops {
		return Reply{Outcome: Unanswered}
	}
	if !e.up {
		e.refusedStops++
	}
	if r, ok := e.checkOrder(s.Order); !ok {
		return r
	}
	e.highestRun[s.Run.Task] = max(e.highestRun[s.Run.Task], s.Run.Number)
	if r := e.runs[s.Run]; r != nil {
		e.sim.after(testStopTime/2, func() { e.end(r, run.Stopped) })
	}
	return e.reply(Accepted)
}

func (e *fakeEndpoint) poll(p Poll, reply func(PollReply)) {
	if r, ok := e.checkOrder(p.Order); !ok {
		reply(PollReply{Reply: r})
		return
	}
	if p.Until > 0 {
		e.extendLease(p.Until)
	}
	for len(e.ended) > 0 && e.ended[0].Number <= p.LastEnd {
		e.ended = e.ended[1:]
	}
	pending := &pendingPoll{lastEnd: p.LastEnd, reply: reply}
	if p.Wait <= 0 || len(e.ended) > 0 {
		e.answer(pending)
		return
	}
	e.pendingPolls = append(e.pendingPolls, pending)
	e.sim.after(p.Wait, func() { e.answer(pending) })
}

func (e *fakeEndpoint) answer(p *pendingPoll) {
	if p.done {
		return
	}
	p.done = true
	r := PollReply{Reply: e.reply(Accepted), StartedAt: e.startedAt}
	for _, fr := range e.sortedRuns() {
		percent := 100 * float64(e.sim.now.Sub(fr.startedAt)) / float64(max(fr.duration, 1))
		if e.hangs {
			percent = 0
		}
		r.Running = append(r.Running, Running{Run: fr.ref, Percent: percent})
	}
	r.Ended = append(r.Ended, e.ended[:min(len(e.ended), maxListedEnds)]...)
	r.Draining, r.Remaining = e.leaving.remaining(e.sim.now)
	if !e.up {
		r = PollReply{Reply: Reply{Outcome: ConnectionRefused}}
	}
	p.reply(r)
}
