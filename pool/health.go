package pool

import "time"

const (
	// initialBackoff and maxBackoff bound how long a misbehaving endpoint gets
	// no work. The backoff doubles each time.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// fullBackoff is how long an endpoint gets no work after it had less free
	// capacity than expected: about the time of one immediate poll.
	fullBackoff = 20 * time.Millisecond
	// maxUnanswered is how many starts must go unanswered in a row before the
	// endpoint is blamed.
	maxUnanswered = 3
	// maxRefusals is how many starts must be refused in a row before the endpoint
	// gets one run at a time.
	maxRefusals = 3
	// stallFactor is how many times its estimate, which may be off by a half, a
	// run must take before it is checked for a stall.
	stallFactor = 3
	// minStallTime is the minimum time beyond the estimate before that check,
	// and the minimum time without progress.
	minStallTime = 250 * time.Millisecond
)

type (
	// health is what the holder's orders show of an endpoint at once: no answers,
	// refusals, stalls. How runs end is judged by judge.
	health struct {
		// backoffUntil is when the endpoint may get work again.
		backoffUntil time.Time
		// backoffs counts the backoffs since the last successful run.
		backoffs int
		// unanswered counts the consecutive unanswered starts.
		unanswered int
		// refusals counts the consecutive refused starts.
		refusals int
	}

	// progress is the reported progress of a run.
	progress struct {
		percent float64
		// increasedAt is when percent last increased.
		increasedAt time.Time
	}
)

func (p *progress) observe(now time.Time, percent float64) {
	if percent > p.percent || p.increasedAt.IsZero() {
		p.percent, p.increasedAt = percent, now
	}
}

// stalled reports whether the run, which is far over its estimate, should be
// stopped so that its task starts elsewhere: its progress has not increased for
// the estimate or minStallTime, whichever is longer, or at its rate so far the
// rest takes longer than a new run. The latter may be the task's own fault, so
// it applies to a task's first run only.
func (r *heldRun) stalled(now time.Time) bool {
	if r.startedAt.IsZero() || !r.stopRequestedAt.IsZero() || r.estimate <= 0 {
		return false
	}
	ran := now.Sub(r.startedAt)
	if ran < max(stallFactor*r.estimate, r.estimate+minStallTime) {
		return false
	}
	if now.Sub(later(r.startedAt, r.progress.increasedAt)) > max(r.estimate, minStallTime) {
		return true
	}
	// At its rate so far, the rest takes longer than a complete new run.
	remaining := float64(ran) * (100 - r.progress.percent) / max(r.progress.percent, 1)
	return r.ref.Number == 1 && remaining > float64(r.estimate)
}

// usable reports whether the endpoint may get work, and whether it is on
// probation and gets one run at a time.
func (h *health) usable(now time.Time) (usable, probation bool) {
	return !now.Before(h.backoffUntil), h.backoffs > 0 || h.refusals >= maxRefusals
}

func (h *health) backOff(now time.Time) {
	if now.Before(h.backoffUntil) {
		return
	}
	h.backoffUntil = now.Add(min(initialBackoff<<min(h.backoffs, 8), maxBackoff))
	h.backoffs++
}

func (h *health) recordFull(now time.Time) {
	h.backoffUntil = later(h.backoffUntil, now.Add(fullBackoff))
}

// recordUnanswered records an unanswered start. A healthy endpoint may also
// leave one unanswered now and then.
func (h *health) recordUnanswered(now time.Time) {
	h.unanswered++
	if h.unanswered >= maxUnanswered {
		h.backOff(now)
	}
}

// recordRefusal records that the endpoint refused a start. A refusal costs a
// round trip, so that an endpoint that refuses some starts keeps its work; one
// that refuses all of them is asked less and less.
func (h *health) recordRefusal(now time.Time) {
	h.backoffUntil = later(h.backoffUntil, now.Add(min(fullBackoff<<min(h.refusals, 8), maxBackoff)))
	h.refusals++
}

// recordStart records that the endpoint began a run.
func (h *health) recordStart() { h.unanswered, h.refusals = 0, 0 }

// recordDone records a successful run.
func (h *health) recordDone() { h.backoffs = 0 }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
