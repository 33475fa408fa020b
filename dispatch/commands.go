package dispatch

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

// Enqueue adds the job's tasks with these indexes to the queue and starts the
// tasks that can start. The driver also calls it to retry a task that an
// endpoint refused.
func (s *Scheduler) Enqueue(now time.Time, j *job.Job, accepted time.Time, indexes []int, out *Output) {
	w := s.jobs[j.SubmissionID]
	if w == nil {
		w = s.newWaitingJob(j, accepted)
		s.jobs[j.SubmissionID] = w
	}
	if w.queue.tasks == 0 {
		w.queue.lastProgress = now
		w.queue.firstPeer = s.nextFirstPeer
		s.nextFirstPeer++
	}
	for _, i := range indexes {
		s.enqueueTask(w, s.fittingGroups(j.Tasks[i].Needs), s.newWaitingTask(j, i))
	}
	if len(indexes) == 0 && len(w.parts) == 0 {
		delete(s.jobs, j.SubmissionID)
	}
	s.schedule(now, out)
}

func (s *Scheduler) newWaitingJob(j *job.Job, accepted time.Time) *waitingJob {
	q, c := s.queueOf(j.Class)
	answerBy := accepted.Add(c.Target)
	if !j.Deadline.IsZero() && j.Deadline.Before(answerBy) {
		answerBy = j.Deadline
	}
	return &waitingJob{
		job:        j,
		submission: j.SubmissionID,
		class:      j.Class,
		account:    s.accountOf(j.Team),
		queue:      q,
		accepted:   accepted,
		deadline:   j.Deadline,
		answerBy:   answerBy,
	}
}

func (s *Scheduler) newWaitingTask(j *job.Job, i int) waitingTask {
	t := &j.Tasks[i]
	return waitingTask{
		index:      i,
		needs:      t.Needs,
		expected:   s.expectedRunTime(j.Class, j.Team, t),
		bytes:      len(t.Payload),
		idempotent: t.Idempotent,
	}
}

// Remove removes the waiting tasks of a job and stops its running idempotent
// tasks, since their answers are no longer needed.
func (s *Scheduler) Remove(now time.Time, submission string, out *Output) {
	if w := s.jobs[submission]; w != nil {
		for len(w.parts) > 0 {
			p := w.parts[0]
			for _, t := range p.tasks {
				s.addToTotals(p, t, -1)
			}
			s.removePart(p)
		}
	}
	for _, ref := range s.runningBySubmission[submission] {
		if r := s.running[ref]; r.idempotent {
			out.Stops = append(out.Stops, Stop{Ref: ref, Endpoint: r.endpoint.info.ID})
		}
	}
	s.schedule(now, out)
}

// Finished handles the end of a task that was sent to an endpoint, and frees
// its slot. The driver enqueues a refused task again.
func (s *Scheduler) Finished(now time.Time, ref task.Ref, o endpoint.Outcome, ran time.Duration, load endpoint.Load, out *Output) {
	r, ok := s.running[ref]
	if !ok {
		return
	}
	s.releaseSlot(now, ref, r)
	e := r.endpoint
	e.info.Draining = e.info.Draining || load.Draining
	switch o {
	case endpoint.Refused:
		s.counters.Refusals++
		r.usage.charge(-r.expected)
		s.backOff(now, e)
	case endpoint.Answered, endpoint.Failed, endpoint.Lost:
		r.usage.charge(ran - r.expected)
		e.refusals = 0
		e.failedFast = o == endpoint.Failed && ran < r.expected/2
	}
	s.refresh(now, e)
	s.schedule(now, out)
}

// removeRunning removes a task from the running ones.
func (s *Scheduler) removeRunning(ref task.Ref) {
	delete(s.running, ref)
	refs := s.runningBySubmission[ref.Submission]
	i := slices.Index(refs, ref)
	refs[i] = refs[len(refs)-1]
	refs = refs[:len(refs)-1]
	if len(refs) == 0 {
		delete(s.runningBySubmission, ref.Submission)
		return
	}
	s.runningBySubmission[ref.Submission] = refs
}

// CancelStart undoes a start that the driver did not execute.
func (s *Scheduler) CancelStart(now time.Time, ref task.Ref, out *Output) {
	if r, ok := s.running[ref]; ok {
		s.releaseSlot(now, ref, r)
		r.usage.charge(-r.expected)
		s.update(now, r.endpoint)
	}
	s.schedule(now, out)
}

