package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
)

// expireJobs answers the jobs whose deadline is near, and those that expired
// without a start.
func (m *Machine) expireJobs(now time.Time, out *Output) {
	var expired []*homeJob
	for _, j := range m.jobs {
		if !now.Before(j.Deadline.Add(-answerMargin)) || !j.mayHaveStarted() && now.After(j.expiresAt) {
			expired = append(expired, j)
		}
	}
	sortJobs(expired)
	for _, j := range expired {
		m.endJob(now, j, m.expiryFault(now, j), out)
	}
}

// deferJobs moves jobs that missed their latest start time without a start
// behind those of their priority that can still meet their goal. It refuses a
// job if its answer would come too late to be useful.
func (m *Machine) deferJobs(now time.Time, out *Output) {
	for _, j := range slices.Clone(m.queue) {
		if !now.After(j.startBy) || j.mayHaveStarted() {
			continue
		}
		if j.deferred {
			m.endJob(now, j, m.expiryFault(now, j), out)
			continue
		}
		m.dequeue(j)
		j.deferUntilExpiry()
		m.enqueue(j)
		if f, _ := m.refusal(now, j); f != nil {
			m.endJob(now, j, f, out)
		}
	}
}

// expiryFault returns the answer to an expired job.
func (m *Machine) expiryFault(now time.Time, j *homeJob) *fault.Error {
	if t := m.suspectOf(j); t != nil {
		return fault.New(fault.DeadlineExceeded, "task %s was lost with %d endpoints, which it may have crashed, and had not started again after %s", t.name, m.losses.History(t.name).Losses, now.Sub(j.arrived))
	}
	if j.mayHaveStarted() {
		return fault.New(fault.DeadlineExceeded, "%d tasks had not ended after %s", j.unfinished, now.Sub(j.arrived))
	}
	return fault.New(fault.DeadlineTooNear, "no place was free for %s", j.describeWait(now)).WithRetryAfter(m.retryAfter(now, j, m.load(now, j)))
}

// describeWait returns how long the caller has waited, and how much of it here if it had
// sent the job elsewhere before.
func (j *homeJob) describeWait(now time.Time) string {
	here := now.Sub(j.arrived)
	if j.waited == 0 {
		return here.String()
	}
	return fmt.Sprintf("%s, %s of it here", milliseconds(j.waited+here), here)
}
