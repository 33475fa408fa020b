package endpoint

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
)

// heartbeat is the period at which the fake instances send their signals to
// each other.
const heartbeat = 400 * time.Millisecond

var epoch = time.Date(2030, 7, 1, 14, 0, 0, 0, time.UTC)

type (
	// behaviour returns the outcome of a task with the given run time on the
	// endpoint with the given index, and after how long that outcome arrives.
	behaviour func(f *fleet, index int, run time.Duration) (Outcome, time.Duration)

	// fleet simulates a data centre on a virtual clock: a few instances, each
	// with a tracker, send tasks to endpoints that behave as the test
	// specifies.
	fleet struct {
		now      time.Time
		rng      *rand.Rand
		infos    []Info
		behave   behaviour
		failRate float64
		load     float64
		// runTime is the log-normal distribution of run times; the median is in
		// seconds.
		runTime struct{ median, sigma float64 }
		members []*fakeInstance
		events  eventQueue
		started []int
		// maxCandidates bounds the number of endpoints that pick compares.
		maxCandidates int
		onEvent       func(member int, r event.Record)
	}

	// fakeInstance is one instance of the fleet. busy and usable are indexed by
	// endpoint.
	fakeInstance struct {
		ref     instance.Ref
		tracker *Tracker
		busy    []int
		usable  []int
		waiting int
		out     Output
		counts  map[event.Kind]int
	}

	simEvent struct {
		at     time.Time
		member int
		// endpoint is the index of the endpoint where a task ended, -1 for the
		// arrival of a task, or -2 for a heartbeat.
		endpoint int
		outcome  Outcome
		runTime  time.Duration
		expected time.Duration
	}

	eventQueue []simEvent
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func healthy(f *fleet, _ int, run time.Duration) (Outcome, time.Duration) {
	if f.rng.Float64() < f.failRate {
		return Failed, run
	}
	return Answered, run
}

func infos(n, perRack int) []Info {
	list := make([]Info, n)
	for i := range list {
		list[i] = Info{
			ID:          fmt.Sprintf("e%04d", i),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 80),
			DataCentre:  "sofia-1",
			Rack:        fmt.Sprintf("r%d", i/perRack),
			Slots:       8,
			Connections: 64,
		}
	}
	return list
}

// newFleet returns a fleet of n endpoints and k instances at the given load, as
// a share of the capacity.
func newFleet(seed uint64, n, k int, load float64, behave behaviour) *fleet {
	f := &fleet{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), infos: infos(n, 6), behave: behave, failRate: 0.01, load: load, started: make([]int, n), maxCandidates: n}
	f.runTime.median, f.runTime.sigma = 0.3, 0.7
	for m := range k {
		ref := instance.Ref{DataCentre: "sofia-1", ID: fmt.Sprintf("i%d", m), Incarnation: 1}
		fi := &fakeInstance{ref: ref, busy: make([]int, n), usable: make([]int, n), counts: map[event.Kind]int{}}
		fi.tracker = New(Settings{DataCentre: ref.DataCentre, Seed: seed + uint64(m)}, f.now)
		fi.tracker.Update(f.now, f.infos, &fi.out)
		f.members = append(f.members, fi)
		heap.Push(&f.events, simEvent{at: f.now, member: m, endpoint: -1})
		heap.Push(&f.events, simEvent{at: f.now.Add(heartbeat), member: m, endpoint: -2})
	}
	return f
}

// run advances the simulation by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for {
		next, member := f.nextTick()
		if len(f.events) > 0 && (next.IsZero() || !f.events[0].at.After(next)) {
			next, member = f.events[0].at, -1
		}
		if next.After(end) {
			f.now = end
			return
		}
		f.now = next
		if member >= 0 {
			f.members[member].tracker.Tick(f.now, &f.members[member].out)
			f.handleOutput(member)
			continue
		}
		e := heap.Pop(&f.events).(simEvent)
		f.handle(e)
		f.handleOutput(e.member)
	}
}

func (f *fleet) nextTick() (time.Time, int) {
	var next time.Time
	member := -1
	for i, m := range f.members {
		if at := m.tracker.Next(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next, member = at, i
		}
	}
	if next.Before(f.now) && member >= 0 {
		next = f.now
	}
	return next, member
}

func (f *fleet) handle(e simEvent) {
	m := f.members[e.member]
	switch e.endpoint {
	case -1:
		m.waiting++
		mean := f.runTime.median * math.Exp(f.runTime.sigma*f.runTime.sigma/2)
		rate := f.load * float64(len(f.infos)*8) / mean / float64(len(f.members))
		gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
		heap.Push(&f.events, simEvent{at: f.now.Add(gap), member: e.member, endpoint: -1})
	case -2:
		for i, other := range f.members {
			if i != e.member {
				other.tracker.HandleSignals(f.now, m.ref, m.tracker.Signals(f.now), &other.out)
				f.handleOutput(i)
			}
		}
		heap.Push(&f.events, simEvent{at: f.now.Add(heartbeat), member: e.member, endpoint: -2})
	default:
		m.busy[e.endpoint]--
		m.tracker.Finished(f.now, f.infos[e.endpoint].ID, e.outcome, e.runTime, e.expected, Load{}, &m.out)
	}
}

// handleOutput handles the member's output and starts its waiting tasks.
func (f *fleet) handleOutput(member int) {
	m := f.members[member]
	for _, r := range m.out.Events {
		m.counts[r.Kind]++
		if f.onEvent != nil {
			f.onEvent(member, r)
		}
	}
	for _, id := range m.out.Changed {
		index, _ := strconv.Atoi(id[1:])
		m.usable[index] = m.tracker.Usable(f.now, id)
	}
	m.out = Output{Changed: m.out.Changed[:0], Events: m.out.Events[:0]}
	for m.waiting > 0 {
		index := f.pick(m)
		if index < 0 {
			return
		}
		m.waiting--
		f.start(member, index)
	}
}

// pick returns the index of the endpoint with the most free slots within this
// instance's share, or -1 if none is free. It stops comparing after
// maxCandidates endpoints once it has found one.
func (f *fleet) pick(m *fakeInstance) int {
	best, most := -1, 0
	from := f.rng.IntN(len(f.infos))
	for i := range f.infos {
		if best >= 0 && i >= f.maxCandidates {
			break
		}
		index := (from + i) % len(f.infos)
		share := (m.usable[index] + len(f.members) - 1) / len(f.members)
		if free := share - m.busy[index]; free > most {
			best, most = index, free
		}
	}
	return best
}

func (f *fleet) start(member, index int) {
	m := f.members[member]
	m.busy[index]++
	f.started[index]++
	m.tracker.Sent(f.now, f.infos[index].ID)
	run := time.Duration(f.runTime.median * math.Exp(f.runTime.sigma*f.rng.NormFloat64()) * float64(time.Second))
	outcome, runTime := f.behave(f, index, run)
	expected := time.Duration(f.runTime.median * float64(time.Second))
	heap.Push(&f.events, simEvent{at: f.now.Add(runTime), member: member, endpoint: index, outcome: outcome, runTime: runTime, expected: expected})
}

func (f *fleet) health(member, index int) Health {
	return f.members[member].tracker.byID[f.infos[index].ID].health
}

func (f *fleet) count(k event.Kind) int {
	n := 0
	for _, m := range f.members {
		n += m.counts[k]
	}
	return n
}
