package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// storeRetryDelay is the delay, before jitter, until a row is written again if
// the earlier write failed or its outcome is unknown. The row is the same, so a
// repeated write does no harm.
const storeRetryDelay = 200 * time.Millisecond

// The reasons why an id could not be checked.
const (
	storeUnreachable = "the store is out of reach"
	storeTimedOut    = "the store did not answer in time"
	tooManyRequests  = "too many requests wait for the store"
)

// startClaim starts to claim a caller-chosen id. The job does not start until
// the store confirms that this instance holds the claim.
func (m *Manager) startClaim(now time.Time, w waiter, j *job.Job, out *Output) {
	if len(m.submissions)+len(m.tombstones) >= m.settings.MaxSubmissions || m.batcher.Pending() >= m.settings.MaxPendingRows {
		m.answer(w, unknownOutcome(j.SubmissionID, j, m.uncheckedFault(tooManyRequests)), out)
		return
	}
	if m.circuit.Refuses(now) {
		m.answer(w, unknownOutcome(j.SubmissionID, j, m.uncheckedFault(storeUnreachable)), out)
		return
	}
	m.lastClaim++
	s := &submission{
		id:          j.SubmissionID,
		claimNumber: m.lastClaim,
		hash:        jobHash(j),
		windowEnd:   now.Add(m.settings.StartWindow),
	}
	s.row = encodeClaim(m.settings.Self, s.claimNumber, now)
	m.submissions[s.id] = s
	m.writeClaim(now, s, w, j)
}

// writeClaim writes the claim's row for a request and makes the request wait
// for the outcome.
func (m *Manager) writeClaim(now time.Time, s *submission, w waiter, j *job.Job) {
	s.phase = claiming
	s.job = j
	s.cancelled = false
	s.timeoutAt = now.Add(m.settings.ClaimTimeout)
	if !j.Deadline.IsZero() && j.Deadline.Before(s.timeoutAt) {
		s.timeoutAt = j.Deadline
	}
	m.addWaiter(s, w)
	m.timers.add(timer{at: s.timeoutAt, kind: claimTimeoutTimer, id: s.id, number: s.claimNumber})
	m.batcher.Insert(claimKey(s.id), s.row, m.settings.ClaimLifetime)
}

// handleClaimReply handles the store's reply to the write of a claim.
func (m *Manager) handleClaimReply(now time.Time, s *submission, o storage.RowOutcome, out *Output) {
	if s.phase == claimTimedOut {
		m.handleLateClaimReply(s, o, out)
		return
	}
	if s.phase != claiming {
		return
	}
	switch {
	case o.Outcome == storage.Unknown:
		s.unconfirmed = true
		m.retryClaim(now, s)
	case o.Outcome == storage.NotApplied && s.unconfirmed:
		m.retryClaim(now, s)
	case o.Outcome == storage.NotApplied:
		m.dropClaim(s, m.uncheckedFault(storeUnreachable), out)
	case o.Applied:
		m.acceptClaimed(now, s, out)
	default:
		m.handleExistingClaim(now, s, o.Row, out)
	}
}

// retryClaim schedules another write of the same row. Its reply shows which row
// exists, whatever the outcome of the earlier write, even if the earlier write
// takes effect later.
func (m *Manager) retryClaim(now time.Time, s *submission) {
	m.timers.add(timer{at: now.Add(m.circuit.Jitter(storeRetryDelay)), kind: storeRetryTimer, id: s.id, number: s.claimNumber})
}

// dropClaim forgets a submission whose claim provably had no effect or met a
// row that cannot be decoded, and answers its waiters.
func (m *Manager) dropClaim(s *submission, f *fault.Error, out *Output) {
	delete(m.submissions, s.id)
	m.answerAll(s, unknownOutcome(s.id, s.job, f), out)
}

// handleExistingClaim handles a claim for which the store already had a row.
// The row may be from an earlier write of the same claim.
func (m *Manager) handleExistingClaim(now time.Time, s *submission, r storage.Row, out *Output) {
	row, err := decodeClaim(r.Value)
	if err != nil {
		m.dropClaim(s, fault.New(fault.Internal, "%v", err), out)
		return
	}
	if m.isOwnClaim(row, s) {
		m.acceptClaimed(now, s, out)
		return
	}
	delete(m.submissions, s.id)
	for _, w := range s.waiters {
		m.routeClaimed(now, w, row, s.id, s.job, out)
	}
}

