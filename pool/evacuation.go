package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// evacuationWait is how long a new instance waits to hear which data centres
	// are evacuated: a read of the store that is lost, and another one. After that
	// it can only be that the store is down and all peers run a release without
	// evacuations.
	evacuationWait = 3 * time.Second
	// evacuatedRetryAfter is the shortest retry delay of a caller whose job only
	// evacuated endpoints could run. An evacuation takes longer than a peak.
	evacuatedRetryAfter = 3 * time.Second
)

// evacuations are the data centres whose endpoints get no work at an operator's
// request, as far as one instance knows.
type evacuations struct {
	// inForce is the set with the highest version of all that a read of the store
	// or a peer has shown.
	inForce message.Evacuations
	// awaitedUntil is until when the endpoints get no work because nothing is
	// known; zero if they do not wait.
	awaitedUntil time.Time
	// unsent reports that the set has changed since it was last sent to all peers.
	unsent bool
}

// adopt replaces the set in force by one of a higher version. It reports whether
// the set, or whether it is known, has changed.
func (v *evacuations) adopt(e message.Evacuations) (changed bool) {
	if e.Version <= v.inForce.Version {
		return false
	}
	first := v.inForce.Version == 0
	dataCentres := slices.DeleteFunc(slices.Clone(e.DataCentres), func(dc string) bool { return dc == "" })
	slices.Sort(dataCentres)
	dataCentres = slices.Compact(dataCentres)
	changed = first || !slices.Equal(dataCentres, v.inForce.DataCentres)
	v.inForce = message.Evacuations{Version: e.Version, DataCentres: dataCentres}
	v.awaitedUntil = time.Time{}
	v.unsent = v.unsent || changed
	return changed
}

// contains reports whether the data centre is evacuated.
func (v *evacuations) contains(dataCentre string) bool {
	return slices.Contains(v.inForce.DataCentres, dataCentre)
}

// closes reports whether the endpoints of the data centre get no work, because it
// is evacuated or may be.
func (v *evacuations) closes(dataCentre string) bool {
	return !v.awaitedUntil.IsZero() || v.contains(dataCentre)
}

// SetEvacuations sets the evacuations that a read of the store has shown. Those of
// a version that is not higher than that of the known ones change nothing.
func (m *Machine) SetEvacuations(now time.Time, e message.Evacuations, out *Output) {
	m.adoptEvacuations(now, e, "the store", out)
	m.advance(now, out)
}

// handlePeerEvacuations adopts the evacuations of a peer if they are newer, and
// sends it the status if it has an older set that differs. It may have sent its
// own after a change that this instance has read together with the next one.
func (m *Machine) handlePeerEvacuations(now time.Time, p *peer, e message.Evacuations, out *Output) {
	if e.Version == 0 {
		return // nothing known, or a release without evacuations
	}
	if e.Version < m.evacuations.inForce.Version && !slices.Equal(e.DataCentres, m.evacuations.inForce.DataCentres) {
		m.status.newPeers = append(m.status.newPeers, p.info.Ref)
		return
	}
	m.adoptEvacuations(now, e, "peer "+p.info.ID, out)
}

// adoptEvacuations puts a newer set of evacuations into force and passes it on.
// The source is for the log.
func (m *Machine) adoptEvacuations(now time.Time, e message.Evacuations, source string, out *Output) {
	before := m.evacuations.inForce.DataCentres
	if !m.evacuations.adopt(e) {
		return
	}
	m.status.changed = true
	m.closeEvacuated(now)
	m.logEvacuations(before, source, out)
	m.refuseUnservable(now, out)
}

// closeEvacuated marks the endpoints and the peers that get no work, and withdraws
// the offers of such endpoints.
func (m *Machine) closeEvacuated(now time.Time) {
	for _, e := range m.sortedEndpoints {
		e.closed = m.evacuations.closes(e.info.DataCentre)
	}
	for p := range m.knownPeers() {
		m.updatePeerClosed(p)
	}
	for _, number := range m.offerNumbers() {
		if m.offers[number].endpoint.closed {
			m.removeOffer(now, number, offerExpired)
		}
	}
}

// updatePeerClosed records whether a peer holds endpoints, all of them in
// evacuated data centres, so that its slots do not count even if it does not know.
func (m *Machine) updatePeerClosed(p *peer) {
	p.closed = len(p.holds) > 0 && len(m.evacuations.inForce.DataCentres) > 0
	for id := range p.holds {
		dataCentre := p.info.DataCentre
		if e := m.endpoints[id]; e != nil {
			dataCentre = e.info.DataCentre
		}
		p.closed = p.closed && m.evacuations.contains(dataCentre)
	}
}

// expireEvacuationWait lets the endpoints get work though nobody has told which
// data centres are evacuated.
func (m *Machine) expireEvacuationWait(now time.Time, out *Output) {
	if v := &m.evacuations; !v.awaitedUntil.IsZero() && !now.Before(v.awaitedUntil) {
		v.awaitedUntil = time.Time{}
		m.closeEvacuated(now)
		out.log(event.EvacuationsUnknown, m.cfg.Self.ID, fmt.Sprintf("neither the store nor a peer has told them for %s", evacuationWait))
	}
}

// logEvacuations logs which data centres are and are no longer evacuated, and what
// that takes away or gives back here.
func (m *Machine) logEvacuations(before []string, source string, out *Output) {
	after := m.evacuations.inForce
	for _, dc := range after.DataCentres {
		if !slices.Contains(before, dc) {
			out.log(event.EvacuationInForce, dc, m.describeEvacuation(dc, source))
		}
	}
	for _, dc := range before {
		if !slices.Contains(after.DataCentres, dc) {
			out.log(event.EvacuationLifted, dc, m.describeEvacuation(dc, source))
		}
	}
}

func (m *Machine) describeEvacuation(dataCentre, source string) string {
	held, runs := 0, 0
	for _, e := range m.held {
		if e.info.DataCentre == dataCentre {
			held++
			runs += len(e.runs)
		}
	}
	return fmt.Sprintf("from %s, version %d: %d endpoints, %d of them held here with %d runs", source, m.evacuations.inForce.Version, len(m.endpointsByDataCentre[dataCentre]), held, runs)
}

// refuseUnservable answers the waiting jobs of which no task can have started and
// that only evacuated endpoints could run.
func (m *Machine) refuseUnservable(now time.Time, out *Output) {
	for _, j := range slices.Clone(m.queue) {
		if f := m.evacuatedFault(now, j); f != nil && !j.mayHaveStarted() {
			m.endJob(now, j, f, out)
		}
	}
}

// evacuatedFault returns the refusal of a job that only evacuated endpoints could
// run, or nil.
func (m *Machine) evacuatedFault(now time.Time, j *homeJob) *fault.Error {
	if len(m.evacuations.inForce.DataCentres) == 0 {
		return nil
	}
	evacuated := false
	for _, e := range m.sortedEndpoints {
		if e.info.Service != j.Queue.Service || e.info.Draining || !e.canHold(j.Steps) {
			continue
		}
		if !m.evacuations.contains(e.info.DataCentre) {
			return nil
		}
		evacuated = true
	}
	if !evacuated {
		return nil
	}
	return fault.New(fault.EndpointsUnavailable, "all endpoints of service %s that could run it are in evacuated data centres: %s", j.Queue.Service, strings.Join(m.evacuations.inForce.DataCentres, ", ")).WithRetryAfter(evacuatedRetryAfter + m.retryAfter(now, j, admission.Load{}))
}
