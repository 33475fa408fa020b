package submission

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

// refusedRetryAfter is the retry hint after endpoints refused a task too often.
const refusedRetryAfter = time.Second

// activate accepts a job and enqueues its tasks.
func (m *Manager) activate(now time.Time, s *submission, out *Output) {
	n := len(s.job.Tasks)
	s.phase = active
	s.accepted = now
	s.class = s.job.Class
	s.team = s.job.Team
	s.unanswered = n
	s.durable = m.durableClasses[s.job.Class]
	s.outcomes = make([]task.Outcome, n)
	s.attempts = make([]taskAttempts, n)
	indexes := make([]int, n)
	for i := range s.outcomes {
		s.outcomes[i].TaskID = s.job.Tasks[i].ID
		indexes[i] = i
	}
	out.Enqueue = append(out.Enqueue, QueuedTasks{Job: s.job, Accepted: now, Indexes: indexes})
	if !s.job.Deadline.IsZero() {
		m.timers.add(timer{at: s.job.Deadline, kind: deadlineTimer, id: s.id})
	}
	m.notifyAccepted(s, out)
}

// notifyAccepted answers the requests that wait only until the job is accepted.
func (m *Manager) notifyAccepted(s *submission, out *Output) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		if !w.wait {
			m.answer(w, s.snapshot(), out)
		}
		return !w.wait
	})
}

// BeginAttempt records that a task is about to be sent to an endpoint. The driver
// sends the task only if ok is true, and later passes the attempt to Finished.
// The record is made before the send, because it is what prevents a second start.
func (m *Manager) BeginAttempt(now time.Time, ref task.Ref, endpointID string) (attempt uint64, ok bool) {
	m.advance(now)
	s := m.submissions[ref.Submission]
	if s == nil || s.phase != active || ref.Index < 0 || ref.Index >= len(s.outcomes) {
		return 0, false
	}
	o := &s.outcomes[ref.Index]
	if o.State != task.Waiting {
		return 0, false
	}
	m.lastAttempt++
	o.State = task.Sent
	o.Endpoint = endpointID
	s.attempts[ref.Index].latest = m.lastAttempt
	return m.lastAttempt, true
}

// Finished handles the outcome of one attempt to run a task. It ignores repeated
// and late outcomes, that is, those of an attempt that already has an outcome or
// of a job that has ended.
func (m *Manager) Finished(now time.Time, ref task.Ref, attempt uint64, outcome endpoint.Outcome, answer []byte, out *Output) {
	now = m.advance(now)
	if s := m.submissions[ref.Submission]; s != nil && s.isCurrentAttempt(ref.Index, attempt) {
		m.handleOutcome(now, s, ref.Index, outcome, answer, out)
	}
	m.flush(now, out)
}

// isCurrentAttempt reports whether the attempt is the task's last one and has no
// outcome yet.
func (s *submission) isCurrentAttempt(i int, attempt uint64) bool {
	if s.phase != active || i < 0 || i >= len(s.outcomes) {
		return false
	}
	return s.outcomes[i].State == task.Sent && s.attempts[i].latest == attempt
}

// handleOutcome records the outcome of a task and ends the job if it is
// decided.
func (m *Manager) handleOutcome(now time.Time, s *submission, i int, outcome endpoint.Outcome, answer []byte, out *Output) {
	o := &s.outcomes[i]
	switch outcome {
	case endpoint.Answered:
		o.State = task.Answered
		o.Answer = answer
		s.unanswered--
		if s.unanswered == 0 {
			m.endJob(now, s, job.Complete, nil, out)
		}
	case endpoint.Failed:
		o.State = task.Answered
		o.Answer = answer
		o.Failed = true
		m.endJob(now, s, job.Failed, fault.New(fault.TaskFailed, "task %q", o.TaskID), out)
	case endpoint.Refused:
		m.requeueRefused(now, s, i, out)
	default:
		o.State = task.Unknown
		out.Events = append(out.Events, event.Record{Kind: event.TaskOutcomeUnknown, Subject: s.id, Detail: o.Endpoint})
		m.endJob(now, s, job.Failed, fault.New(fault.TaskUnknown, "task %q", o.TaskID), out)
	}
}

