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
	// claiming means that the outcome of the claim is not known yet.
	claiming phase = iota
	// claimTimedOut means that the last request gave up before the outcome of
	// the claim was known.
	claimTimedOut
	// notRun means that the job was refused and no task has started. It can be
	// submitted again until its start window ends.
	notRun
	// active means that the job is accepted and has not ended.
	active
	// storing means that the job has ended and its durable answer is being
	// stored.
	storing
	// finished means that the answer is final.
	finished
)

// The kinds of requests.
const (
	submitRequest requestKind = iota
	showRequest
	cancelRequest
)

// callBase is the offset of the numbers of this package's store calls. It keeps
// them apart from the calls of other packages.
const callBase = 1 << 63

type (
	phase       uint8
	requestKind uint8

	// waiter is a request that waits for the answer of a submission. It comes
	// from a caller of this instance or, if peer is set, from another instance.
	waiter struct {
		kind requestKind
		// call is the number of the caller's call or of the peer's request.
		call uint64
		peer instance.Ref
		// wait is true if only a final result answers the request.
		wait bool
		// handOver is true if a stopping peer asks this instance to become the
		// home.
		handOver bool
	}

	// submission is the home's state of one submission.
	submission struct {
		id    string
		phase phase
		// class and team are set when the job is accepted.
		class, team string
		// dropped is the number of tasks that were waiting when the job ended.
		dropped int
		// unconfirmed is true if an earlier write of the claim may have taken
		// effect.
		unconfirmed bool
		// durable is true if the answer must be stored before callers get it.
		durable bool
		// cancelled is true if a cancel request arrived while the claim was
		// pending.
		cancelled bool
		// claimNumber identifies the claim within this incarnation. It is part
		// of the claim's row.
		claimNumber uint64
		// hash is the hash of the job's contents, see jobHash.
		hash uint64
		// windowEnd is the end of the start window. The job is not accepted
		// after it.
		windowEnd time.Time
		// timeoutAt is when waiting callers are answered although the claim or
		// the durable answer is still pending in the store.
		timeoutAt time.Time
		job       *job.Job
		accepted  time.Time
		// outcomes and attempts are in the order of the job's tasks.
		outcomes []task.Outcome
		attempts []taskAttempts
		// unanswered is the number of tasks without an answer.
		unanswered int
		result     *job.Result
		// resultBytes is the size of the answer in bytes, as counted in
		// storingBytes or finishedBytes.
		resultBytes int
		// retainUntil is when the retention time of a finished submission ends.
		retainUntil time.Time
		// row is the encoded row that is being written: the claim or, after the
		// end of the job, the durable answer.
		row     []byte
		waiters []waiter
	}

	// taskAttempts describes the attempts to run one task.
	taskAttempts struct {
		// latest is the number of the last attempt.
		latest uint64
		// refusals is how often endpoints refused the task.
		refusals int
	}

	// tombstone remains after the answer of a submission was evicted. It keeps
	// the id from starting again within its start window.
	tombstone struct {
		hash      uint64
		durable   bool
		state     job.State
		windowEnd time.Time
	}

	// Manager manages the submissions of one instance incarnation. It is not
	// safe for concurrent use.
	Manager struct {
		settings  Settings
		admission Admission
		circuit   *storage.Circuit
		batcher   *storage.Batcher

		// startedAt is the time of New. startedWall is the same time without
		// the monotonic clock reading.
		startedAt, startedWall time.Time

		// latest is the latest time of any input.
		latest   time.Time
		stopping bool
		// These are the numbers last given to an id, a claim, an attempt and a
		// forward.
		lastID      uint64
		lastClaim   uint64
		lastAttempt uint64
		lastForward uint64

		submissions map[string]*submission
		tombstones  map[string]tombstone
		// calls maps each pending call of a caller to what it waits for.
		calls map[uint64]pendingCall
		// forwards are the requests sent to other instances, by number.
		forwards map[uint64]*forward
		// lookups are the requests that wait for a read of a row, by the row's
		// key.
		lookups map[string][]lookup
		// instances are the live instances other than this one.
		instances map[instanceKey]instance.Info
		// unreachable holds the instances that were lost and have not been
		// listed since.
		unreachable map[instanceKey]bool
		// durableClasses holds the names of the classes with durable answers.
		durableClasses  map[string]bool
		refusedRequests refusedRequests
		timers          timers

		// finishedBytes and storingBytes are the sizes of the answers that are
		// kept and of those that are being stored, in bytes.
		finishedBytes, storingBytes int
		// order lists the finished submissions, oldest first. Entries before
		// head are evicted.
		order []*submission
		head  int

		// rowOutcomes is a buffer that is reused between calls.
		rowOutcomes []storage.RowOutcome
	}

	// pendingCall is what a call waits for: a submission or a forward.
	pendingCall struct {
		submission string
		forward    uint64
	}

	// instanceKey identifies an instance regardless of its incarnation.
	instanceKey struct{ dataCentre, id string }
)

