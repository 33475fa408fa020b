package pool

import (
	"math"
	"time"
)

const (
	// maxReliableWait is how long the last attempt of a task waits for an endpoint
	// that hardly fails: a few runs of the usual length.
	maxReliableWait = 400 * time.Millisecond
	// unreliableShare is the share of failures above which an endpoint is not
	// used for last attempts, and unreliableOutcomes the number of outcomes after
	// which that is known.
	unreliableShare    = 0.2
	unreliableOutcomes = 4
)

// unreliable reports whether the endpoint often fails runs.
func (e *endpointState) unreliable() bool {
	return e.outcomes >= unreliableOutcomes && e.failedShare > unreliableShare
}

// waitsForReliable reports whether the task's next failure is its last and some
// held endpoint hardly fails, so that it waits for that one.
func (m *Machine) waitsForReliable(now time.Time, t *homeTask) bool {
	j := t.job
	if t.failures == 0 || t.failures < j.Queue.Attempts-1 || now.Sub(t.failedAt) > maxReliableWait {
		return false
	}
	s := m.startRequest(t)
	found, others := false, false
	for _, e := range m.held {
		if e.info.Service != s.Service || !e.active || e.closed || e.releasing || e.info.Draining || e.usableSlots == 0 {
			continue
		}
		if e.unreliable() {
			others = true
		} else if fitsWithin(s.Needs, e.info.Size) {
			found = true
		}
	}
	return found && others
}

// placeReliably places the task on a held endpoint that hardly fails and reports
// whether it did.
func (m *Machine) placeReliably(now time.Time, t *homeTask, out *Output) bool {
	s := m.startRequest(t)
	var best *endpointState
	bestScore := math.Inf(1)
	for _, e := range m.held {
		if e.unreliable() || !e.accepts(now, s) {
			continue
		}
		if score := e.score(s) + e.coldScore(now, s); score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return false
	}
	m.placeHere(now, t, best, s, out)
	return true
}
