package pool

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

// sparingMargin is by how much the expected run time on an endpoint must fit
// into the time until a job's goal so that a faster endpoint is left to more
// urgent jobs. Estimates are off by up to 40 %.
const sparingMargin = 1.3

// minSpared is how many times faster the fastest free endpoint must be so that it
// is left to others: more than the error of the learnt speeds, and less than the
// factor between kinds of endpoints.
const minSpared = 1.25

// moreUrgentArrive reports whether jobs of a more urgent priority arrive here.
func (m *Machine) moreUrgentArrive(now time.Time, service string, priority int) bool {
	for _, a := range m.arrivals {
		if a.service == service && a.priority < priority && a.rateAt(now) >= minReportedRate {
			return true
		}
	}
	return false
}

// pickSparing returns the slowest free held endpoint on which the task's job is
// expected to meet its goal, or nil if there is none. It returns nil for the most
// urgent jobs that arrive here, for which the fastest endpoint is best.
func (m *Machine) pickSparing(now time.Time, t *homeTask, s message.StartRun) *endpointState {
	j := t.job
	if j.deferred || j.late || !m.moreUrgentArrive(now, s.Service, j.Queue.Priority) {
		return nil
	}
	rest := longestChain(j.Steps) - s.Estimate
	due := j.goal.Sub(now) - rest
	var best *endpointState
	bestScore, fastest := math.Inf(-1), math.Inf(1)
	sizes := m.sizesOf(s.Service)
	for _, e := range m.held {
		if !e.accepts(now, s) || e.unreliable() || e.lifetime.cold(now) || e.health.unanswered > 0 {
			continue
		}
		slowdown := e.slowdown(s)
		fastest = min(fastest, slowdown)
		if score := slowdown - loadWeight*e.load() - e.fitCost(sizes, s); score > bestScore && sparingMargin*slowdown*float64(s.Estimate) <= float64(due) {
			best, bestScore = e, score
		}
	}
	if best == nil || best.slowdown(s) < minSpared*fastest {
		return nil
	}
	return best
}
