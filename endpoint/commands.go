package endpoint

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// Update handles a new version of the platform's list of endpoints. The list
// may lag, so an endpoint's own report takes precedence over it. Update ignores
// an empty list while endpoints are known, since a fault of the platform is the
// more likely cause.
func (t *Tracker) Update(now time.Time, list []Info, out *Output) {
	if len(list) == 0 && len(t.all) > 0 {
		return
	}
	for _, e := range t.all {
		e.listed = false
	}
	for _, info := range list {
		t.upsert(now, info, out)
	}
	for _, e := range t.all {
		if !e.listed {
			t.updateUsable(e, out)
		}
	}
	t.removeUnlisted()
}

func (t *Tracker) upsert(now time.Time, info Info, out *Output) {
	e, ok := t.byID[info.ID]
	if ok && (e.info.Address != info.Address || e.info.DataCentre != info.DataCentre) {
		t.remove(e)
		ok = false
	}
	if !ok {
		e = t.add(info)
		out.Events = append(out.Events, event.Record{Kind: event.EndpointAdded, Subject: info.ID})
	}
	wasDraining := e.draining()
	e.listed = true
	if e.info.Rack != info.Rack {
		e.rack = e.dc.rack(info.Rack)
	}
	e.info = info
	if !info.Draining && now.Sub(e.selfDrainingAt) > t.cfg.ListLag {
		e.selfDrainingAt = time.Time{}
	}
	if !info.Draining && now.Sub(e.peerDrainingAt) > t.cfg.ListLag {
		e.peerDrainingAt = time.Time{}
	}
	t.recordDraining(e, wasDraining, "listed as draining by the platform", out)
	t.updateUsable(e, out)
}

// recordDraining emits an event if e has started to drain.
func (t *Tracker) recordDraining(e *entry, wasDraining bool, detail string, out *Output) {
	if !wasDraining && e.draining() {
		out.Events = append(out.Events, event.Record{Kind: event.EndpointDraining, Subject: e.info.ID, Detail: detail})
	}
}

// Sent records that a task was sent to the endpoint.
func (t *Tracker) Sent(_ time.Time, id string) {
	if e, ok := t.byID[id]; ok {
		e.inFlight++
	}
}

// Finished handles the outcome of a task that was sent to the endpoint. runTime
// is the observed run time. expected is the median run time at speed 1; zero if
// it is not known. load is zero if the endpoint sent no reply.
func (t *Tracker) Finished(now time.Time, id string, outcome Outcome, runTime, expected time.Duration, load Load, out *Output) {
	e, ok := t.byID[id]
	if !ok {
		return
	}
	t.recordTaskEnd(now, e, load, out)
	if outcome == Answered && runTime > 0 && expected > 0 {
		t.updateSpeed(now, e, math.Log(float64(expected)/float64(runTime)), out)
	}
	switch {
	case outcome == Answered:
		t.handleSuccess(now, e, runTime, out)
	case outcome == Refused && (load.Running > 0 || load.Draining):
		// The endpoint is full or draining, which is no sign of bad health.
	default:
		t.handleFailure(now, e, out)
	}
	t.updateAfterTaskEnd(e, out)
}

// Stopped records that a task ended because this side stopped it. Stops do not
// count for or against the endpoint's health.
func (t *Tracker) Stopped(now time.Time, id string, load Load, out *Output) {
	e, ok := t.byID[id]
	if !ok {
		return
	}
	t.recordTaskEnd(now, e, load, out)
	t.updateAfterTaskEnd(e, out)
}

// recordTaskEnd records that a task that this instance sent has ended, and that
// the endpoint is draining if its load says so.
func (t *Tracker) recordTaskEnd(now time.Time, e *entry, load Load, out *Output) {
	e.inFlight = max(e.inFlight-1, 0)
	if load.Draining {
		wasDraining := e.draining()
		e.selfDrainingAt = now
		t.recordDraining(e, wasDraining, "reported by the endpoint", out)
	}
}

