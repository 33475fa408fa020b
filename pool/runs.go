package pool

import (
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

// maxStopBackoff bounds the doublings of the time between two stops.
const maxStopBackoff = 3

// startRun starts a run on an endpoint with enough free capacity.
func (m *Machine) startRun(now time.Time, e *endpointState, home instance.Ref, s message.StartRun, out *Output) {
	r := &heldRun{ref: s.Run, home: home, needs: s.Needs, requires: s.Requires, work: s.Estimate, estimate: s.Estimate, queue: m.queueOf(s), jobQueue: s.Queue, suspected: m.losses.Suspected(s.Run.Task), sentAt: now, notifyStart: s.NotifyStart}
	if r.suspected {
		e.suspects++
	}
	e.expectCold(now, r)
	e.recordOrderSent(now)
	e.runs[s.Run] = r
	e.used = addScaled(e.used, s.Needs, 1)
	until := e.clock.latest(now) + time.Duration(startLeaseShare*float64(m.cfg.LeaseTime))
	e.maxLeaseEnd = max(e.maxLeaseEnd, until)
	r.until = until
	out.Starts = append(out.Starts, Start{Order: m.order(e, 0, minOrderTimeout), Run: s.Run, Spec: s.Spec, Until: until})
	m.answerTimes.recordStart()
	out.wakeAt(now.Add(m.answerTimes.timeout() + time.Millisecond))
	if e.unguarded && e.answerIsOld(now) {
		m.pollImmediately(now, e, out)
	}
	m.poll(now, e, out)
}

// HandleStartReply handles an endpoint's reply to a start.
func (m *Machine) HandleStartReply(now time.Time, reply StartReply, out *Output) {
	e, ok := m.endpoints[reply.Endpoint]
	if !ok || e.token != reply.Token {
		return
	}
	if r := e.runs[reply.Run]; r != nil {
		if reply.Outcome.answered() {
			m.answerTimes.observe(now.Sub(r.sentAt))
		}
		m.applyStartReply(now, e, r, reply, out)
	}
	m.advance(now, out)
}

func (m *Machine) applyStartReply(now time.Time, e *endpointState, r *heldRun, reply StartReply, out *Output) {
	switch reply.Outcome {
	case Accepted:
		m.recordAnswer(now, e, reply.Reply)
		r.startedAt = now
		r.scheduleOverdue(now, m.expectedRatio(e, r.queue))
		e.health.recordStart()
		m.reportRun(now, e, r, run.Started, out)
		return
	case Unanswered:
		m.stopUnansweredStart(now, e, r, reply.summary(), out)
		return
	case Fenced, Restarted, ConnectionRefused:
		// The run never began, and the cause concerns the whole endpoint.
		logStartRefused(r.ref, e, reply.Reply, out)
		m.finishRun(now, e, r.ref, run.NotRun, out)
		m.handleEndpointFailure(now, e, reply.Reply, out)
		return
	case Full:
		e.health.recordFull(now)
	case Unhealthy:
		e.health.recordRefusal(now)
	}
	m.recordAnswer(now, e, reply.Reply)
	logStartRefused(r.ref, e, reply.Reply, out)
	m.finishRun(now, e, r.ref, run.NotRun, out)
}

func logStartRefused(ref run.Ref, e *endpointState, reply Reply, out *Output) {
	out.log(event.EndpointRefused, ref.Task, fmt.Sprintf("run %d: endpoint %s answered %s", ref.Number, e.info.ID, reply.summary()))
}

// stopUnansweredStart stops a run whose start may have been carried out, now or
// later, so that its task can start elsewhere. The cause is for the log.
func (m *Machine) stopUnansweredStart(now time.Time, e *endpointState, r *heldRun, cause string, out *Output) {
	if !r.stopRequestedAt.IsZero() {
		return
	}
	out.log(event.StartUnanswered, r.ref.Task, fmt.Sprintf("run %d: endpoint %s did not answer for %s and may have started it: %s; stopping it there", r.ref.Number, e.info.ID, milliseconds(now.Sub(r.sentAt)), cause))
	if m.answerTimes.mayRestart() {
		e.health.recordUnanswered(now)
	}
	m.answerTimes.recordRestart()
	m.sendStop(now, e, r, out)
}

// sendStop sends a stop for the run.
func (m *Machine) sendStop(now time.Time, e *endpointState, r *heldRun, out *Output) {
	if r.stopRequestedAt.IsZero() {
		r.stopRequestedAt = now
		e.pendingStops++
	}
	r.stopSentAt = now
	out.Stops = append(out.Stops, Stop{Order: m.order(e, 0, minOrderTimeout), Run: r.ref})
}

// HandleStopReply handles an endpoint's reply to a stop.
func (m *Machine) HandleStopReply(now time.Time, reply StopReply, out *Output) {
	e, ok := m.endpoints[reply.Endpoint]
	if !ok || e.token != reply.Token {
		return
	}
	r := e.runs[reply.Run]
	if r.observeStop(reply.Outcome) {
		out.log(event.StopNotAccepted, reply.Run.Task, fmt.Sprintf("run %d: endpoint %s answered %s", reply.Run.Number, e.info.ID, reply.summary()))
	}
	switch reply.Outcome {
	case Accepted:
		m.recordAnswer(now, e, reply.Reply)
		if r != nil && r.stopAcceptedAt.IsZero() {
			if r.stopPending() {
				e.pendingStops--
			}
			r.stopAcceptedAt = now
			m.pollImmediately(now, e, out)
		}
	case Fenced, Restarted, ConnectionRefused:
		m.handleEndpointFailure(now, e, reply.Reply, out)
	case Unanswered:
	default:
		// A refused stop had no effect. maintainRun repeats it.
		m.recordAnswer(now, e, reply.Reply)
		e.health.backOff(now)
	}
	m.advance(now, out)
}

// observeStop records the outcome of a stop, and reports whether it is to be logged: if
// it is not accepted, and not for the same reason as the last one. r is nil for a run
// that is not known.
func (r *heldRun) observeStop(o Outcome) (logged bool) {
	if r == nil {
		return o != Accepted
	}
	logged = o != Accepted && o != r.stopOutcome
	r.stopOutcome = o
	if o == ConnectionRefused {
		r.refusedStops++
	} else {
		r.refusedStops = 0
	}
	return logged
}

// stopRetryDelay returns the time after which an unaccepted stop is repeated. An endpoint
// that refuses connections has probably crashed, and is asked less and less.
func (m *Machine) stopRetryDelay(r *heldRun) time.Duration {
	return m.answerTimes.timeout() << min(r.refusedStops, maxStopBackoff)
}

// maintainRun repeats an unanswered stop, finishes a run whose stop is
// complete, and stops a run that was not started in time or is stalled.
func (m *Machine) maintainRun(now time.Time, e *endpointState, r *heldRun, out *Output) {
	switch {
	case !r.stopAcceptedAt.IsZero():
		if now.Sub(r.stopAcceptedAt) > m.cfg.StopTime+stopMargin {
			m.concludeRun(now, e, r, run.Stopped, stopAccepted, out)
			return
		}
		m.pollImmediately(now, e, out)
		out.wakeAt(r.stopAcceptedAt.Add(m.cfg.StopTime + stopMargin + time.Millisecond))
	case !r.stopRequestedAt.IsZero():
		if now.Sub(r.stopSentAt) >= m.stopRetryDelay(r) {
			m.sendStop(now, e, r, out)
		}
		out.wakeAt(r.stopSentAt.Add(m.stopRetryDelay(r)))
	case r.startedAt.IsZero():
		if m.startUnanswered(now, r) {
			m.stopUnansweredStart(now, e, r, "no reply in the time of "+milliseconds(m.answerTimes.timeout()).String(), out)
			return
		}
		if due := r.sentAt.Add(m.answerTimes.timeout()); due.After(now) {
			out.wakeAt(due)
		}
	case m.shouldMove(now, e, r):
		m.moveRun(now, e, r, out)
	case r.overdue(now):
		m.pollImmediately(now, e, out)
		r.overduePollInterval *= 2
		r.overduePollAt = now.Add(r.overduePollInterval)
	case r.stalled(now):
		out.log(event.RunStalled, r.ref.Task, r.describeProgress(now, e.info.ID))
		e.backOffStalled(now, r)
		m.sendStop(now, e, r, out)
	default:
		out.wakeAt(r.overduePollAt)
	}
}

// startUnanswered reports whether a start is given up as unanswered. If too many
// are, the cause is this instance or its links, so that it waits longer.
func (m *Machine) startUnanswered(now time.Time, r *heldRun) bool {
	waited := now.Sub(r.sentAt)
	if waited < m.answerTimes.timeout() || m.tickLate || m.resumed {
		return false
	}
	return m.answerTimes.mayRestart() || waited >= maxAnswerTimeout
}

// scheduleOverdue sets when the run counts as overdue.
func (r *heldRun) scheduleOverdue(now time.Time, slowdown float64) {
	expected := time.Duration(max(slowdown, 1) * float64(r.estimate))
	r.overduePollInterval = minOverdue
	r.overduePollAt = now.Add(max(time.Duration(overdueFactor*float64(expected)), expected+minOverdue))
}

// overdue reports whether the run should have ended and another immediate poll
// is due.
func (r *heldRun) overdue(now time.Time) bool { return !now.Before(r.overduePollAt) }

// concludeRun finishes a run whose end the endpoint did not list.
func (m *Machine) concludeRun(now time.Time, e *endpointState, r *heldRun, status run.Status, why evidence, out *Output) {
	out.logConclusion(r.ref, "endpoint "+e.info.ID, status, why)
	m.finishRun(now, e, r.ref, status, out)
}

// finishRun removes a run from its endpoint and reports its end to its home.
func (m *Machine) finishRun(now time.Time, e *endpointState, ref run.Ref, status run.Status, out *Output) {
	r := e.runs[ref]
	if r == nil {
		return
	}
	if r.stopPending() {
		e.pendingStops--
	}
	if r.suspected {
		e.suspects--
	}
	if e.isolatedFor == ref.Task {
		e.isolatedFor = ""
	}
	delete(e.runs, ref)
	e.used = addScaled(e.used, r.needs, -1)
	if len(e.runs) == 0 && e.reserved == 0 {
		e.used = task.Needs{} // removes rounding errors
	}
	if !r.startedAt.IsZero() {
		m.judgeEnd(now, e, r, status, out)
	}
	m.reportRun(now, e, r, status, out)
}

// reportRun reports the status of a run to its home.
func (m *Machine) reportRun(now time.Time, e *endpointState, r *heldRun, status run.Status, out *Output) {
	if r.home == m.cfg.Self.Ref {
		m.handleRunUpdate(now, m.cfg.Self.Ref, message.RunUpdate{Run: r.ref, Status: status, Endpoint: e.info.ID}, out)
		return
	}
	if status == run.Started && !r.notifyStart {
		return // saves a message, since the end implies the start
	}
	if status != run.Started {
		m.recordReportedEnd(now, r, status, e.info.ID)
	}
	if _, ok := m.peers[r.home]; !ok {
		return
	}
	m.send(r.home, message.RunUpdate{
		Run: r.ref, Status: status, Endpoint: e.info.ID, Free: m.freeSlotCount(now, e.info.Service), Ran: r.runTime(now),
	}, out)
}

// runTime returns how long ago the run started; zero if it has not.
func (r *heldRun) runTime(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return 0
	}
	return now.Sub(r.startedAt)
}

