package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// storeRetry is the wait before a row of unknown fate is written again. The
// row is the same, so it does no harm if the first write took effect.
const storeRetry = 200 * time.Millisecond

// The reasons why an id could not be checked.
const (
	storeAway = "the store is out of reach"
	storeSlow = "the store did not answer in time"
	tooMany   = "too many requests wait for the store"
)

// startClaim begins to claim an id that a caller chose. The job is not started
// before the claim is known to be ours.
func (m *Manager) startClaim(now time.Time, w waiter, j *job.Job, out *Output) {
	if len(m.submissions)+len(m.remnants) >= m.settings.Submissions || m.batcher.Waiting() >= m.settings.Claims {
		m.answer(w, unknown(j.SubmissionID, j, m.unchecked(tooMany)), out)
		return
	}
	if m.circuit.Refuses(now) {
		m.answer(w, unknown(j.SubmissionID, j, m.unchecked(storeAway)), out)
		return
	}
	m.claim++
	s := &submission{
		id:    j.SubmissionID,
		claim: m.claim,
		hash:  hashOf(j),
		until: now.Add(m.settings.StartWindow),
	}
	s.row = encodeClaim(m.settings.Self, s.claim, now)
	m.submissions[s.id] = s
	m.tryClaim(now, s, w, j)
}

// tryClaim writes the claim's row for a request and waits for the reply.
func (m *Manager) tryClaim(now time.Time, s *submission, w waiter, j *job.Job) {
	s.phase = claiming
	s.job = j
	s.cancelled = false
	s.limit = now.Add(m.settings.ClaimLimit)
	if !j.Deadline.IsZero() && j.Deadline.Before(s.limit) {
		s.limit = j.Deadline
	}
	m.await(s, w)
	m.timers.add(timer{at: s.limit, kind: claimTimer, id: s.id, number: s.claim})
	m.batcher.Insert(claimKey(s.id), s.row, m.settings.ClaimLifetime)
}

// claimReplied decides what the store's reply means for a claim.
func (m *Manager) claimReplied(now time.Time, s *submission, o storage.Outcome, out *Output) {
	if s.phase == lapsed {
		m.lapsedReplied(s, o, out)
		return
	}
	if s.phase != claiming {
		return
	}
	switch {
	case o.Fate == storage.Doubtful:
		s.doubtful = true
		m.retryClaim(now, s)
	case o.Fate == storage.NotApplied && s.doubtful:
		m.retryClaim(now, s)
	case o.Fate == storage.NotApplied:
		m.dropClaim(s, m.unchecked(storeAway), out)
	case o.Applied:
		m.claimed(now, s, out)
	default:
		m.claimedEarlier(now, s, o.Row, out)
	}
}

// retryClaim writes the same row again. The reply tells which row is there,
// whatever became of the earlier write, also if that takes effect later.
func (m *Manager) retryClaim(now time.Time, s *submission) {
	m.timers.add(timer{at: now.Add(m.circuit.Jitter(storeRetry)), kind: retryTimer, id: s.id, number: s.claim})
}

// dropClaim forgets a submission whose claim has proven to have no effect.
func (m *Manager) dropClaim(s *submission, f *fault.Error, out *Output) {
	delete(m.submissions, s.id)
	m.answerAll(s, unknown(s.id, s.job, f), out)
}

// claimedEarlier decides about a claim that found a row of its key.
func (m *Manager) claimedEarlier(now time.Time, s *submission, r storage.Row, out *Output) {
	row, err := decodeClaim(r.Value)
	if err != nil {
		m.dropClaim(s, fault.New(fault.Internal, "%v", err), out)
		return
	}
	if m.isClaim(row, s) {
		m.claimed(now, s, out)
		return
	}
	delete(m.submissions, s.id)
	for _, w := range s.waiters {
		m.routeClaimed(now, w, row, s.id, s.job, out)
	}
}

// routeClaimed brings a request to the home that a claim's row names.
func (m *Manager) routeClaimed(now time.Time, w waiter, row claimRow, id string, j *job.Job, out *Output) {
	if w.request != submitRequest {
		j = nil
	}
	if s := m.submissions[id]; s != nil {
		m.join(now, s, w, j, out)
		return
	}
	if w.peer.ID != "" && w.claim {
		m.answer(w, unknown(id, j, m.unchecked("another instance has just become its home")), out)
		return
	}
	if w.peer.ID != "" {
		m.answer(w, unknown(id, j, forgotten()), out)
		return
	}
	if row.home() == m.settings.Self {
		m.look(resultKey(id), lookup{waiter: w, id: id, job: j, then: forgotten()}, out)
		return
	}
	m.routeAway(now, w, row.home(), id, j, out)
}

// claimed accepts a job whose claim is ours, or refuses it as not run.
func (m *Manager) claimed(now time.Time, s *submission, out *Output) {
	s.row = nil
	if !now.Before(s.until) {
		r := unknown(s.id, s.job, fault.New(fault.OutcomeUnknown, "the id's start window has ended; the submission never starts from now on"))
		s.result = &r
		m.conclude(now, s, out)
		return
	}
	if s.cancelled {
		r := refusal(s.id, s.job, fault.New(fault.Cancelled, ""))
		s.result = &r
		m.conclude(now, s, out)
		return
	}
	if f := m.refusesClaimed(now, s.job); f != nil {
		m.logRefusal(s.id, f, out)
		m.hold(s, f, out)
		return
	}
	m.activate(now, s, out)
}

// refusesClaimed is refuses for a job that came before a planned stop began:
// it is in flight and goes on.
func (m *Manager) refusesClaimed(now time.Time, j *job.Job) *fault.Error {
	if !j.Deadline.IsZero() && !now.Before(j.Deadline) {
		return fault.New(fault.DeadlineTooNear, "the deadline has passed")
	}
	return m.admission.Admit(now, j)
}

// hold refuses a submission as not run and keeps its claim, so that it can be
// tried again here while its start window lasts.
func (m *Manager) hold(s *submission, f *fault.Error, out *Output) {
	r := refusal(s.id, s.job, f)
	s.phase = held
	s.result = brief(r)
	s.job = nil
	s.outcomes = nil
	s.sends = nil
	m.answerAll(s, r, out)
	m.timers.add(timer{at: s.until, kind: heldTimer, id: s.id, number: s.claim})
}

// lapse gives up a claim whose fate stays unknown. This try starts nothing;
// the next one goes on with the same row.
func (m *Manager) lapse(s *submission, out *Output) {
	r := unknown(s.id, s.job, m.unchecked(storeSlow))
	s.phase = lapsed
	s.doubtful = true
	s.job = nil
	s.result = brief(r)
	m.answerAll(s, r, out)
	m.timers.add(timer{at: s.until, kind: heldTimer, id: s.id, number: s.claim})
}

// lapsedReplied settles a claim that was given up before the store replied.
func (m *Manager) lapsedReplied(s *submission, o storage.Outcome, out *Output) {
	if o.Fate != storage.Done {
		return
	}
	row, err := decodeClaim(o.Row.Value)
	if o.Applied || err == nil && m.isClaim(row, s) {
		m.hold(s, fault.New(fault.StoreUnavailable, storeSlow).WithRetryAfter(m.circuit.RetryAfter()), out)
		return
	}
	delete(m.submissions, s.id)
}

// isClaim reports whether the row is the one that this submission wrote.
func (m *Manager) isClaim(row claimRow, s *submission) bool {
	return row.home() == m.settings.Self && row.Claim == s.claim
}