// releaseSlot removes a task from the running ones and from the running count
// of its endpoint.
func (s *Scheduler) releaseSlot(now time.Time, ref task.Ref, r runningTask) {
	s.removeRunning(ref)
	r.endpoint.running--
	if r.endpoint.unleased > 0 && r.token < r.endpoint.token {
		r.endpoint.unleased--
	}
	r.endpoint.idleSince = now
	r.account.Finish()
}

// Refresh reads the health of the endpoints with these IDs again.
func (s *Scheduler) Refresh(now time.Time, ids []string, out *Output) {
	for _, id := range ids {
		if e := s.endpointByID[id]; e != nil {
			s.refresh(now, e)
		}
	}
	s.schedule(now, out)
}

// Tick does what depends on time, such as expiring leases. The driver calls it
// at Output.Wake.
func (s *Scheduler) Tick(now time.Time, out *Output) {
	if !now.Before(s.nextRefresh) {
		s.refreshAll(now)
		s.expireLeases(now, out)
	}
	s.schedule(now, out)
}

// BeginStop makes Admit refuse every new job. Waiting tasks still start.
func (s *Scheduler) BeginStop(now time.Time, out *Output) {
	s.stopping = true
	s.schedule(now, out)
}

// schedule starts the tasks that can start, sends the messages for the peers,
// and sets the time of the next Tick.
func (s *Scheduler) schedule(now time.Time, out *Output) {
	out.Wake = s.nextRefresh
	s.endPauses(now, out)
	for s.assignSlot(now, out) {
	}
	s.releaseIdle(now, out)
	s.flushLeases(out)
	s.sendWants(now, out)
	if s.waiting > 0 {
		s.wakeForQuota(now, out)
	}
	s.wake = out.Wake
}

// assignSlot gives one free slot to the most urgent waiting task of all
// instances, and reports whether it assigned one.
func (s *Scheduler) assignSlot(now time.Time, out *Output) bool {
	own, borrowed := s.freeGroupMasks()
	if own|borrowed == 0 {
		return false
	}
	part := s.choose(now, own|borrowed)
	if p, at := s.mostUrgentDemand(own, part); p != nil {
		s.lend(now, s.pickOwnEndpoint(own&p.demands[at].groupMask), p)
		p.deductDemand(at)
		return true
	}
	if part == nil {
		return false
	}
	e := s.pickEndpoint(part.subqueue.groupMask)
	if e.holder != nil {
		if p, at := s.mostUrgentDemand(e.group.bit, part); p != nil && (e.free > e.unusedBorrowed || p.demands[at].rank < part.subqueue.queue.rank) {
			p.deductDemand(at)
			s.transferSlot(now, e, p)
			return true
		}
	}
	s.start(now, part, e, out)
	return true
}

func (s *Scheduler) start(now time.Time, p *jobPart, e *endpointState, out *Output) {
	j := p.job
	u := p.teamQueue.usage
	t := s.dequeueTask(p)
	ref := task.Ref{Submission: j.submission, Index: t.index}
	s.running[ref] = runningTask{endpoint: e, account: j.account, usage: u, expected: t.expected, idempotent: t.idempotent, token: e.token}
	s.runningBySubmission[j.submission] = append(s.runningBySubmission[j.submission], ref)
	s.counters.Starts++
	j.queue.lastProgress = now
	j.account.Start(now)
	u.charge(t.expected)
	e.running++
	e.unusedBorrowed = max(0, e.unusedBorrowed-1)
	s.update(now, e)
	out.Starts = append(out.Starts, Start{Ref: ref, Job: j.job, Accepted: j.accepted, Endpoint: e.info.ID, FencingToken: e.token, Expected: t.expected})
}

// wakeForQuota requests a Tick for when the starts per second of a team with
// waiting tasks allow the next start.
func (s *Scheduler) wakeForQuota(now time.Time, out *Output) {
	for _, q := range s.queues {
		for _, u := range q.usages {
			if u.waiting == 0 {
				continue
			}
			if next := u.account.NextStart(); next.After(now) {
				out.wakeAt(next)
			}
		}
	}
}