// routeClaimed passes a request to the home that a claim's row names.
func (m *Manager) routeClaimed(now time.Time, w waiter, row claimRow, id string, j *job.Job, out *Output) {
	if w.kind != submitRequest {
		j = nil
	}
	if s := m.submissions[id]; s != nil {
		m.handleExisting(now, s, w, j, out)
		return
	}
	if w.peer.ID != "" && w.handOver {
		m.answer(w, unknownOutcome(id, j, m.uncheckedFault("another instance has just become its home")), out)
		return
	}
	if w.peer.ID != "" {
		m.answer(w, unknownOutcome(id, j, forgottenFault()), out)
		return
	}
	if row.home() == m.settings.Self {
		m.readRow(resultKey(id), lookup{waiter: w, id: id, job: j, ifMissing: forgottenFault()}, out)
		return
	}
	m.routeRemote(now, w, row.home(), id, j, out)
}

// acceptClaimed accepts a job whose id this instance has claimed. It refuses
// the job as not run if it was cancelled or is not admitted, and answers with
// an unknown outcome if the start window has ended.
func (m *Manager) acceptClaimed(now time.Time, s *submission, out *Output) {
	s.row = nil
	if !now.Before(s.windowEnd) {
		r := unknownOutcome(s.id, s.job, fault.New(fault.OutcomeUnknown, "the id's start window has ended; the submission never starts from now on"))
		s.result = &r
		m.finalize(now, s, out)
		return
	}
	if s.cancelled {
		r := refusal(s.id, s.job, fault.New(fault.Cancelled, ""))
		s.result = &r
		m.finalize(now, s, out)
		return
	}
	if f := m.admitClaimed(now, s.job); f != nil {
		m.logRefusal(s.id, f, out)
		m.markNotRun(s, f, out)
		return
	}
	m.activate(now, s, out)
}

// admitClaimed is like admit for a job that is in memory while its id is
// claimed. A job that came before a planned stop began is in flight and
// continues.
func (m *Manager) admitClaimed(now time.Time, j *job.Job) *fault.Error {
	if !j.Deadline.IsZero() && !now.Before(j.Deadline) {
		return fault.New(fault.DeadlineTooNear, "the deadline has passed")
	}
	return m.admission.Admit(now, j)
}

// markNotRun refuses a submission as not run and keeps it, so that it can be
// submitted again on this instance until its start window ends.
func (m *Manager) markNotRun(s *submission, f *fault.Error, out *Output) {
	r := refusal(s.id, s.job, f)
	s.phase = notRun
	s.result = withoutTasks(r)
	s.job = nil
	s.outcomes = nil
	s.attempts = nil
	m.answerAll(s, r, out)
	m.timers.add(timer{at: s.windowEnd, kind: startWindowTimer, id: s.id, number: s.claimNumber})
}

// timeOutClaim stops waiting for a claim whose outcome is still unknown. The
// requests that waited start nothing. A later submit resumes the claim with the
// same row.
func (m *Manager) timeOutClaim(s *submission, out *Output) {
	r := unknownOutcome(s.id, s.job, m.uncheckedFault(storeTimedOut))
	s.phase = claimTimedOut
	s.unconfirmed = true
	s.job = nil
	s.result = withoutTasks(r)
	m.answerAll(s, r, out)
	m.timers.add(timer{at: s.windowEnd, kind: startWindowTimer, id: s.id, number: s.claimNumber})
}

// handleLateClaimReply handles the store's reply to a claim that has timed out.
// If the claim took effect, the submission is kept as not run.
func (m *Manager) handleLateClaimReply(s *submission, o storage.RowOutcome, out *Output) {
	if o.Outcome != storage.Done {
		return
	}
	row, err := decodeClaim(o.Row.Value)
	if o.Applied || err == nil && m.isOwnClaim(row, s) {
		m.markNotRun(s, fault.New(fault.StoreUnavailable, storeTimedOut).WithRetryAfter(m.circuit.RetryAfter()), out)
		return
	}
	delete(m.submissions, s.id)
}

// isOwnClaim reports whether this submission wrote the row.
func (m *Manager) isOwnClaim(row claimRow, s *submission) bool {
	return row.home() == m.settings.Self && row.Claim == s.claimNumber
}
