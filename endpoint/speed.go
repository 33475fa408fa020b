package endpoint

import (
	"fmt"
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// slowFactor is how many times slower than the endpoints of its data centre
	// an endpoint with a full window must be to be ejected. verySlowFactor
	// applies to a window that is at least half full.
	slowFactor     = 4.0
	verySlowFactor = 8.0
	// slowOnProbationFactor is the corresponding factor at the end of a
	// probation.
	slowOnProbationFactor = 3.0
	// minEndpointSamples is the least number of samples from which an endpoint
	// can get fewer tasks because it looks slow.
	minEndpointSamples = 8
	// minDataCentreSamples is the least number of samples of the data centre
	// that a comparison needs.
	minDataCentreSamples = 64
	// maxRackDeviation is the difference between the log ratios of an endpoint
	// and its rack above which the rack is ignored.
	maxRackDeviation = 0.7
	// warmupSamples is the number of samples of a data centre that are skipped
	// after the start. The first answers come from the shortest tasks, so the
	// expected run times are too low at first.
	warmupSamples = 1024
	// sampleTTL is the gap between samples after which an endpoint's earlier
	// samples are dropped. reportTTL is how long a peer's report counts.
	sampleTTL = time.Minute
	reportTTL = 30 * time.Second
	// maxReports bounds the number of instances whose reports a rack keeps.
	maxReports = 64
	// maxReportSamples bounds the weight of one report, in samples.
	maxReportSamples = rackSamples
	// minSpeed and maxSpeed bound an endpoint's estimated speed.
	minSpeed = 0.05
	maxSpeed = 1.25
	// capacityLostSpeed and capacityRegainedSpeed are the speeds of a rack at
	// which a loss of capacity is announced and revoked. The gap between them
	// is hysteresis. minCapacitySamples is the least number of samples that
	// this needs.
	capacityLostSpeed     = 0.75
	capacityRegainedSpeed = 0.9
	minCapacitySamples    = 128
	// capacityChangeDelay is how long the speed must stay past the threshold
	// before that is announced.
	capacityChangeDelay = 5 * time.Second
)

// updateSpeed adds logRatio, the logarithm of expected over observed run time, to
// the samples and updates e's speed.
func (t *Tracker) updateSpeed(now time.Time, e *entry, logRatio float64, out *Output) {
	if e.dc.skippedSamples < warmupSamples {
		e.dc.skippedSamples++
		return
	}
	if now.Sub(e.lastSample) > sampleTTL {
		e.logRatios.reset()
	}
	e.lastSample = now
	e.logRatios.add(float32(logRatio))
	if e.health == Healthy {
		e.rack.logRatios.add(float32(logRatio))
		e.dc.logRatios.add(float32(logRatio))
	}
	rackLogRatio, samples := e.rack.logRatio(now)
	e.speed = estimateSpeed(e.logRatios.median(), e.logRatios.len(), rackLogRatio, samples)
	t.checkRackCapacity(now, e.rack, rackLogRatio, samples, out)
}

// estimateSpeed returns the speed estimated from the median of the endpoint's n
// own log ratios, with its rack's log ratio, of rackN samples, as the prior.
func estimateSpeed(own float64, n int, rackLogRatio float64, rackN int) float64 {
	priorSamples := min(rackN, endpointSamples)
	if n >= endpointSamples/2 && math.Abs(own-rackLogRatio) > maxRackDeviation {
		priorSamples = 0
	}
	if n+priorSamples == 0 {
		return 1
	}
	logRatio := (float64(n)*own + float64(priorSamples)*rackLogRatio) / float64(n+priorSamples)
	return min(max(math.Exp(logRatio), minSpeed), maxSpeed)
}

// logRatio returns the rack's log ratio and the number of samples behind it. The
// log ratio is the average, weighted by samples, of this instance's median and
// the reports of peers.
func (r *rack) logRatio(now time.Time) (logRatio float64, samples int) {
	samples = r.logRatios.len()
	sum := float64(samples) * r.logRatios.median()
	for _, p := range r.reports {
		if now.Sub(p.at) <= reportTTL {
			samples += p.samples
			sum += float64(p.samples) * p.logRatio
		}
	}
	if samples == 0 {
		return 0, 0
	}
	return sum / float64(samples), samples
}

