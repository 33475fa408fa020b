package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
)

// expireJobs answers the jobs whose time is over.
func (m *Machine) expireJobs(now time.Time, out *Output) {
	var over []*homeJob
	for _, j := range m.jobs {
		if !now.Before(j.Deadline.Add(-answerMargin)) || !j.maybeRan() && now.After(j.late) {
			over = append(over, j)
		}
	}
	sortJobs(over)
	for _, j := range over {
		m.end(now, j, m.expired(now, j), out)
	}
}

// deferJobs lets the jobs go first that can still meet their goal: one that has
// missed its goal without a start waits behind them, or is refused if it would
// come too late to be of use.
func (m *Machine) deferJobs(now time.Time, out *Output) {
	for _, j := range slices.Clone(m.queue) {
		if j.deferred || !now.After(j.startBy) || j.maybeRan() {
			continue
		}
		m.dequeue(j)
		j.deferred = true
		j.startBy = j.late.Add(-longestChain(j.Steps))
		m.enqueue(j)
		if f, _ := m.refusal(now, j); f != nil {
			m.end(now, j, f, out)
		}
	}
}

// expired returns the answer to a job whose time is over.
func (m *Machine) expired(now time.Time, j *homeJob) *fault.Error {
	if j.maybeRan() {
		return fault.New(fault.DeadlineExceeded, "%d tasks had not ended after %s", j.undone, now.Sub(j.arrived))
	}
	return fault.New(fault.DeadlineTooNear, "no place was free for %s", now.Sub(j.arrived)).WithRetryAfter(m.retryAfter(j))
}
