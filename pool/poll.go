package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/run"
)

// claim makes this instance the holder: it polls the endpoint with a higher
// token than any it used before, without renewing the lease.
func (m *Machine) claim(now time.Time, e *endpointState, out *Output) {
	m.releaseEndpoint(now, e)
	m.holdEndpoint(e, m.newToken(now, e))
	m.recordClaim(e)
	m.poll(now, e, out)
}

// newToken returns a fencing token that increases with the time of day and
// differs between instances. If a higher token was seen, as after a clock step,
// the token moves further ahead with each refusal.
func (m *Machine) newToken(now time.Time, e *endpointState) int64 {
	offset := int64(0)
	if e.fencedClaims > 0 {
		offset = int64(1000) << min(e.fencedClaims, 8)
	}
	suffix := int64(xxhash.Sum64String(m.cfg.Self.ID) & 0xff)
	e.lastToken = max((now.UnixMilli()+offset)<<8|suffix, e.lastToken+1)
	return e.lastToken
}

// poll sends a poll unless one is pending.
func (m *Machine) poll(now time.Time, e *endpointState, out *Output) {
	if e.polling || now.Before(e.nextPoll) {
		return
	}
	p := Poll{LastEnd: e.lastEnd}
	if e.active && len(e.runs) > 0 {
		p.Wait = pollWait
	}
	m.sendPoll(now, e, p, out)
}

// pollImmediately asks at once which runs are running, next to a pending poll.
func (m *Machine) pollImmediately(now time.Time, e *endpointState, out *Output) {
	if e.immediatePolling {
		return
	}
	m.sendPoll(now, e, Poll{LastEnd: e.lastEnd, Immediate: true}, out)
}

func (m *Machine) sendPoll(now time.Time, e *endpointState, p Poll, out *Output) {
	p.Order = m.order(e, p.Wait, minPollMargin)
	if e.active && e.clock.known() && m.renewsLease(now, e) {
		p.Until = e.clock.latest(now) + m.cfg.LeaseTime
		e.maxLeaseEnd = max(e.maxLeaseEnd, p.Until)
	}
	e.recordOrderSent(now)
	if p.Immediate {
		e.immediatePolling = true
	} else {
		e.polling = true
	}
	out.Polls = append(out.Polls, p)
}

// renewsLease reports whether the lease should be renewed: the endpoint answers
// and runs something that is not orphaned, and no stop is overdue.
func (m *Machine) renewsLease(now time.Time, e *endpointState) bool {
	if e.silent(now) || e.hasOverdueStop(now) {
		return false
	}
	for _, r := range e.runs {
		if !r.orphaned {
			return true
		}
	}
	return false
}

// hasOverdueStop reports whether the lease has to end a run whose stop is not
// accepted and was overdue at the given time. That of an orphaned run is overdue at
// once, so that the lease ends before its caller, which may have resubmitted the
// job elsewhere, gets another run.
func (e *endpointState) hasOverdueStop(at time.Time) bool {
	if e.pendingStops == 0 {
		return false // on the path of each placement
	}
	for _, r := range e.runs {
		if !r.stopPending() {
			continue
		}
		due := r.stopRequestedAt
		if !r.orphaned {
			due = due.Add(maxStopDelay)
		}
		if !at.Before(due) {
			return true
		}
	}
	return false
}

// HandlePollReply handles an endpoint's reply to a poll.
func (m *Machine) HandlePollReply(now time.Time, reply PollReply, out *Output) {
	m.handleSuspension(now, out)
	e, ok := m.endpoints[reply.Endpoint]
	if !ok {
		return
	}
	if reply.Immediate {
		e.immediatePolling = false
	} else {
		e.polling = false
	}
	if reply.Token != e.token {
		m.advance(now, out)
		return
	}
	if reply.Outcome.answered() {
		m.recordRemoteAnswer(now, e)
	}
	if reply.Outcome == Accepted {
		m.applyPollReply(now, e, reply, out)
	} else {
		m.handleEndpointFailure(now, e, reply.Reply, out)
	}
	m.maintain(now, e, out)
	m.advance(now, out)
}