// checkRackCapacity emits an event when a rack has lost or regained capacity
// for at least capacityChangeDelay.
func (t *Tracker) checkRackCapacity(now time.Time, r *rack, logRatio float64, samples int, out *Output) {
	if samples < minCapacitySamples {
		return
	}
	speed := math.Exp(logRatio)
	crossed := !r.capacityLost && speed < capacityLostSpeed || r.capacityLost && speed > capacityRegainedSpeed
	switch {
	case !crossed:
		r.crossedAt = time.Time{}
		return
	case r.crossedAt.IsZero():
		r.crossedAt = now
	}
	if now.Sub(r.crossedAt) < capacityChangeDelay {
		return
	}
	r.crossedAt = time.Time{}
	r.capacityLost = !r.capacityLost
	kind := event.CapacityRegained
	if r.capacityLost {
		kind = event.CapacityLost
	}
	out.Events = append(out.Events, event.Record{
		Kind:    kind,
		Subject: r.name,
		Detail:  fmt.Sprintf("speed %.2f of normal", speed),
	})
}

func (t *Tracker) handleRackSignal(now time.Time, from instance.Ref, s message.Signal, out *Output) {
	if s.Speed <= 0 || s.Samples <= 0 || math.IsInf(s.Speed, 0) || math.IsNaN(s.Speed) {
		return
	}
	r := t.findRack(from.DataCentre, s.Rack)
	if r == nil {
		return
	}
	p := report{from: from, at: now, logRatio: math.Log(s.Speed), samples: min(s.Samples, maxReportSamples)}
	r.storeReport(p)
	logRatio, samples := r.logRatio(now)
	t.checkRackCapacity(now, r, logRatio, samples, out)
	for _, e := range t.dataCentre(from.DataCentre).entries {
		if e.rack == r {
			e.speed = estimateSpeed(e.logRatios.median(), e.logRatios.len(), logRatio, samples)
			t.updateUsable(e, out)
		}
	}
}

func (t *Tracker) findRack(dataCentre, name string) *rack {
	for _, dc := range t.dcs {
		if dc.name != dataCentre {
			continue
		}
		for _, r := range dc.racks {
			if r.name == name {
				return r
			}
		}
	}
	return nil
}

// storeReport replaces the sender's earlier report, or the oldest report if the
// rack already keeps maxReports.
func (r *rack) storeReport(p report) {
	oldest := 0
	for i := range r.reports {
		if r.reports[i].from.ID == p.from.ID {
			r.reports[i] = p
			return
		}
		if r.reports[i].at.Before(r.reports[oldest].at) {
			oldest = i
		}
	}
	if len(r.reports) < maxReports {
		r.reports = append(r.reports, p)
		return
	}
	r.reports[oldest] = p
}

// logSlowdown returns the logarithm of how many times slower e is than the
// endpoints of its data centre.
func (e *entry) logSlowdown() float64 { return e.dc.logRatios.median() - e.logRatios.median() }

// checkSpeed ejects e if it is far slower than the endpoints of its data centre.
// If too many endpoints are ejected, e keeps working with fewer tasks at once.
func (t *Tracker) checkSpeed(now time.Time, e *entry, out *Output) {
	n := e.logRatios.len()
	if n < endpointSamples/2 || e.dc.logRatios.len() < minDataCentreSamples {
		return
	}
	factor := verySlowFactor
	if n == endpointSamples {
		factor = slowFactor
	}
	if e.logSlowdown() <= math.Log(factor) {
		return
	}
	if t.canEject(e.dc) {
		t.eject(now, e, slow, out)
		return
	}
	e.dc.recordEjectionWithheld(now, e, out)
}

// mayBeSlow reports whether e looks slow enough to get fewer tasks.
func (e *entry) mayBeSlow() bool {
	return e.logRatios.len() >= minEndpointSamples && e.dc.logRatios.len() >= minDataCentreSamples && e.logSlowdown() > math.Log(slowFactor)
}
