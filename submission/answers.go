package submission

import (
	"slices"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

// answer ends a request with a result. It replies to the caller or sends the
// result to the instance that forwarded the request.
func (m *Manager) answer(w waiter, r job.Result, out *Output) {
	if w.peer.ID != "" {
		if w.kind == submitRequest && startsNothing(r) {
			m.refusedRequests.add(m.latest, peerRequest{w.peer, w.call}, withoutTasks(r))
		}
		m.send(w.peer, message.Result{Request: w.call, Result: r}, out)
		return
	}
	delete(m.calls, w.call)
	out.Replies = append(out.Replies, Reply{Call: w.call, Result: r})
}

// withoutTasks returns a copy of the result without its tasks, which would use
// much memory while the result is kept.
func withoutTasks(r job.Result) *job.Result {
	r.Tasks = nil
	return &r
}

// startsNothing reports whether the result says that its request starts
// nothing.
func startsNothing(r job.Result) bool {
	return r.State == job.NotRun || r.Fault != nil && r.Fault.Kind == fault.SubmissionUnchecked
}

// answerAll ends every request that waits for the submission.
func (m *Manager) answerAll(s *submission, r job.Result, out *Output) {
	for _, w := range s.waiters {
		m.answer(w, r, out)
	}
	s.waiters = nil
}

// failure returns the result of a failed request for which no task outcomes are
// known.
func failure(id string, f *fault.Error) job.Result {
	return job.Result{SubmissionID: id, State: job.Failed, Fault: f}
}

// refusal returns the not-run result of a request. The submission has not
// started and this request does not start it. The job is nil unless the request
// is a submit.
func refusal(id string, j *job.Job, f *fault.Error) job.Result {
	if j == nil {
		return job.Result{SubmissionID: id, State: job.NotRun, Fault: f}
	}
	r := job.Refusal(*j, f)
	r.SubmissionID = id
	return r
}

// unknownOutcome returns the result of a request whose submission may have
// started on this or another instance. The job is nil unless the request is a
// submit.
func unknownOutcome(id string, j *job.Job, f *fault.Error) job.Result {
	r := job.Result{SubmissionID: id, State: job.Failed, Fault: f}
	if j == nil {
		return r
	}
	r.Tasks = make([]task.Outcome, len(j.Tasks))
	for i := range j.Tasks {
		r.Tasks[i] = task.Outcome{TaskID: j.Tasks[i].ID, State: task.Unknown}
	}
	return r
}

func forgottenFault() *fault.Error {
	return fault.New(fault.OutcomeUnknown, "its home has forgotten it")
}

// uncheckedFault returns the fault of a request whose id cannot be looked up in
// the store. It does not say "not run", because an earlier request with the
// same id may have started on another instance.
func (m *Manager) uncheckedFault(reason string) *fault.Error {
	return fault.New(fault.SubmissionUnchecked, "%s", reason).WithRetryAfter(m.circuit.RetryAfter())
}

// uncheckedStoppingFault returns the fault of a request with a caller-chosen id
// on an instance that is stopping.
func (m *Manager) uncheckedStoppingFault() *fault.Error {
	return fault.New(fault.SubmissionUnchecked, "the instance is stopping").WithRetryAfter(m.circuit.Jitter(stoppingRetryAfter))
}

func (m *Manager) homeUnreachableFault() *fault.Error {
	return fault.New(fault.HomeUnreachable, "").WithRetryAfter(m.circuit.Jitter(unreachableRetryAfter))
}

// snapshot returns the current result of a submission that is not finished.
func (s *submission) snapshot() job.Result {
	return job.Result{
		SubmissionID: s.id,
		State:        job.Running,
		Tasks:        slices.Clone(s.outcomes),
		Accepted:     s.accepted,
	}
}

// answerNotStored returns the result of a job that has ended but whose answer
// is not stored yet.
func (m *Manager) answerNotStored(s *submission) job.Result {
	return job.Result{
		SubmissionID: s.id,
		State:        job.Running,
		Fault:        fault.New(fault.AnswerNotStored, "").WithRetryAfter(m.circuit.RetryAfter()),
		Accepted:     s.accepted,
	}
}

func (m *Manager) logRefusal(id string, f *fault.Error, out *Output) {
	out.Events = append(out.Events, event.Record{Kind: event.JobRefused, Subject: id, Detail: f.Kind.String()})
}
