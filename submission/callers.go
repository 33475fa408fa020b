package submission

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
)

const (
	// stoppingRetryAfter is the retry hint of a stopping instance. By then the
	// load balancer picks another instance.
	stoppingRetryAfter = 100 * time.Millisecond
	// fullRetryAfter is the retry hint when a memory limit is reached.
	fullRetryAfter = 2 * time.Second
	// unreachableRetryAfter is the retry hint when the home does not answer.
	unreachableRetryAfter = time.Second
	// maxWaiters limits the requests that wait for one submission or one row.
	maxWaiters = 1000
)

// Submit handles a job from a caller. The reply is in this or a later output:
// with wait once the result is final, otherwise once the job is accepted or
// refused. A job without an id gets a new one. A job with a known id joins the
// existing submission.
func (m *Manager) Submit(now time.Time, call uint64, j job.Job, wait bool, out *Output) {
	now = m.advance(now)
	w := waiter{kind: submitRequest, call: call, wait: wait}
	if f := checkJob(&j); f != nil {
		m.answer(w, job.Refusal(j, f), out)
		m.flush(now, out)
		return
	}
	if j.SubmissionID == "" && !m.stopping {
		j.SubmissionID = m.issue(now)
	}
	if j.SubmissionID == "" {
		m.answer(w, job.Refusal(j, m.stoppingFault()), out)
	} else {
		m.route(now, w, j.SubmissionID, &j, out)
	}
	m.flush(now, out)
}

// Show requests the result of a submission. With wait the reply comes when the
// result is final, otherwise as soon as the state is known.
func (m *Manager) Show(now time.Time, call uint64, id string, wait bool, out *Output) {
	m.showOrCancel(now, waiter{kind: showRequest, call: call, wait: wait}, id, out)
}

// Cancel ends a submission. Tasks that have not been sent never start. The
// reply carries the final result.
func (m *Manager) Cancel(now time.Time, call uint64, id string, out *Output) {
	m.showOrCancel(now, waiter{kind: cancelRequest, call: call, wait: true}, id, out)
}

// showOrCancel routes a Show or Cancel request of a caller.
func (m *Manager) showOrCancel(now time.Time, w waiter, id string, out *Output) {
	now = m.advance(now)
	if f := checkID(id); f != nil {
		m.answer(w, failure(id, f), out)
	} else if id == "" {
		m.answer(w, failure(id, fault.New(fault.BadRequest, "submission_id is empty")), out)
	} else {
		m.route(now, w, id, nil, out)
	}
	m.flush(now, out)
}

// HandleDisconnect handles the disconnect of the caller of a call. The caller's
// job continues.
func (m *Manager) HandleDisconnect(now time.Time, call uint64) {
	m.advance(now)
	pending, ok := m.calls[call]
	if !ok {
		return
	}
	delete(m.calls, call)
	delete(m.forwards, pending.forward)
	if s := m.submissions[pending.submission]; s != nil {
		s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
			return w.peer.ID == "" && w.call == call
		})
	}
}

func checkJob(j *job.Job) *fault.Error {
	if f := checkID(j.SubmissionID); f != nil {
		return f
	}
	if len(j.Tasks) == 0 {
		return fault.New(fault.BadRequest, "tasks is empty; a job has at least one task")
	}
	return nil
}

// route passes a request to the submission's home. The job is nil unless the
// request is a submit.
func (m *Manager) route(now time.Time, w waiter, id string, j *job.Job, out *Output) {
	if s := m.submissions[id]; s != nil {
		m.handleExisting(now, s, w, j, out)
		return
	}
	if t, ok := m.tombstones[id]; ok {
		m.answerFromTombstone(now, t, w, id, j, out)
		return
	}
	if IsIssued(id) {
		m.routeIssued(now, w, id, j, out)
		return
	}
	if w.peer.ID != "" && !w.handOver {
		// The sender read the claim's row, which names this incarnation,
		// but this incarnation no longer knows the submission.
		m.answer(w, unknownOutcome(id, j, forgottenFault()), out)
		return
	}
	if j != nil && !m.stopping {
		m.startClaim(now, w, j, out)
		return
	}
	if w.peer.ID != "" {
		m.answer(w, unknownOutcome(id, j, m.uncheckedStoppingFault()), out)
		return
	}
	m.readRow(claimKey(id), lookup{waiter: w, id: id, job: j}, out)
}

// routeIssued passes a request with an issued id to the home that the id names.
func (m *Manager) routeIssued(now time.Time, w waiter, text string, j *job.Job, out *Output) {
	id, f := ParseID(text)
	if f != nil {
		m.answer(w, failure(text, f), out)
		return
	}
	if id.Home != m.settings.Self {
		m.routeRemote(now, w, id.Home, text, j, out)
		return
	}
	if id.Number > m.lastID || m.issuedAt(id).After(m.latest) {
		m.answer(w, refusal(text, j, fault.New(fault.BadRequest, "submission_id was not issued by this instance; use an id from POST /v1/submission_ids")), out)
		return
	}
	windowEnd := m.issuedAt(id).Add(m.settings.StartWindow)
	if !now.Before(windowEnd) {
		m.answer(w, unknownOutcome(text, j, fault.New(fault.OutcomeUnknown, "the id's start window has ended; the submission never starts from now on")), out)
		return
	}
	if j == nil {
		m.answer(w, failure(text, fault.New(fault.NotFound, "the id was issued but no job was accepted under it")), out)
		return
	}
	if f := m.admit(now, j); f != nil {
		m.logRefusal(text, f, out)
		m.answer(w, refusal(text, j, f), out)
		return
	}
	s := &submission{id: text, job: j, hash: jobHash(j), windowEnd: windowEnd}
	m.submissions[text] = s
	m.addWaiter(s, w)
	m.activate(now, s, out)
}