// requeueRefused puts a task that an endpoint provably did not run back into
// the queue. The job fails after too many refusals.
func (m *Manager) requeueRefused(now time.Time, s *submission, i int, out *Output) {
	o := &s.outcomes[i]
	o.State = task.Waiting
	out.Events = append(out.Events, event.Record{Kind: event.EndpointRefused, Subject: o.Endpoint, Detail: s.id})
	o.Endpoint = ""
	s.attempts[i].refusals++
	if s.attempts[i].refusals >= m.settings.MaxRefusals {
		f := fault.New(fault.EndpointsUnavailable, "endpoints refused task %q %d times", o.TaskID, s.attempts[i].refusals)
		m.endJob(now, s, job.Failed, f.WithRetryAfter(m.circuit.Jitter(refusedRetryAfter)), out)
		return
	}
	out.Enqueue = append(out.Enqueue, QueuedTasks{Job: s.job, Accepted: s.accepted, Indexes: []int{i}})
}

// Fail ends a job that the queue gives up. The job is refused as not run if
// none of its tasks can have started.
func (m *Manager) Fail(now time.Time, id string, f *fault.Error, out *Output) {
	now = m.advance(now)
	if s := m.submissions[id]; s != nil && s.phase == active {
		m.endJob(now, s, job.Failed, f, out)
	}
	m.flush(now, out)
}

// endJob ends a job. Tasks that have not been sent never start; the outcome of
// tasks that are still running is unknown.
func (m *Manager) endJob(now time.Time, s *submission, state job.State, f *fault.Error, out *Output) {
	started := m.finalizeTasks(s, out)
	if s.dropped > 0 {
		out.Drop = append(out.Drop, s.id)
	}
	if !started {
		m.endUnstarted(now, s, f, out)
		return
	}
	if f != nil && f.Kind.Row().NotRun {
		f = fault.New(fault.TasksNotRun, "%s", f.Error())
	}
	s.result = &job.Result{
		SubmissionID: s.id,
		State:        state,
		Fault:        f,
		Tasks:        s.outcomes,
		Accepted:     s.accepted,
		Finished:     now,
	}
	if f != nil {
		out.Events = append(out.Events, event.Record{Kind: event.JobFailed, Subject: s.id, Detail: f.Kind.String()})
	}
	if s.durable {
		m.storeResult(now, s)
		return
	}
	m.finalize(now, s, out)
}

// finalizeTasks gives every task its final state and counts those that were
// waiting. It reports whether any task may have started.
func (m *Manager) finalizeTasks(s *submission, out *Output) (started bool) {
	s.dropped = 0
	for i := range s.outcomes {
		o := &s.outcomes[i]
		switch o.State {
		case task.Waiting:
			s.dropped++
			o.State = task.NotRun
		case task.Sent:
			started = true
			o.State = task.Unknown
			if s.job.Tasks[i].Idempotent {
				out.Stop = append(out.Stop, task.Ref{Submission: s.id, Index: i})
			}
		default:
			started = true
		}
	}
	return started
}

// endUnstarted ends a job of which no task has started. Unless it was
// cancelled, the job may be submitted again under the same id.
func (m *Manager) endUnstarted(now time.Time, s *submission, f *fault.Error, out *Output) {
	m.logRefusal(s.id, f, out)
	if f.Kind == fault.Cancelled {
		r := refusal(s.id, s.job, f)
		r.Accepted, r.Finished = s.accepted, now
		s.result = &r
		m.finalize(now, s, out)
		return
	}
	s.reportEnded(now, job.NotRun, f, out)
	m.markNotRun(s, f, out)
}
