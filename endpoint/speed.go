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
	// slowFactor is how many times slower than its peers an endpoint with a
	// full window must be to be ejected. verySlowFactor applies to a window
	// that is at least half full.
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
	// warmupRatios is the number of ratios of a data centre that are skipped
	// after the start. The first answers come from the shortest tasks, so the
	// expected run times are too low at first.
	warmupRatios = 1024
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

// updateSpeed adds a sample, the logarithm of expected over observed run time,
// and updates e's speed.
func (t *Tracker) updateSpeed(now time.Time, e *entry, ratio float64, out *Output) {
	if e.dc.skippedRatios < warmupRatios {
		e.dc.skippedRatios++
		return
	}
	if now.Sub(e.lastSample) > sampleTTL {
		e.ratios.reset()
	}
	e.lastSample = now
	e.ratios.add(float32(ratio))
	if e.health == Healthy {
		e.rack.ratios.add(float32(ratio))
		e.dc.ratios.add(float32(ratio))
	}
	rackRatio, samples := e.rack.ratio(now)
	e.speed = blend(e.ratios.median(), e.ratios.len(), rackRatio, samples)
	t.checkRackCapacity(now, e.rack, rackRatio, samples, out)
}

// blend returns the estimated speed, which combines the median of the
// endpoint's n own samples with its rack's ratio as the prior.
func blend(own float64, n int, rackRatio float64, rackSamples int) float64 {
	prior := min(rackSamples, endpointSamples)
	if n >= endpointSamples/2 && math.Abs(own-rackRatio) > maxRackDeviation {
		prior = 0
	}
	if n+prior == 0 {
		return 1
	}
	ratio := (float64(n)*own + float64(prior)*rackRatio) / float64(n+prior)
	return min(max(math.Exp(ratio), minSpeed), maxSpeed)
}

// ratio returns the rack's log ratio and the number of samples behind it. The
// ratio is the average, weighted by samples, of this instance's median and the
// reports of peers.
func (r *rack) ratio(now time.Time) (ratio float64, samples int) {
	samples = r.ratios.len()
	sum := float64(samples) * r.ratios.median()
	for _, p := range r.reports {
		if now.Sub(p.at) <= reportTTL {
			samples += p.samples
			sum += float64(p.samples) * p.ratio
		}
	}
	if samples == 0 {
		return 0, 0
	}
	return sum / float64(samples), samples
}

// checkRackCapacity emits an event when a rack has lost or regained capacity
// for at least capacityChangeDelay.
func (t *Tracker) checkRackCapacity(now time.Time, r *rack, ratio float64, samples int, out *Output) {
	if samples < minCapacitySamples {
		return
	}
	speed := math.Exp(ratio)
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
	p := report{from: from, at: now, ratio: math.Log(s.Speed), samples: min(s.Samples, maxReportSamples)}
	r.storeReport(p)
	ratio, samples := r.ratio(now)
	t.checkRackCapacity(now, r, ratio, samples, out)
	for _, e := range t.dataCentre(from.DataCentre).entries {
		if e.rack == r {
			e.speed = blend(e.ratios.median(), e.ratios.len(), ratio, samples)
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
func (e *entry) logSlowdown() float64 { return e.dc.ratios.median() - e.ratios.median() }

// checkSpeed ejects e if it is far slower than its peers. If too many endpoints
// are ejected, e keeps working with fewer tasks at once.
func (t *Tracker) checkSpeed(now time.Time, e *entry, out *Output) {
	n := e.ratios.len()
	if n < endpointSamples/2 || e.dc.ratios.len() < minDataCentreSamples {
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
	e.dc.recordWithheld(now, e, out)
}

// mayBeSlow reports whether e looks slow enough to get fewer tasks.
func (e *entry) mayBeSlow() bool {
	return e.ratios.len() >= minEndpointSamples && e.dc.ratios.len() >= minDataCentreSamples && e.logSlowdown() > math.Log(slowFactor)
}