func (m *Machine) applyPollReply(now time.Time, e *endpointState, reply PollReply, out *Output) {
	otherBoot := !reply.StartedAt.IsZero() && !e.info.StartedAt.IsZero() && !reply.StartedAt.Equal(e.info.StartedAt)
	if otherBoot && reply.Sent.Before(e.bootSince) {
		return // a late reply of an earlier boot
	}
	if otherBoot {
		e.bootSince = reply.Sent
	}
	m.recordAnswer(now, e, reply.Reply)
	if otherBoot {
		out.log(event.EndpointAnswers, e.info.ID, "it restarted; its list lacks the runs of the earlier boot")
		m.recordLoss(now, e, earliestBoot(now, e.size.answeredAt, reply.Clock), out)
		m.adoptNewBoot(now, e, out)
	}
	m.observeAnswer(now, e, reply, out)
	e.info.StartedAt = reply.StartedAt
	if otherBoot && e.active {
		m.judgeActivated(now, e, out)
	}
	e.ackedEnd = max(e.ackedEnd, min(reply.LastEnd, e.lastEnd))
	m.applyRemaining(now, e, reply, out)
	e.applyReportedSize(now, reply)
	for _, end := range reply.Ended {
		if end.Number > e.lastEnd {
			e.lastEnd = end.Number
			e.ackBy = now.Add(ackDelay)
			if end.Status == run.Failed {
				out.logFailedEnd(e, end)
			}
			m.finishRun(now, e, end.Run, end.Status, out)
		}
	}
	m.checkRunning(now, e, reply, out)
}

// earliestBoot returns when the boot that answers has started, by its clock, so that
// orders that were sent later have reached this one. lastPoll is when the earlier boot last
// answered a poll; the next boot may have answered a start since. It returns the present
// time if the clock does not tell, since it does not start from zero.
func earliestBoot(now, lastPoll time.Time, clock time.Duration) time.Time {
	if clock <= 0 || clock > now.Sub(lastPoll) {
		return now
	}
	return now.Add(-clock)
}

// adoptNewBoot handles an answer from another boot of the endpoint, whose ends
// and clock start from zero. Its list lacks the runs of the earlier boot and
// has those that were started since. A new token fences the starts sent to the
// earlier boot: they may arrive late, and the new boot's clock does not refuse
// them.
func (m *Machine) adoptNewBoot(now time.Time, e *endpointState, out *Output) {
	e.lastEnd, e.ackedEnd = 0, 0
	for _, r := range e.runs {
		r.maySpanBoots = true
	}
	e.maxLeaseEnd = e.clock.latest(now) + m.cfg.LeaseTime
	e.token = m.newToken(now, e)
	e.immediatePolling = false // a pending poll has the earlier token
	m.pollImmediately(now, e, out)
}

// recordAnswer records when an endpoint last answered, and the clock that it
// reported. An endpoint that refuses orders has not renewed its lease, so that it
// counts as silent.
func (m *Machine) recordAnswer(now time.Time, e *endpointState, reply Reply) {
	if reply.Outcome != Unhealthy && reply.Outcome != Invalid {
		e.unansweredSince = now
	}
	if reply.Clock > 0 && !reply.Sent.Before(e.bootSince) {
		e.clock = clock{reading: reply.Clock, sent: reply.Sent, received: now}
	}
}