// New returns a Manager without submissions.
func New(s Settings, a Admission, now time.Time) *Manager {
	s = s.withDefaults()
	m := &Manager{
		settings:        s,
		admission:       a,
		circuit:         s.Circuit,
		batcher:         storage.NewBatcher(s.Circuit, callBase),
		startedAt:       now,
		startedWall:     now.Round(0),
		latest:          now,
		submissions:     map[string]*submission{},
		tombstones:      map[string]tombstone{},
		calls:           map[uint64]pendingCall{},
		forwards:        map[uint64]*forward{},
		lookups:         map[string][]lookup{},
		instances:       map[instanceKey]instance.Info{},
		unreachable:     map[instanceKey]bool{},
		durableClasses:  map[string]bool{},
		refusedRequests: refusedRequests{results: map[peerRequest]*job.Result{}},
	}
	m.batcher.SetBudget(s.StoreWrites, s.StoreReads)
	return m
}

// advance returns the latest time of any input, including now. Time never goes
// back, because a clock that is set back must not reopen a start window.
func (m *Manager) advance(now time.Time) time.Time {
	if now.After(m.latest) {
		m.latest = now
	}
	return m.latest
}

// issuedAt returns when an id of this incarnation was issued. The result is
// relative to startedAt, so it stays comparable with the current time if the
// wall clock is adjusted.
func (m *Manager) issuedAt(id ID) time.Time { return m.startedAt.Add(id.Issued.Sub(m.startedWall)) }

// flush appends the store calls that may be made now and sets the time of the
// next Tick. Every method with an Output calls it last.
func (m *Manager) flush(now time.Time, out *Output) {
	out.StoreCalls = m.batcher.Flush(now, out.StoreCalls)
	out.Wake = earlier(m.timers.next(), m.batcher.NextWake())
}

// earlier returns the earlier time. A zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// SetClasses records which classes have durable answers. It replaces the
// earlier classes.
func (m *Manager) SetClasses(_ time.Time, classes []class.Class) {
	clear(m.durableClasses)
	for _, c := range classes {
		if c.DurableAnswers {
			m.durableClasses[c.Name] = true
		}
	}
}

// SetInstances replaces the list of live instances and divides the store budget
// among them. Requests that wait for a replaced incarnation end with the
// durable answer or, if there is none, an unknown outcome.
func (m *Manager) SetInstances(now time.Time, list []instance.Info, out *Output) {
	now = m.advance(now)
	clear(m.instances)
	self := instanceKey{m.settings.Self.DataCentre, m.settings.Self.ID}
	for _, i := range list {
		key := instanceKey{i.DataCentre, i.ID}
		if key != self {
			m.instances[key] = i
			delete(m.unreachable, key)
		}
	}
	n := float64(len(m.instances) + 1)
	m.batcher.SetBudget(m.settings.StoreWrites/n, m.settings.StoreReads/n)
	for _, f := range m.sortedForwards() {
		if m.replaced(f.home) {
			m.endForwardFromStore(f, homeReplacedFault(), out)
		}
	}
	m.flush(now, out)
}

// replaced reports whether a later incarnation of the home's instance is known.
// A list may lag behind and still show an earlier incarnation.
func (m *Manager) replaced(home instance.Ref) bool {
	if home.DataCentre == m.settings.Self.DataCentre && home.ID == m.settings.Self.ID {
		return m.settings.Self.Incarnation > home.Incarnation
	}
	i, ok := m.instances[instanceKey{home.DataCentre, home.ID}]
	return ok && i.Incarnation > home.Incarnation
}

// reachable reports whether messages to the home may arrive. This includes an
// instance that was never listed, because it or this instance may have just
// started.
func (m *Manager) reachable(home instance.Ref) bool {
	return m.listed(home) || !m.unreachable[instanceKey{home.DataCentre, home.ID}]
}

// listed reports whether the home's instance is listed in any incarnation.
func (m *Manager) listed(home instance.Ref) bool {
	_, ok := m.instances[instanceKey{home.DataCentre, home.ID}]
	return ok
}

// IssueIDs returns n new ids whose home is this instance. The error is
// BadRequest unless n is between 1 and MaxIDBlock, Stopping during a planned
// stop, and Internal if the names of the data centre and the instance make the
// ids too long.
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
	m.lastID++
	issued := m.startedWall.Add(now.Sub(m.startedAt))
	return ID{Home: m.settings.Self, Issued: issued, Number: m.lastID}.String()
}

func (m *Manager) stoppingFault() *fault.Error {
	return fault.New(fault.Stopping, "").WithRetryAfter(m.circuit.Jitter(stoppingRetryAfter))
}
