package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

// The phases of a submission at its home.
const (
	// claiming means that the claim's fate is not known yet.
	claiming phase = iota
	// lapsed means that the last try gave up before the claim's fate was known.
	lapsed
	// held means that the claim is ours and no task has started.
	held
	// active means accepted and not finished.
	active
	// storing means finished, with an answer that waits for the store.
	storing
	// finished means that the answer is final.
	finished
)

// The requests that a waiter may have made.
const (
	submitRequest request = iota
	showRequest
	cancelRequest
)

// callBase marks the numbers of this package's calls to the store.
const callBase = 1 << 63

type (
	phase   uint8
	request uint8

	// waiter is one request that waits for the answer of a submission, from
	// a caller of this instance or, if peer is set, from another instance.
	waiter struct {
		request request
		call    uint64
		peer    instance.Ref
		// wait tells that only a final answer will do.
		wait bool
		// claim tells that the peer hands the job over to a new home.
		claim bool
	}

	// submission is what the home remembers of one submission.
	submission struct {
		id    string
		phase phase
		// class and team are set once the job is accepted.
		class, team string
		// dropped is how many tasks were waiting when the job ended.
		dropped int
		// doubtful tells that an attempt to claim may have taken effect.
		doubtful bool
		// durable tells that the answer is stored before it is given.
		durable bool
		// cancelled tells that a cancel came while the claim was under way.
		cancelled bool
		// claim numbers the claim; it is part of the claim's row.
		claim uint64
		hash  uint64
		// until is when the start window ends.
		until time.Time
		// limit is when callers are told that they can't have the answer
		// yet: the claim's or the stored answer's.
		limit    time.Time
		job      *job.Job
		accepted time.Time
		outcomes []task.Outcome
		sends    []send
		// open counts the tasks that are not answered.
		open   int
		result *job.Result
		bytes  int
		// retained is until when a finished submission's answer is kept.
		retained time.Time
		// row is the claim's row, and after the end the durable answer, as it
		// is stored.
		row     []byte
		waiters []waiter
	}

	// send is the last send of one task.
	send struct {
		attempt  uint64
		refusals int
	}

	// remnant is what is left of a submission whose answer was dropped.
	remnant struct {
		hash    uint64
		durable bool
		state   job.State
		until   time.Time
	}

	// Manager decides about the submissions of one instance incarnation.
	Manager struct {
		settings  Settings
		admission Admission
		circuit   *storage.Circuit
		batcher   *storage.Batcher

		// first is the time of New and wall the same without its monotonic
		// reading.
		first, wall time.Time

		// latest is the latest time that an input had.
		latest   time.Time
		stopping bool
		// The last numbers of issued ids, claims, sends and forwards.
		number  uint64
		claim   uint64
		attempt uint64
		request uint64

		submissions map[string]*submission
		remnants    map[string]remnant
		// calls tells where the callers' requests wait.
		calls     map[uint64]callPlace
		forwards  map[uint64]*forward
		lookups   map[string][]lookup
		instances map[place]instance.Info
		// lost are the places that were heard of and do not answer.
		lost     map[place]bool
		durable  map[string]bool
		refusals refusals
		timers   timers

		// finishedBytes and storingBytes are sizes of kept answers.
		finishedBytes, storingBytes int
		// order lists finished submissions, oldest first, from head on.
		order []*submission
		head  int

		// outcomes is reused between calls.
		outcomes []storage.Outcome
	}

	// callPlace is where a call waits: a submission or a forward.
	callPlace struct {
		submission string
		forward    uint64
	}

	// place names an instance over its incarnations.
	place struct{ dataCentre, id string }
)

// New returns a Manager that remembers nothing.
func New(s Settings, a Admission, now time.Time) *Manager {
	s = s.withDefaults()
	m := &Manager{
		settings:    s,
		admission:   a,
		circuit:     s.Circuit,
		batcher:     storage.NewBatcher(s.Circuit, callBase),
		first:       now,
		wall:        now.Round(0),
		latest:      now,
		submissions: map[string]*submission{},
		remnants:    map[string]remnant{},
		calls:       map[uint64]callPlace{},
		forwards:    map[uint64]*forward{},
		lookups:     map[string][]lookup{},
		instances:   map[place]instance.Info{},
		lost:        map[place]bool{},
		durable:     map[string]bool{},
		refusals:    refusals{results: map[peerRequest]*job.Result{}},
	}
	m.batcher.SetBudget(s.StoreWrites, s.StoreReads)
	return m
}