// stopPending reports whether the run's stop is requested and not accepted.
func (r *heldRun) stopPending() bool { return !r.stopRequestedAt.IsZero() && r.stopAcceptedAt.IsZero() }

// stopOrphan stops a run that its home no longer waits for.
func (m *Machine) stopOrphan(now time.Time, e *endpointState, r *heldRun, out *Output) {
	r.orphaned = true
	m.sendStop(now, e, r, out)
}

// stopRunsOfHome stops the runs of a home that is gone and returns their number.
func (m *Machine) stopRunsOfHome(now time.Time, e *endpointState, home instance.Ref, out *Output) (stopped int) {
	for _, r := range e.sortedRuns() {
		if r.home == home {
			m.stopOrphan(now, e, r, out)
			stopped++
		}
	}
	return stopped
}

// addScaled returns a plus k times b.
func addScaled(a, b task.Needs, k int) task.Needs {
	return task.Needs{
		Cores:        a.Cores + float64(k)*b.Cores,
		MemoryBytes:  a.MemoryBytes + int64(k)*b.MemoryBytes,
		Accelerators: a.Accelerators + k*b.Accelerators,
	}
}

// fitsWithin reports whether a fits into b.
func fitsWithin(a, b task.Needs) bool {
	// rounding is the tolerance for sums of thousandths of a core.
	const rounding = 1e-6
	return a.Cores <= b.Cores+rounding && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}
