package endpoint

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

const (
	// failingRate is the share of failures that marks an endpoint as failing.
	failingRate = 0.5
	// minNormalRate is the lower bound of the share of failures that counts as
	// normal.
	minNormalRate = 0.05
	// rateWindow is the least time for which outcomes count towards the normal
	// rate.
	rateWindow = 5 * time.Second
	// priorOutcomes is the weight of minNormalRate in the normal rate, in
	// outcomes.
	priorOutcomes = 20
	// peerEjectionTTL is how long a peer's ejection of an endpoint makes
	// failures count more, and peerEjectionWeight is the factor by which they
	// do.
	peerEjectionTTL    = 10 * time.Second
	peerEjectionWeight = 3
	// probationAnswers is the number of answers that ends a probation.
	probationAnswers = 4
	// withheldEventInterval is the least time between two events in a data
	// centre that report a withheld ejection.
	withheldEventInterval = 30 * time.Second
	// maxDoublings bounds the doublings of pauses and backoffs.
	maxDoublings = 10
	// backoffJitter is the largest random change of a backoff, as a share.
	backoffJitter = 0.25
	// ejectionResetFactor is the time after an endpoint's last ejection at
	// which its earlier ejections no longer count, in multiples of the maximum
	// backoff.
	ejectionResetFactor = 2
	// minConfirmingEndpoints is the number of other endpoints that must have
	// answered tasks sent since the first failure. In a data centre of fewer
	// than smallDataCentre endpoints one is enough.
	minConfirmingEndpoints = 2
	smallDataCentre        = 4
)

func (t *Tracker) handleSuccess(now time.Time, e *entry, runTime time.Duration, out *Output) {
	if sent := now.Add(-runTime); sent.After(e.lastAnsweredSend) {
		e.lastAnsweredSend = sent
	}
	e.peerEjectedUntil = time.Time{}
	e.countOutcome(false)
	switch e.health {
	case Healthy:
		e.addEvidence(false) // before it is counted as normal
		e.dc.countOutcome(now, 0)
		t.checkSpeed(now, e, out)
	case Suspect, Trial:
		t.markHealthy(e, out)
	case Probation:
		t.handleProbationSuccess(now, e, out)
	case Ejected:
		// An answer to a task sent before the ejection changes nothing.
	}
}

func (t *Tracker) handleFailure(now time.Time, e *entry, out *Output) {
	e.countOutcome(true)
	switch e.health {
	case Healthy:
		if e.failures == 0 {
			e.firstFailureAt = now
		}
		e.addEvidence(true) // before it is counted as normal
		e.dc.countOutcome(now, 1)
		if now.Before(e.peerEjectedUntil) {
			e.evidence += (peerEjectionWeight - 1) * math.Log(failingRate/e.normalRate())
		}
		if e.normalRate() >= failingRate {
			e.dc.recordEjectionWithheld(now, e, out)
		}
		if e.evidence >= t.cfg.FailureThreshold {
			if t.keepsWork(e) {
				e.evidence = t.cfg.FailureThreshold
				e.dc.recordEjectionWithheld(now, e, out)
				return
			}
			e.dc.current.failed = max(e.dc.current.failed-e.failures, 0)
			t.ejectOrPause(now, e, out)
		}
	case Trial:
		t.ejectOrPause(now, e, out)
	case Probation:
		t.handleProbationFailure(now, e, out)
	case Suspect, Ejected:
		// These tasks were sent before the state changed and add no information.
	}
}

// addEvidence performs one step of a cumulative sum (CUSUM) test of failingRate
// against the normal rate of failures.
func (e *entry) addEvidence(failed bool) {
	rate := e.normalRate()
	if failed {
		e.failures++
		e.evidence += math.Log(failingRate / rate)
		return
	}
	e.successes++
	e.evidence += math.Log((1 - failingRate) / (1 - rate))
	if e.evidence <= 0 {
		e.evidence = 0
		e.failures, e.successes = 0, 0
	}
}

// normalRate returns the share of failures at the healthy endpoints of e's data
// centre, without the outcomes that count in e's evidence.
func (e *entry) normalRate() float64 {
	failed := e.dc.current.failed + e.dc.previous.failed + e.dc.reported.failed - e.failures
	finished := e.dc.current.finished + e.dc.previous.finished + e.dc.reported.finished - e.failures - e.successes
	rate := (float64(max(failed, 0)) + minNormalRate*priorOutcomes) / (float64(max(finished, 0)) + priorOutcomes)
	return min(max(rate, minNormalRate), failingRate)
}

func (d *dataCentre) countOutcome(now time.Time, failed int) {
	if now.Sub(d.windowStart) >= rateWindow {
		d.previous, d.current = d.current, outcomeCounts{}
		if now.Sub(d.windowStart) >= 2*rateWindow {
			d.previous = outcomeCounts{}
		}
		d.windowStart = now
	}
	if now.Sub(d.reportedAt) >= 2*rateWindow {
		d.reported = outcomeCounts{}
	}
	d.current.failed += failed
	d.current.finished++
}

// ejectOrPause handles a failure of an endpoint whose evidence is high or that
// is on trial or probation. The endpoint is ejected if other endpoints of its
// data centre have answered meanwhile and the share of ejected endpoints allows
// it. Otherwise it gets no work during a pause and then, unless it is marked
// healthy, one task.
func (t *Tracker) ejectOrPause(now time.Time, e *entry, out *Output) {
	confirmed := e.dc.confirmedByOthers(e)
	if confirmed && t.canEject(e.dc) {
		t.eject(now, e, failing, out)
		return
	}
	if confirmed || e.pauses > 0 {
		e.dc.recordEjectionWithheld(now, e, out)
	}
	pause := t.cfg.SuspectPause << min(e.pauses, maxDoublings)
	e.pauses++
	e.health = Suspect
	e.reason = failing
	e.until = now.Add(min(pause, t.cfg.Backoff))
	t.timed = append(t.timed, e)
	t.updateUsable(e, out)
}

