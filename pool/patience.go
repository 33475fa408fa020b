package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/patience"
)

const (
	// retryWindow is how long after an outage callers send again what it has broken:
	// they notice it, and wait once or twice before they ask another instance.
	retryWindow = 4 * time.Second
	// maxPatienceProfiles bounds the number of queues whose callers' patience is kept
	// for later processes.
	maxPatienceProfiles = 64
)

// PatienceProfiles returns what this instance has learnt of how long callers wait.
func (m *Machine) PatienceProfiles() []patience.Profile {
	return m.patience.Profiles(maxPatienceProfiles)
}

// RestorePatience takes over what earlier processes have learnt of how long callers
// wait. It returns the number of profiles that can't be true, which it ignores.
func (m *Machine) RestorePatience(profiles []patience.Profile) (invalid int) {
	return m.patience.Restore(profiles[:min(len(profiles), maxPatienceProfiles)])
}

// retriesExpected reports whether callers may be sending jobs again that an outage has
// broken: this instance has just started, or has lost a peer.
func (m *Machine) retriesExpected(now time.Time) bool {
	return now.Sub(m.startedAt) < retryWindow || !m.peerLostAt.IsZero() && now.Sub(m.peerLostAt) < retryWindow
}

// waited returns how long the caller of a job that arrives now has waited for it
// already. Without an outage it learns from the job, whose caller has then just begun
// to wait.
func (m *Machine) waited(now time.Time, j *homeJob) time.Duration {
	if !j.DeadlineStated {
		return 0
	}
	queue, goal, left := j.Queue.Name, j.goal.Sub(now), j.Deadline.Sub(now)
	if m.retriesExpected(now) {
		return m.patience.Waited(queue, goal, left)
	}
	if !m.refusals.known(now, j.ID) {
		m.patience.Observe(queue, goal, left)
	}
	return 0
}

// countWaited makes a job late that can't meet its goal, counted from when its caller
// began to wait. If its answer would come too late to be useful, the job is served only
// if it can start at once. A job that can still meet its goal stays as it is, so that
// nobody is served earlier for stating less time.
func (j *homeJob) countWaited(now time.Time, waited time.Duration) {
	if waited <= 0 || !now.Add(waited).After(j.startBy) {
		return
	}
	j.late, j.waited = true, waited
	j.expiresAt = j.expiresAt.Add(-waited)
	j.deferUntilExpiry()
	j.startBy = later(j.startBy, now)
}