// admit returns why a new job is refused as not run, or nil.
func (m *Manager) admit(now time.Time, j *job.Job) *fault.Error {
	if m.stopping {
		return m.stoppingFault()
	}
	if !j.Deadline.IsZero() && !now.Before(j.Deadline) {
		return fault.New(fault.DeadlineTooNear, "the deadline has passed")
	}
	if len(m.submissions)+len(m.tombstones) >= m.settings.MaxSubmissions {
		return m.fullFault()
	}
	if m.durableClasses[j.Class] && (m.circuit.Open() || m.storingBytes >= m.settings.MaxAnswerBytes) {
		return fault.New(fault.StoreUnavailable, "answers of class %q are stored before they are given", j.Class).WithRetryAfter(m.circuit.RetryAfter())
	}
	return m.admission.Admit(now, j)
}

func (m *Manager) fullFault() *fault.Error {
	return fault.New(fault.QueueFull, "the instance remembers as many submissions as its memory allows").WithRetryAfter(m.circuit.Jitter(fullRetryAfter))
}

// handleExisting answers a request for a submission that is in memory, or adds
// it to the waiters.
func (m *Manager) handleExisting(now time.Time, s *submission, w waiter, j *job.Job, out *Output) {
	if s.phase == notRun && j != nil {
		m.retryNotRun(now, s, w, j, out)
		return
	}
	if j != nil && jobHash(j) != s.hash {
		m.answer(w, failure(s.id, fault.New(fault.IDReused, "")), out)
		return
	}
	if s.phase == notRun && w.kind == cancelRequest {
		s.result.Fault = fault.New(fault.Cancelled, "")
		m.finalize(now, s, out)
	}
	if s.phase == claimTimedOut && j != nil {
		m.retryTimedOutClaim(now, s, w, j, out)
		return
	}
	if s.phase == finished || s.phase == notRun || s.phase == claimTimedOut {
		m.answer(w, *s.result, out)
		return
	}
	if s.phase == storing && !now.Before(s.timeoutAt) {
		m.answer(w, m.answerNotStored(s), out)
		return
	}
	if s.isWaiting(w) || !w.wait && (w.kind != submitRequest || s.phase != claiming) {
		m.answer(w, s.snapshot(), out)
		return
	}
	if len(s.waiters) >= maxWaiters {
		f := fault.New(fault.QueueFull, "too many requests wait for this submission; it goes on").WithRetryAfter(m.circuit.Jitter(fullRetryAfter))
		r := s.snapshot()
		r.Fault = f
		m.answer(w, r, out)
		return
	}
	m.addWaiter(s, w)
	if w.kind == cancelRequest {
		m.cancel(now, s, out)
	}
}

// isWaiting reports whether this request of another instance is already
// waiting, which means that the message is a duplicate.
func (s *submission) isWaiting(w waiter) bool {
	if w.peer.ID == "" {
		return false
	}
	for _, o := range s.waiters {
		if o == w {
			return true
		}
	}
	return false
}

func (m *Manager) cancel(now time.Time, s *submission, out *Output) {
	switch s.phase {
	case claiming:
		s.cancelled = true
	case active:
		m.endJob(now, s, job.Failed, fault.New(fault.Cancelled, ""), out)
	}
}

// retryNotRun handles the resubmission of a job that was refused as not run. No
// task has started, so the contents of the job may have changed.
func (m *Manager) retryNotRun(now time.Time, s *submission, w waiter, j *job.Job, out *Output) {
	if !now.Before(s.windowEnd) {
		m.answer(w, unknownOutcome(s.id, j, forgottenFault()), out)
		return
	}
	if f := m.admit(now, j); f != nil {
		m.logRefusal(s.id, f, out)
		r := refusal(s.id, j, f)
		s.result = withoutTasks(r)
		m.answer(w, r, out)
		return
	}
	s.job = j
	s.hash = jobHash(j)
	s.result = nil
	m.addWaiter(s, w)
	m.activate(now, s, out)
}

// retryTimedOutClaim resumes a claim that timed out.
func (m *Manager) retryTimedOutClaim(now time.Time, s *submission, w waiter, j *job.Job, out *Output) {
	if m.stopping || m.circuit.Refuses(now) {
		m.answer(w, unknownOutcome(s.id, j, m.uncheckedFault(storeUnreachable)), out)
		return
	}
	s.result = nil
	m.writeClaim(now, s, w, j)
}

// answerFromTombstone answers a request for a submission whose answer was
// evicted.
func (m *Manager) answerFromTombstone(_ time.Time, t tombstone, w waiter, id string, j *job.Job, out *Output) {
	if j != nil && jobHash(j) != t.hash {
		m.answer(w, failure(id, fault.New(fault.IDReused, "")), out)
		return
	}
	f := fault.New(fault.OutcomeUnknown, "the job ended as %s and its answers are no longer kept in memory", t.state)
	if t.durable {
		m.readRow(resultKey(id), lookup{waiter: w, id: id, job: j, ifMissing: f}, out)
		return
	}
	m.answer(w, unknownOutcome(id, j, f), out)
}

// addWaiter adds a request that waits for an answer of the submission.
func (m *Manager) addWaiter(s *submission, w waiter) {
	s.waiters = append(s.waiters, w)
	if w.peer.ID == "" {
		m.calls[w.call] = pendingCall{submission: s.id}
	}
}