// updateAfterTaskEnd updates e's usable slots after a task has ended, and removes
// e if it is unlisted and this instance has no more tasks there.
func (t *Tracker) updateAfterTaskEnd(e *entry, out *Output) {
	t.updateUsable(e, out)
	if !e.listed && e.inFlight == 0 {
		t.removeUnlisted()
	}
}

// HandleSignals handles the signals of another instance of the same data
// centre.
func (t *Tracker) HandleSignals(now time.Time, from instance.Ref, signals []message.Signal, out *Output) {
	for _, s := range signals {
		if s.Endpoint == "" {
			t.handleRackSignal(now, from, s, out)
			continue
		}
		e, ok := t.byID[s.Endpoint]
		if !ok {
			continue
		}
		if s.Draining && e.selfDrainingAt.IsZero() {
			wasDraining := e.draining()
			e.peerDrainingAt = now
			t.recordDraining(e, wasDraining, "instance "+from.ID+" reported it", out)
		}
		if s.Ejected && e.health == Healthy {
			e.peerEjectedUntil = now.Add(peerEjectionTTL)
		}
		t.updateUsable(e, out)
	}
}

// Tick ends the pauses of suspect endpoints and the ejections that are due.
func (t *Tracker) Tick(now time.Time, out *Output) {
	var due []*entry
	later := t.timed[:0]
	for _, e := range t.timed {
		if e.until.After(now) {
			later = append(later, e)
		} else {
			due = append(due, e)
		}
	}
	clear(t.timed[len(later):])
	t.timed = later
	for _, e := range due {
		if e.health == Ejected {
			t.startProbation(e, out)
		} else {
			t.startTrial(now, e, out)
		}
	}
}

func (t *Tracker) add(info Info) *entry {
	dc := t.dataCentre(info.DataCentre)
	e := &entry{
		info:      info,
		dc:        dc,
		rack:      dc.rack(info.Rack),
		listed:    true,
		logRatios: newWindow(endpointSamples),
		speed:     1,
	}
	t.byID[info.ID] = e
	t.all = insertByID(t.all, e)
	dc.entries = insertByID(dc.entries, e)
	return e
}

func insertByID(entries []*entry, e *entry) []*entry {
	i, _ := slices.BinarySearchFunc(entries, e, func(a, b *entry) int {
		return strings.Compare(a.info.ID, b.info.ID)
	})
	return slices.Insert(entries, i, e)
}

// removeUnlisted removes the endpoints that are no longer listed and run no task
// of this instance.
func (t *Tracker) removeUnlisted() {
	for _, e := range slices.Clone(t.all) {
		if !e.listed && e.inFlight == 0 {
			t.remove(e)
		}
	}
}

func (t *Tracker) remove(e *entry) {
	matches := func(other *entry) bool { return other == e }
	if e.health == Ejected {
		e.dc.ejected--
	}
	delete(t.byID, e.info.ID)
	t.all = slices.DeleteFunc(t.all, matches)
	t.timed = slices.DeleteFunc(t.timed, matches)
	e.dc.entries = slices.DeleteFunc(e.dc.entries, matches)
	e.dc.racks = slices.DeleteFunc(e.dc.racks, func(r *rack) bool {
		return r == e.rack && !slices.ContainsFunc(e.dc.entries, func(o *entry) bool { return o.rack == r })
	})
}

func (t *Tracker) dataCentre(name string) *dataCentre {
	for _, dc := range t.dcs {
		if dc.name == name {
			return dc
		}
	}
	dc := &dataCentre{name: name, logRatios: newWindow(dataCentreSamples)}
	t.dcs = append(t.dcs, dc)
	return dc
}

func (d *dataCentre) rack(name string) *rack {
	for _, r := range d.racks {
		if r.name == name {
			return r
		}
	}
	r := &rack{name: name, logRatios: newWindow(rackSamples)}
	d.racks = append(d.racks, r)
	return r
}