// advance returns the present time, which never goes back: a clock that is set
// back must not open a start window again.
func (m *Manager) advance(now time.Time) time.Time {
	if now.After(m.latest) {
		m.latest = now
	}
	return m.latest
}

// issuedAt returns when an id of this incarnation was issued, as a time that
// compares with the present time even after the wall clock was set.
func (m *Manager) issuedAt(id ID) time.Time { return m.first.Add(id.Issued.Sub(m.wall)) }

// end hands out the store's calls and the time of the next Tick. Every method
// with an Output ends by it.
func (m *Manager) end(now time.Time, out *Output) {
	out.Calls = m.batcher.Flush(now, out.Calls)
	out.Wake = earlier(m.timers.next(), m.batcher.Next())
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// SetClasses tells which classes exist.
func (m *Manager) SetClasses(_ time.Time, classes []class.Class) {
	clear(m.durable)
	for _, c := range classes {
		if c.DurableAnswers {
			m.durable[c.Name] = true
		}
	}
}

// SetInstances tells which instances there are. Requests that wait for an
// incarnation that was replaced end.
func (m *Manager) SetInstances(now time.Time, list []instance.Info, out *Output) {
	now = m.advance(now)
	clear(m.instances)
	self := place{m.settings.Self.DataCentre, m.settings.Self.ID}
	for _, i := range list {
		p := place{i.DataCentre, i.ID}
		if p != self {
			m.instances[p] = i
			delete(m.lost, p)
		}
	}
	n := float64(len(m.instances) + 1)
	m.batcher.SetBudget(m.settings.StoreWrites/n, m.settings.StoreReads/n)
	for _, f := range m.sortedForwards() {
		if m.replaced(f.home) {
			m.homeGone(f, gone(), out)
		}
	}
	m.end(now, out)
}

// replaced reports whether a later incarnation is known in that one's place. A
// list may lag and still show an earlier one.
func (m *Manager) replaced(home instance.Ref) bool {
	if home.DataCentre == m.settings.Self.DataCentre && home.ID == m.settings.Self.ID {
		return m.settings.Self.Incarnation > home.Incarnation
	}
	i, ok := m.instances[place{home.DataCentre, home.ID}]
	return ok && i.Incarnation > home.Incarnation
}

// reachable reports whether messages to that incarnation may arrive. One that
// was never heard of may: this instance has just started, or the other one.
func (m *Manager) reachable(home instance.Ref) bool {
	return m.listed(home) || !m.lost[place{home.DataCentre, home.ID}]
}

// listed reports whether the list has an instance in that one's place.
func (m *Manager) listed(home instance.Ref) bool {
	_, ok := m.instances[place{home.DataCentre, home.ID}]
	return ok
}

// IssueIDs returns a block of n ids whose home is this instance.
func (m *Manager) IssueIDs(now time.Time, n int) ([]string, *fault.Error) {
	now = m.advance(now)
	if n < 1 || n > MaxIDBlock {
		return nil, fault.New(fault.BadRequest, "count is %d; ask for 1 to %d ids", n, MaxIDBlock)
	}
	if m.stopping {
		return nil, m.stoppingFault()
	}
	ids := make([]string, n)
	for i := range ids {
		ids[i] = m.issue(now)
	}
	if len(ids[n-1]) > MaxIDLength {
		return nil, fault.New(fault.Internal, "issued ids are longer than %d bytes; shorten the names of the data centre and the instance", MaxIDLength)
	}
	return ids, nil
}

func (m *Manager) issue(now time.Time) string {
	m.number++
	issued := m.wall.Add(now.Sub(m.first))
	return ID{Home: m.settings.Self, Issued: issued, Number: m.number}.String()
}

func (m *Manager) stoppingFault() *fault.Error {
	return fault.New(fault.Stopping, "").WithRetryAfter(m.circuit.Jitter(stoppingRetry))
}
