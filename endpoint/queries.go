package endpoint

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// maxSignals bounds the signals of one heartbeat.
	maxSignals = 32
	// racksPerHeartbeat is the number of racks that one heartbeat reports.
	// Every rackRotationPeriod, heartbeats move on to the next racks.
	racksPerHeartbeat  = 4
	rackRotationPeriod = 400 * time.Millisecond
	// minReportedSamples is the least number of samples for which a rack is
	// reported.
	minReportedSamples = 16
)

// Status is the state of one endpoint as shown to operators.
type Status struct {
	Info   Info
	Health Health
	// Reason is why the endpoint was last paused or ejected: "failing" or
	// "slow"; empty if it is healthy.
	Reason string
	// Until is when the pause of a suspect endpoint or the ejection of an
	// ejected one ends; zero otherwise.
	Until time.Time
	// Ejections is the number of recent ejections.
	Ejections int
	// Speed is the ratio of observed to expected speed.
	Speed float64
	// Usable is the number of tasks that the endpoint may run concurrently for
	// all instances together.
	Usable int
	// InFlight is the number of this instance's tasks that were sent to the
	// endpoint and have not ended.
	InFlight int
	// Draining means that the endpoint gets no new work.
	Draining bool
}

// Usable returns how many tasks the endpoint may run concurrently for all
// instances together: 0 if it is suspect, ejected, draining, unlisted or
// unknown, at most 1 while it is on trial or probation, and fewer than its
// slots while there is evidence against it. An endpoint slowed down by heat
// keeps its slots, because each of its tasks already takes longer.
func (t *Tracker) Usable(_ time.Time, id string) int {
	if e, ok := t.byID[id]; ok {
		return e.usable
	}
	return 0
}

// Speed returns the endpoint's estimated speed relative to the expected speed;
// 1 is normal.
func (t *Tracker) Speed(id string) float64 {
	if e, ok := t.byID[id]; ok {
		return e.speed
	}
	return 1
}

// Next returns when Tick must be called next, or the zero time if no pause or
// ejection is pending.
func (t *Tracker) Next() time.Time {
	var next time.Time
	for _, e := range t.timed {
		if next.IsZero() || e.until.Before(next) {
			next = e.until
		}
	}
	return next
}

// Signals returns the reports for the other instances of this data centre: the
// endpoints that reported to this instance that they are draining, the ejected
// ones, and the speeds of a few racks. The racks rotate over time.
func (t *Tracker) Signals(now time.Time) []message.Signal {
	var signals []message.Signal
	for _, dc := range t.dcs {
		if dc.name != t.cfg.DataCentre {
			continue
		}
		signals = dc.endpointSignals(signals)
		signals = signals[:min(len(signals), maxSignals-racksPerHeartbeat)]
		signals = dc.rackSignals(now, signals)
	}
	return signals
}

func (d *dataCentre) endpointSignals(signals []message.Signal) []message.Signal {
	for _, e := range d.entries {
		draining := !e.selfDrainingAt.IsZero()
		if !draining && e.health != Ejected {
			continue
		}
		signals = append(signals, message.Signal{
			Endpoint: e.info.ID,
			Speed:    e.speed,
			Samples:  e.logRatios.len(),
			Ejected:  e.health == Ejected,
			Draining: draining,
		})
	}
	return signals
}

// rackSignals appends the speeds of the racks whose turn it is. The speeds come
// from this instance's own samples, not from the reports of peers. Normal speeds
// are sent too, since abnormal ones alone would bias the receivers.
func (d *dataCentre) rackSignals(now time.Time, signals []message.Signal) []message.Signal {
	first := int(now.UnixMilli()/rackRotationPeriod.Milliseconds()) * racksPerHeartbeat
	for i := range min(racksPerHeartbeat, len(d.racks)) {
		r := d.racks[(first+i)%len(d.racks)]
		if r.logRatios.len() < minReportedSamples {
			continue
		}
		signals = append(signals, message.Signal{Rack: r.name, Speed: math.Exp(r.logRatios.median()), Samples: r.logRatios.len()})
	}
	return signals
}

// Endpoints returns the known endpoints in the order of their IDs.
func (t *Tracker) Endpoints() []Status {
	list := make([]Status, 0, len(t.all))
	for _, e := range t.all {
		s := Status{
			Info:      e.info,
			Health:    e.health,
			Reason:    e.reason.String(),
			Ejections: e.ejections,
			Speed:     e.speed,
			Usable:    e.usable,
			InFlight:  e.inFlight,
			Draining:  e.draining(),
		}
		if e.health == Suspect || e.health == Ejected {
			s.Until = e.until
		}
		list = append(list, s)
	}
	return list
}

func (e *entry) draining() bool {
	return e.info.Draining || !e.selfDrainingAt.IsZero() || !e.peerDrainingAt.IsZero()
}

// updateUsable recomputes e's usable slots and records a change in out.
func (t *Tracker) updateUsable(e *entry, out *Output) {
	usable := t.usableSlots(e)
	if usable == e.usable {
		return
	}
	e.usable = usable
	out.Changed = append(out.Changed, e.info.ID)
}

func (t *Tracker) usableSlots(e *entry) int {
	if e.draining() || !e.listed {
		return 0
	}
	switch e.health {
	case Suspect, Ejected:
		return 0
	case Trial, Probation:
		return min(1, e.info.Slots)
	case Healthy:
	}
	return t.slotLimit(e)
}

// slotLimit returns how many tasks a healthy e may run concurrently. The limit
// falls as the evidence that e fails or is slow grows. It is 1 from a peer's
// ejection of e until e answers.
func (t *Tracker) slotLimit(e *entry) int {
	slots := e.info.Slots
	switch {
	case !e.peerEjectedUntil.IsZero() || e.evidence >= 0.75*t.cfg.FailureThreshold:
		slots = min(slots, 1)
	case e.evidence >= 0.5*t.cfg.FailureThreshold:
		slots = min(slots, 2)
	case e.evidence >= 0.35*t.cfg.FailureThreshold:
		slots = min(slots, 4)
	}
	if e.mayBeSlow() {
		slots = min(slots, 2)
	}
	return slots
}
