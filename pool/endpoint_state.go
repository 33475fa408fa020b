package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// pollWait is how long an endpoint may hold a poll until a run ends. It
	// allows several renewals of a lease of one second, and a lost poll is
	// noticed before the next task of the shortest kind is late.
	pollWait = 200 * time.Millisecond
	// overdueFactor is how many times its expected run time, which may be off
	// by a half, a run must take before an immediate poll is sent next to the
	// pending one.
	overdueFactor = 1.5
	// minOverdue is the minimum time over the expected run time before the
	// first such poll. The second one is due after twice this time, and the
	// interval then doubles.
	minOverdue = 20 * time.Millisecond
	// maxTickDelay is how late a tick may be before a missing answer is blamed
	// on this process and not on the endpoint.
	maxTickDelay = 20 * time.Millisecond
	// silenceTimeout is how long an endpoint may answer nothing before its
	// lease is no longer renewed: one poll and one retry.
	silenceTimeout = 600 * time.Millisecond
	// startLeaseShare is the share of the lease time that a start requests. It
	// is below 1 because the endpoint's clock may run 2 % slow and thus be
	// behind clock.latest, to which the share is added; the requested lease
	// should still not exceed the longest one.
	startLeaseShare = 0.9
	// minClockRate is the lowest rate of an endpoint's clock.
	minClockRate = 0.98
	// leaseMargin is added to the end of a lease before it counts as expired.
	leaseMargin = 30 * time.Millisecond
	// stopMargin is the time after StopTime at which an accepted stop counts as
	// complete.
	stopMargin = 30 * time.Millisecond
	// maxStopDelay is how long a stop may be refused or unanswered before the
	// lease of the endpoint is left to end. It spans several repeated stops.
	maxStopDelay = silenceTimeout
	// ackDelay is how long the acknowledgement of an ended run waits for the
	// next poll when nothing runs any more. Under load, it thus needs no poll
	// of its own.
	ackDelay = 400 * time.Millisecond
	// reclaimDelay is how long an instance does not claim an endpoint that was
	// silent or has restarted.
	reclaimDelay = 300 * time.Millisecond
	// initialFencedBackoff is the corresponding delay for an endpoint with a
	// newer holder. It doubles up to maxFencedBackoff, so that two holders that
	// can't reach each other don't keep taking the endpoint from each other.
	initialFencedBackoff = time.Second
	maxFencedBackoff     = 8 * time.Second
)

type (
	// endpointState is the state of one listed endpoint. Most fields are in use
	// only while this instance is its holder.
	endpointState struct {
		info     endpoint.Info
		lifetime lifetime
		// unguarded reports that the endpoint does not refuse what exceeds its size.
		unguarded bool
		size      sizeState
		// closed reports that the endpoint gets no work because its data centre is
		// evacuated or may be.
		closed bool

		// token is the own fencing token; zero while this instance is not the
		// holder.
		token int64
		// lastToken is the highest token used here. fencedClaims counts the
		// claims that were refused because of a higher token.
		lastToken    int64
		fencedClaims int
		// active reports that the claim is complete: no run of an earlier
		// holder is left. activeAt is when that was found.
		active   bool
		activeAt time.Time
		// releasing reports that another instance should hold the endpoint: it
		// gets no more work and is released once idle.
		releasing  bool
		claimAfter time.Time
		// unresponsiveSince is when the endpoint last answered before it was
		// logged as unresponsive; zero if it has answered since. loggedEjection
		// reports that it was logged as ejected and not yet as readmitted.
		unresponsiveSince time.Time
		loggedEjection    bool

		clock clock
		// bootSince is when the first poll that the present boot answered was
		// sent; zero if no other boot was known before.
		bootSince time.Time
		// maxLeaseEnd is the latest requested end of a lease, on the endpoint's
		// clock.
		maxLeaseEnd time.Duration
		// lastEnd is the number of the last ended run that was handled.
		// ackedEnd is the last one acknowledged to the endpoint; the rest
		// should be acknowledged by ackBy.
		lastEnd, ackedEnd int64
		ackBy             time.Time
		// polling reports that a poll is pending, and immediatePolling that an
		// immediate poll is.
		polling, immediatePolling bool
		nextPoll                  time.Time
		// unansweredSince is the time of the last answer, or of the first order
		// after the endpoint was idle. It is valid while a run or a poll is
		// pending.
		unansweredSince time.Time

		runs map[run.Ref]*heldRun
		// unknownRuns is the number of runs in the last list of the endpoint that are
		// not among runs. They are being stopped and take an unknown room.
		unknownRuns int
		// pendingStops is the number of runs whose stop is requested and not
		// accepted.
		pendingStops int
		used         task.Needs
		reserved     int
		// suspects is the number of runs of suspected tasks, and isolatedFor the task
		// that has the endpoint for itself, now or once its other runs have ended;
		// empty if there is none.
		suspects    int
		isolatedFor string
		health      health
		// usableSlots is how many runs at once the judgement of the endpoint's
		// health leaves it, and speed the learnt speed; zero while it is not
		// active. failedShare is the share of its recent runs that failed, and
		// outcomes how many runs are known.
		usableSlots, outcomes int
		speed, failedShare    float64

		// owner is who should hold the endpoint, as computed for ownerGeneration
		// of the membership.
		owner           ownership
		ownerGeneration uint64
	}

	// heldRun is a run on an endpoint that this instance holds.
	heldRun struct {
		ref   run.Ref
		home  instance.Ref
		needs task.Needs
		// requires is the label that the endpoint must have, or empty.
		requires string
		// work is the home's estimate of the run time, and estimate the run time
		// expected on this endpoint. cold reports that the endpoint was cold during
		// the run.
		work, estimate time.Duration
		cold           bool
		// queue is the name under which run times are compared: the queue if it
		// is known here, else the service.
		queue string
		// jobQueue is the name of the queue of the task's job; empty if it is not
		// known. suspected reports that an endpoint had been lost with the task
		// before.
		jobQueue  string
		suspected bool
		sentAt    time.Time
		// until is when the start is refused as late, on the endpoint's clock.
		until time.Duration
		// maySpanBoots reports that the start may have reached an earlier boot of
		// the endpoint than the present one.
		maySpanBoots bool
		// startedAt is when the endpoint accepted the run; zero before.
		startedAt time.Time
		// stopRequestedAt is when a stop was first requested, stopSentAt when
		// it was last sent, and stopAcceptedAt when the endpoint accepted it.
		stopRequestedAt, stopSentAt, stopAcceptedAt time.Time
		// stopOutcome is the outcome of the last stop, Accepted before the first, and
		// refusedStops the number of stops since the last other outcome whose
		// connections were refused.
		stopOutcome  Outcome
		refusedStops int
		// overduePollAt is when the next immediate poll is due because the run
		// is overdue. overduePollInterval is the time from the last of them to
		// the next; before the first one, it is minOverdue.
		overduePollAt       time.Time
		overduePollInterval time.Duration
		// notifyStart reports whether the home asked for an update when the run
		// starts.
		notifyStart bool
		// orphaned reports that the home no longer waits for the run, and moved
		// that it is stopped because its endpoint leaves.
		orphaned, moved bool
		progress        progress
	}

	// clock is an endpoint's clock as of its last answer.
	clock struct {
		reading        time.Duration
		sent, received time.Time
	}
)

