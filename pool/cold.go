package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

// coldPenalty is the score of a cold endpoint beside a warm one for a run that would
// be cold all through: as if it had half the speed, so that load does not outweigh it.
const coldPenalty = 1

// coldScore returns by how much a cold endpoint ranks behind a warm one for the task.
func (e *endpointState) coldScore(now time.Time, s message.StartRun) float64 {
	return coldPenalty * e.lifetime.coldPart(now, s.Estimate)
}

// expectCold makes the expected time of a run on a cold endpoint longer, so that it
// is not overdue or stalled for being slow.
func (e *endpointState) expectCold(now time.Time, r *heldRun) {
	if r.cold || !e.lifetime.cold(now) {
		return
	}
	r.cold = true
	r.estimate = e.lifetime.runTime(now, r.work)
	if !r.startedAt.IsZero() {
		r.scheduleOverdue(r.startedAt, 1/max(e.speed, minScoredSpeed))
	}
}

// judgedEstimate returns the estimate against which the endpoint is judged by the run;
// zero if it is not, since the endpoint was cold.
func (r *heldRun) judgedEstimate() time.Duration {
	if r.cold {
		return 0
	}
	return r.estimate
}

// backOffStalled makes the endpoint get no work for a while because of a stalled run,
// unless the endpoint was cold.
func (e *endpointState) backOffStalled(now time.Time, r *heldRun) {
	if !r.cold {
		e.health.backOff(now)
	}
}

// warmerPeer returns the peer that should run the task because the best own endpoint
// is cold for all of the run while the peer's free slots are warm, and reduces its
// known free slots by one; nil if there is none.
func (m *Machine) warmerPeer(now time.Time, e *endpointState, s message.StartRun) *peer {
	if e == nil || s.Requires != "" || s.NotifyStart || e.lifetime.coldPart(now, s.Estimate) < 1 {
		return nil
	}
	for _, p := range m.sortedPeers {
		c := p.capacity(s.Service)
		if c != nil && c.Free > 0 && c.Joining == 0 && !p.status.Draining && fitsWithin(s.Needs, c.Largest) {
			c.Free--
			return p
		}
	}
	return nil
}
