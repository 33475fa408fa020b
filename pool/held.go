package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// lookWait is how long an endpoint may wait for an end before it answers
	// a look: a lease of a second is renewed several times, and a look that
	// is lost is noticed before the next task of the shortest kind is late.
	lookWait = 200 * time.Millisecond
	// startPatience is how long a start may go unanswered before the run is
	// stopped, to start elsewhere: many times the way there and back, and
	// less than the slack of the shortest jobs.
	startPatience = 30 * time.Millisecond
	// overdueFactor is by how many times a run must exceed its estimate, which
	// may be off by a half, for a second look beside the one that waits.
	overdueFactor = 1.5
	// overdueFloor is the least time before that, and between the first two
	// such looks; the time between them doubles.
	overdueFloor = 20 * time.Millisecond
	// lagging is how late a tick must be for the own process to be what is
	// slow, not an endpoint.
	lagging = 20 * time.Millisecond
	// silence is how long an endpoint may answer nothing before its lease is
	// left to end: a look and one more try.
	silence = 600 * time.Millisecond
	// startLease is the share of the lease that a start asks for. The clock
	// of an endpoint may be 2 % slow.
	startLease = 0.9
	// slowestClock is the rate of the slowest clock of an endpoint.
	slowestClock = 0.98
	// lapseMargin is added to the end of a lease before it counts as over.
	lapseMargin = 30 * time.Millisecond
	// stopAgain is when an unanswered stop is sent again.
	stopAgain = 30 * time.Millisecond
	// stopMargin is how long after its time a stop counts as carried out.
	stopMargin = 30 * time.Millisecond
	// noteAfter is how long the note of an end waits for the next look where
	// nothing runs any more, so that it needs no look of its own under load.
	noteAfter = 400 * time.Millisecond
	// reclaimAfter is how long an instance leaves an endpoint alone that was
	// silent or has started anew.
	reclaimAfter = 300 * time.Millisecond
	// fencedPause is the same for an endpoint that has a later holder; it
	// doubles up to longestFencedPause, so that two holders that cannot reach
	// each other do not take it from one another again and again.
	fencedPause        = time.Second
	longestFencedPause = 8 * time.Second
)

type (
	// held is one listed endpoint, and what its holder knows of it if that is
	// this instance.
	held struct {
		info        endpoint.Info
		saidLeaving bool

		// token is zero while another instance holds the endpoint.
		token int64
		// lastToken is the highest one used here; fences counts the claims
		// that a higher one has refused.
		lastToken int64
		fences    int
		// open tells that no run of an earlier holder is left.
		open       bool
		openAt     time.Time
		releasing  bool
		claimAfter time.Time

		clock clock
		// granted is the latest end of a lease that was asked for.
		granted time.Duration
		// seen is the number of the last end that was taken note of, and told
		// the one that the endpoint knows of, which it should by noteBy.
		seen, told int64
		noteBy     time.Time
		// looking tells that a look is under way, and peeking that a second
		// one is.
		looking, peeking bool
		lookAgain        time.Time
		// asked is when the first of the orders was sent that the endpoint
		// has not answered yet, if there are any.
		asked time.Time

		runs     map[run.Ref]*heldRun
		used     task.Needs
		reserved int
		health   health

		// owner is the instance that should hold the endpoint, as of a round of
		// the members.
		owner      instance.Ref
		ownerRound uint64
	}

	// heldRun is a run on an endpoint that this instance holds.
	heldRun struct {
		ref   run.Ref
		home  instance.Ref
		needs task.Needs
		// estimate is the expected run time.
		estimate time.Duration
		sent     time.Time
		// began is when the endpoint accepted the run; zero before.
		began time.Time
		// stopping is when a stop was first asked for, stopSent when it was
		// last sent, and stopped when the endpoint accepted it.
		stopping, stopSent, stopped time.Time
		// peekAt is when a second look is due because the run is overdue, and
		// peekGap what lay between the last two of them.
		peekAt  time.Time
		peekGap time.Duration
		// tellStart tells that its home waits for the start.
		tellStart bool
		// unwanted tells that the home does not wait for the run any more.
		unwanted bool
		progress progress
	}

	// clock is an endpoint's clock as its last answer told it.
	clock struct {
		reading        time.Duration
		sent, received time.Time
	}
)

func newHeld(info endpoint.Info) *held {
	return &held{info: info, runs: map[run.Ref]*heldRun{}}
}

// held reports whether this instance holds the endpoint.
func (h *held) held() bool { return h.token != 0 }

// quiet reports whether nothing runs there and no end is left to be noted.
func (h *held) quiet() bool { return len(h.runs) == 0 && h.seen == h.told && !h.looking }

// clear forgets all that only the holder knows.
func (h *held) clear() {
	h.token, h.open, h.releasing = 0, false, false
	h.seen, h.told, h.granted = 0, 0, 0
	h.used, h.reserved = task.Needs{}, 0
	clear(h.runs)
}

// ask notes that an order is sent.
func (h *held) ask(now time.Time) {
	if len(h.runs) == 0 && !h.looking {
		h.asked = now
	}
}

// silent reports whether the endpoint has left all orders unanswered for too
// long.
func (h *held) silent(now time.Time) bool {
	return (len(h.runs) > 0 || h.looking) && now.Sub(h.asked) > silence
}

func (h *held) order() Order { return Order{Endpoint: h.info, Token: h.token} }

// known reports whether the endpoint has told its clock.
func (c clock) known() bool { return !c.received.IsZero() }

// earliest returns the lowest value that the clock can have now.
func (c clock) earliest(now time.Time) time.Duration {
	return c.reading + time.Duration(slowestClock*float64(now.Sub(c.received)))
}

// latest returns the highest value that a sound clock can have now.
func (c clock) latest(now time.Time) time.Duration { return c.reading + now.Sub(c.sent) }

// sorted returns the runs in the order of their tasks' names.
func (h *held) sorted() []*heldRun {
	list := make([]*heldRun, 0, len(h.runs))
	for _, r := range h.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *heldRun) int { return strings.Compare(a.ref.Task, b.ref.Task) })
	return list
}

// tend does what is due at a held endpoint.
func (m *Machine) tend(now time.Time, h *held, out *Output) {
	if !h.held() {
		return
	}
	if m.lapsed(now, h) {
		out.log(event.EndpointSilent, h.info.ID, "it has not answered for longer than its lease")
		m.claimUnanswered(now, h)
		m.reborn(now, h, out)
		h.health.suspend(now)
		return
	}
	if h.open && now.Sub(h.openAt) > longestFencedPause {
		h.fences = 0
	}
	for _, r := range h.sorted() {
		m.tendRun(now, h, r, out)
	}
	if !h.open || len(h.runs) > 0 || h.seen > h.told && !now.Before(h.noteBy) {
		m.look(now, h, out)
	}
}

// lapsed reports whether every lease that the endpoint may know of is over.
func (m *Machine) lapsed(now time.Time, h *held) bool {
	if !h.silent(now) {
		return false
	}
	if !h.clock.known() {
		return now.Sub(h.asked) > m.cfg.LeaseTime+silence
	}
	return h.clock.earliest(now) > h.granted+lapseMargin
}
