package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/run"
)

const (
	// firstPause and longestPause bound how long an endpoint that misbehaves
	// gets no work; the pause doubles each time.
	firstPause   = 400 * time.Millisecond
	longestPause = 4 * time.Second
	// fullPause is how long an endpoint that had less room than was thought
	// gets no work: the time of a look.
	fullPause = 20 * time.Millisecond
	// failuresInRow is how many runs in a row must fail for the endpoint to
	// be at fault rather than the tasks.
	failuresInRow = 3
	// silencesInRow is how many starts in a row must go unanswered for the
	// endpoint to be at fault.
	silencesInRow = 3
	// paceWeight is the weight of a new run time in the learnt pace.
	paceWeight = 0.1
	// standsFactor is by how many times a run must exceed its estimate, which
	// may be off by a half, to be looked at as one that stands still.
	standsFactor = 3
	// standsFloor is the least time before that.
	standsFloor = 250 * time.Millisecond
)

type (
	// health is what a holder thinks of an endpoint.
	health struct {
		// pausedUntil is until when it gets no work.
		pausedUntil time.Time
		// pauses counts those since the last run that was done.
		pauses int
		// failures counts the runs that failed since the last one that was
		// done.
		failures int
		// silences counts the starts in a row that were not answered.
		silences int
		// pace is the usual run time over the estimate; zero if not known.
		pace float64
	}

	// progress is how far a run has come.
	progress struct {
		percent float64
		// moved is when the percent last rose.
		moved time.Time
	}
)

func (p *progress) observe(now time.Time, percent float64) {
	if percent > p.percent || p.moved.IsZero() {
		p.percent, p.moved = percent, now
	}
}

// stands reports whether the run is to be stopped, to start elsewhere: it makes
// no progress at all, or it is far over its estimate and far from its end. The
// latter may be the task's own fault, so that it counts for a first run only.
func (r *heldRun) stands(now time.Time) bool {
	if r.began.IsZero() || !r.stopping.IsZero() || r.estimate <= 0 {
		return false
	}
	ran := now.Sub(r.began)
	if ran < max(standsFactor*r.estimate, r.estimate+standsFloor) {
		return false
	}
	if now.Sub(later(r.began, r.progress.moved)) > max(r.estimate, standsFloor) {
		return true
	}
	// At its pace so far the rest takes longer than a whole new run.
	left := float64(ran) * (100 - r.progress.percent) / max(r.progress.percent, 1)
	return r.ref.Number == 1 && left > float64(r.estimate)
}

// usable reports whether the endpoint may get work, and whether it is tried
// with one run at a time.
func (h *health) usable(now time.Time) (usable, trial bool) {
	return !now.Before(h.pausedUntil), h.pauses > 0
}

func (h *health) suspend(now time.Time) {
	if now.Before(h.pausedUntil) {
		return
	}
	h.pausedUntil = now.Add(min(firstPause<<min(h.pauses, 8), longestPause))
	h.pauses++
}

func (h *health) full(now time.Time) {
	h.pausedUntil = later(h.pausedUntil, now.Add(fullPause))
}

// unanswered notes that a start was not answered. Now and then that happens to
// a sound endpoint too.
func (h *health) unanswered(now time.Time) {
	h.silences++
	if h.silences >= silencesInRow {
		h.suspend(now)
	}
}

// heard notes that the endpoint began a run.
func (h *health) heard() { h.silences = 0 }

// ended notes how a run ended.
func (h *health) ended(now time.Time, status run.Status, ran, estimate time.Duration) {
	switch status {
	case run.Done:
		h.failures, h.pauses = 0, 0
		h.learn(ran, estimate)
	case run.Failed:
		h.failures++
		if h.failures >= failuresInRow {
			h.suspend(now)
		}
	}
}

func (h *health) learn(ran, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(estimate)
	if h.pace == 0 {
		h.pace = ratio
		return
	}
	h.pace += paceWeight * (ratio - h.pace)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