// checkRunning compares the runs on the endpoint with the expected ones. It
// stops unknown runs and finishes missing ones.
func (m *Machine) checkRunning(now time.Time, e *endpointState, reply PollReply, out *Output) {
	unknown := 0
	listed := make(map[run.Ref]float64, len(reply.Running))
	for _, r := range reply.Running {
		listed[r.Run] = r.Percent
		if e.runs[r.Run] == nil {
			unknown++
			out.Stops = append(out.Stops, Stop{Order: m.order(e, 0, minOrderTimeout), Run: r.Run})
		}
	}
	if !e.active && unknown == 0 {
		e.active = true
		e.activeAt = now
		m.judgeActivated(now, e, out)
		e.logAnswersAgain(now, out)
	}
	e.unknownRuns = unknown
	if unknown > 0 {
		e.nextPoll = now.Add(m.cfg.StopTime / 2)
	}
	for _, r := range e.sortedRuns() {
		percent, running := listed[r.ref]
		switch {
		case running:
			r.progress.observe(now, percent)
		case !r.stopAcceptedAt.IsZero() && r.stopAcceptedAt.Before(reply.Sent):
			// The run is neither running nor among the ended runs.
			m.concludeRun(now, e, r, r.absentStatus(), absentAfterStop, out)
		case !r.startedAt.IsZero() && r.startedAt.Before(reply.Sent):
			m.concludeRun(now, e, r, run.Expired, absentAfterStart, out)
		case r.startedAt.IsZero() && r.sentAt.Before(reply.Sent) && reply.Clock > r.until:
			// Even if its stop is refused, the start can no longer begin it.
			m.concludeRun(now, e, r, r.absentStatus(), absentAfterDeadline, out)
		}
	}
}

// absentStatus returns the status of a run that can't begin any more and that the
// endpoint lists neither as running nor as ended. If its start was never confirmed,
// it never began; otherwise it would be listed, unless an earlier boot ran it.
func (r *heldRun) absentStatus() run.Status {
	if r.startedAt.IsZero() && !r.maySpanBoots {
		return run.NotRun
	}
	return run.Stopped
}

// handleEndpointFailure handles any reply to a poll other than Accepted, and the
// replies to a start or stop that concern the whole endpoint.
func (m *Machine) handleEndpointFailure(now time.Time, e *endpointState, reply Reply, out *Output) {
	switch reply.Outcome {
	case Fenced:
		m.recordAnswer(now, e, reply)
		m.handleFenced(now, e, out)
	case Restarted:
		out.log(event.EndpointsReleased, e.info.ID, "it restarted")
		m.releaseEnded(now, e, out)
		e.health.backOff(now)
	case ConnectionRefused:
		e.letLeaseExpire(now)
		e.health.backOff(now)
	case Unanswered:
		e.nextPoll = now.Add(tickPeriod)
	default:
		m.recordAnswer(now, e, reply)
		e.nextPoll = now.Add(tickPeriod)
	}
}

// letLeaseExpire stops the renewal of the lease. A refused connection does not
// prove that nothing runs: a partitioned network may refuse it too.
func (e *endpointState) letLeaseExpire(now time.Time) {
	e.unansweredSince = earlier(e.unansweredSince, now.Add(-silenceTimeout-time.Millisecond))
	e.nextPoll = now.Add(tickPeriod)
}

// handleFenced gives up an endpoint that has a holder with a higher token. Its
// runs are over once that holder has stopped them or the lease has expired.
func (m *Machine) handleFenced(now time.Time, e *endpointState, out *Output) {
	if e.active {
		out.log(event.EndpointFenced, e.info.ID, "another instance holds it")
	}
	e.claimAfter = now.Add(min(initialFencedBackoff<<min(e.fencedClaims, 8), maxFencedBackoff))
	e.fencedClaims++
	m.releaseUnconfirmed(now, e, out)
}

// releaseUnconfirmed releases an endpoint whose runs may continue until their
// lease expires.
func (m *Machine) releaseUnconfirmed(now time.Time, e *endpointState, out *Output) {
	for _, r := range e.sortedRuns() {
		m.reportRun(now, e, r, run.Unconfirmed, out)
	}
	m.releaseEndpoint(now, e)
}

// releaseEnded releases an endpoint whose earlier runs are all over, since it
// restarted or its lease expired. Starts that are still in flight may reach the
// next boot, so their outcome is unconfirmed.
func (m *Machine) releaseEnded(now time.Time, e *endpointState, out *Output) {
	m.recordLoss(now, e, now, out)
	for _, r := range e.sortedRuns() {
		if r.startedAt.IsZero() {
			m.reportRun(now, e, r, run.Unconfirmed, out)
			continue
		}
		m.concludeRun(now, e, r, run.Expired, endpointOver, out)
	}
	m.releaseEndpoint(now, e)
	e.clock = clock{}
	e.info.StartedAt = time.Time{}
	e.claimAfter = now.Add(reclaimDelay)
}