func newEndpointState(info endpoint.Info) *endpointState {
	return &endpointState{info: info, size: sizeState{boot: info.StartedAt}, runs: map[run.Ref]*heldRun{}}
}

// isHeld reports whether this instance holds the endpoint.
func (e *endpointState) isHeld() bool { return e.token != 0 }

// idle reports whether the endpoint has no runs, no unacknowledged ends and no
// pending poll.
func (e *endpointState) idle() bool { return len(e.runs) == 0 && e.lastEnd == e.ackedEnd && !e.polling }

// reset clears the state that only the holder has.
func (e *endpointState) reset() {
	e.token, e.active, e.releasing = 0, false, false
	e.lastEnd, e.ackedEnd, e.maxLeaseEnd = 0, 0, 0
	e.used, e.reserved = task.Needs{}, 0
	e.unknownRuns = 0
	e.pendingStops, e.suspects, e.isolatedFor = 0, 0, ""
	clear(e.runs)
}

// recordOrderSent records that an order is sent.
func (e *endpointState) recordOrderSent(now time.Time) {
	if len(e.runs) == 0 && !e.polling {
		e.unansweredSince = now
	}
}

// silent reports whether the endpoint has left all orders unanswered for longer
// than silenceTimeout.
func (e *endpointState) silent(now time.Time) bool {
	return (len(e.runs) > 0 || e.polling) && now.Sub(e.unansweredSince) > silenceTimeout
}

// order returns the common part of an order that the endpoint may answer after
// wait. minTimeout is the minimum time that it has for the answer beyond that.
func (m *Machine) order(e *endpointState, wait, minTimeout time.Duration) Order {
	return Order{Endpoint: e.info, Token: e.token, Timeout: wait + m.answerTimes.orderTimeout(minTimeout)}
}

// known reports whether the endpoint has reported its clock.
func (c clock) known() bool { return !c.received.IsZero() }

// earliest returns the lowest value that the clock can have now.
func (c clock) earliest(now time.Time) time.Duration {
	return c.reading + time.Duration(minClockRate*float64(now.Sub(c.received)))
}

// latest returns the highest value that the clock can have now if it does not
// run fast.
func (c clock) latest(now time.Time) time.Duration { return c.reading + now.Sub(c.sent) }

// sortedRuns returns the runs, sorted by task name.
func (e *endpointState) sortedRuns() []*heldRun {
	list := make([]*heldRun, 0, len(e.runs))
	for _, r := range e.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *heldRun) int { return strings.Compare(a.ref.Task, b.ref.Task) })
	return list
}

// maintain does what is due at a held endpoint: it expires the lease, checks
// the runs and sends a poll.
func (m *Machine) maintain(now time.Time, e *endpointState, out *Output) {
	if !e.isHeld() {
		return
	}
	if m.leaseExpired(now, e) {
		m.logUnresponsive(now, e, out)
		m.recordRemoteSilence(now, e)
		m.releaseEnded(now, e, out)
		e.health.backOff(now)
		return
	}
	e.logHealth(now, out)
	if e.active && now.Sub(e.activeAt) > maxFencedBackoff {
		e.fencedClaims = 0
	}
	for _, r := range e.sortedRuns() {
		m.maintainRun(now, e, r, out)
	}
	if !e.active || len(e.runs)+e.unknownRuns > 0 || e.lastEnd > e.ackedEnd && !now.Before(e.ackBy) {
		m.poll(now, e, out)
	}
}

// leaseExpired reports whether every lease that the endpoint may have been
// given has expired.
func (m *Machine) leaseExpired(now time.Time, e *endpointState) bool {
	if !e.silent(now) {
		return false
	}
	if !e.clock.known() {
		return now.Sub(e.unansweredSince) > m.cfg.LeaseTime+silenceTimeout
	}
	return e.clock.earliest(now) > e.maxLeaseEnd+leaseMargin
}