// recordEjectionWithheld emits event.EjectionWithheld, at most once per
// withheldEventInterval.
func (d *dataCentre) recordEjectionWithheld(now time.Time, e *entry, out *Output) {
	if now.Sub(d.lastWithheldEvent) < withheldEventInterval {
		return
	}
	d.lastWithheldEvent = now
	out.Events = append(out.Events, event.Record{
		Kind:    event.EjectionWithheld,
		Subject: e.info.ID,
		Detail:  fmt.Sprintf("ejected so far: %d of %d endpoints of data centre %s", d.ejected, len(d.entries), d.name),
	})
}

// startTrial allows a suspect endpoint one task. If the evidence, recomputed
// with the outcomes of the other endpoints during the pause, is below half of
// Settings.FailureThreshold, it marks the endpoint healthy instead. An endpoint that
// failed on probation has no counted failures to recompute the evidence from.
func (t *Tracker) startTrial(now time.Time, e *entry, out *Output) {
	if e.failures > 0 && e.currentEvidence() < t.cfg.FailureThreshold/2 {
		e.dc.recordEjectionWithheld(now, e, out)
		t.markHealthy(e, out)
		return
	}
	e.health = Trial
	t.updateUsable(e, out)
}

// currentEvidence returns the evidence recomputed with the current normal rate,
// which includes later outcomes of the other endpoints.
func (e *entry) currentEvidence() float64 {
	rate := e.normalRate()
	return float64(e.failures)*math.Log(failingRate/rate) + float64(e.successes)*math.Log((1-failingRate)/(1-rate))
}

// confirmedByOthers reports whether enough other healthy endpoints have answered
// tasks sent after e's first failure. If they have, while e still fails, the
// cause is not on this instance's side.
func (d *dataCentre) confirmedByOthers(e *entry) bool {
	need := minConfirmingEndpoints
	if len(d.entries) < smallDataCentre {
		need = 1
	}
	for _, other := range d.entries {
		if other != e && other.health == Healthy && other.lastAnsweredSend.After(e.firstFailureAt) {
			need--
		}
	}
	return need <= 0
}

func (t *Tracker) canEject(d *dataCentre) bool {
	limit := int(t.cfg.MaxEjectedShare * float64(len(d.entries)))
	return d.ejected < max(limit, 1) && len(d.entries) > 1
}

func (t *Tracker) eject(now time.Time, e *entry, r reason, out *Output) {
	if now.Sub(e.lastEjected) > ejectionResetFactor*t.cfg.MaxBackoff {
		e.ejections = 0
	}
	backoff := min(t.cfg.Backoff<<min(e.ejections, maxDoublings), t.cfg.MaxBackoff)
	random := 1 - backoffJitter + 2*backoffJitter*t.rng.Float64()
	e.until = now.Add(time.Duration(random * float64(backoff)))
	e.ejections++
	e.lastEjected = now
	e.health = Ejected
	e.reason = r
	e.dc.ejected++
	t.timed = append(t.timed, e)
	out.Events = append(out.Events, event.Record{
		Kind:    event.EndpointEjected,
		Subject: e.info.ID,
		Detail:  fmt.Sprintf("%s; tried again after %s", e.reason, e.until.Sub(now).Round(time.Millisecond)),
	})
	t.updateUsable(e, out)
}

func (t *Tracker) startProbation(e *entry, out *Output) {
	e.dc.ejected--
	e.health = Probation
	e.probationSuccesses = 0
	e.logRatios.reset()
	e.resetEvidence()
	out.Events = append(out.Events, event.Record{Kind: event.EndpointProbation, Subject: e.info.ID})
	t.updateUsable(e, out)
}

// handleProbationFailure ejects e again, or pauses it if too many other
// endpoints are ejected by now.
func (t *Tracker) handleProbationFailure(now time.Time, e *entry, out *Output) {
	if t.canEject(e.dc) {
		t.eject(now, e, failing, out)
		return
	}
	t.ejectOrPause(now, e, out)
}

func (t *Tracker) handleProbationSuccess(now time.Time, e *entry, out *Output) {
	e.probationSuccesses++
	if e.probationSuccesses < probationAnswers && !t.shortage {
		return
	}
	if e.logRatios.len() >= probationAnswers && e.logSlowdown() > math.Log(slowOnProbationFactor) {
		e.probationSuccesses = 0
		if t.canEject(e.dc) {
			t.eject(now, e, slow, out)
		}
		return
	}
	out.Events = append(out.Events, event.Record{Kind: event.EndpointReadmitted, Subject: e.info.ID})
	t.markHealthy(e, out)
}

// markHealthy returns e to the healthy state and cancels its pending pause.
func (t *Tracker) markHealthy(e *entry, out *Output) {
	e.health = Healthy
	e.reason = noReason
	e.pauses = 0
	e.resetEvidence()
	t.timed = slices.DeleteFunc(t.timed, func(o *entry) bool { return o == e })
	t.updateUsable(e, out)
}

func (e *entry) resetEvidence() {
	e.evidence = 0
	e.failures, e.successes = 0, 0
}
