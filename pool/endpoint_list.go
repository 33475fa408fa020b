package pool

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
)

// maxLoggedEndpoints is the number of endpoints up to which each one that is
// added to the list has a log line.
const maxLoggedEndpoints = 8

// SetEndpoints sets the platform's list of endpoints.
func (m *Machine) SetEndpoints(now time.Time, infos []endpoint.Info, out *Output) {
	listed := make(map[string]bool, len(infos))
	var added []endpoint.Info
	for _, info := range infos {
		listed[info.ID] = true
		if !m.setEndpoint(now, info, out) {
			added = append(added, info)
		}
	}
	m.observeListedBoots(now, infos, out)
	m.logAdded(now, added, out)
	for _, e := range m.sortedEndpoints {
		if !listed[e.info.ID] && !e.info.Draining {
			e.info.Draining = true
			m.logDraining(now, e, "no longer in the platform's list", out)
		}
	}
	m.forgetUnlisted(now, listed)
	m.sortEndpoints()
	m.closeEvacuated(now)
	m.reassignNeeded = true
	m.advance(now, out)
}

// logAdded logs the endpoints that were added to the list, or only their number
// if there are many.
func (m *Machine) logAdded(now time.Time, added []endpoint.Info, out *Output) {
	if len(added) > maxLoggedEndpoints {
		out.log(event.EndpointAdded, strconv.Itoa(len(added))+" endpoints", "")
		return
	}
	for _, info := range added {
		if m.turnoverOf(info.Service).count(now, false) {
			out.log(event.EndpointAdded, info.ID, info.Service+" at "+info.Address.String())
		}
	}
}

// sortEndpoints computes the sorted lists of the endpoints.
func (m *Machine) sortEndpoints() {
	m.sortedEndpoints = slices.SortedFunc(maps.Values(m.endpoints), compareIDs)
	m.endpointsByDataCentre = map[string][]*endpointState{}
	for _, e := range m.sortedEndpoints {
		m.endpointsByDataCentre[e.info.DataCentre] = append(m.endpointsByDataCentre[e.info.DataCentre], e)
	}
	m.endpointDataCentres = slices.Sorted(maps.Keys(m.endpointsByDataCentre))
}

// setEndpoint updates a known endpoint or adds a new one. It reports whether it
// was known.
func (m *Machine) setEndpoint(now time.Time, info endpoint.Info, out *Output) (known bool) {
	e, ok := m.endpoints[info.ID]
	if !ok {
		e = newEndpointState(info)
		e.unguarded = slices.Contains(m.unguarded, info.Service)
		e.applyListed(now, info)
		m.endpoints[info.ID] = e
		return false
	}
	if info.Draining && !e.info.Draining {
		m.logDraining(now, e, "the platform's list says so", out)
	}
	if startedLater(e.info.StartedAt, info.StartedAt) {
		info.Address = e.info.Address // the entry is from an earlier boot
	}
	restarted := startedLater(info.StartedAt, e.info.StartedAt)
	moved := info.Address != e.info.Address
	switch {
	case restarted && (moved || len(e.runs) == 0):
		e.logListedChange("the list says that it restarted", out)
		m.releaseEnded(now, e, out)
	case moved && !restarted && (info.StartedAt.IsZero() || e.info.StartedAt.IsZero()):
		e.logListedChange("the list has another address for it", out)
		m.releaseUnconfirmed(now, e, out)
	}
	previousBoot := e.info.StartedAt
	e.setInfo(now, info)
	if !moved {
		e.info.StartedAt = previousBoot // kept, so that the next poll reply reveals the restart and which runs remain
	}
	e.applyListed(now, info)
	e.info.Draining = e.info.Draining || e.lifetime.draining
	return true
}

// startedLater reports whether both boot times are known and a is after b.
func startedLater(a, b time.Time) bool { return !a.IsZero() && !b.IsZero() && a.After(b) }

func compareIDs(a, b *endpointState) int { return cmp.Compare(a.info.ID, b.info.ID) }

// forgetUnlisted removes the endpoints that are neither listed nor running
// anything.
func (m *Machine) forgetUnlisted(now time.Time, listed map[string]bool) {
	for _, e := range m.sortedEndpoints {
		if listed[e.info.ID] || len(e.runs) > 0 || e.polling {
			continue
		}
		m.releaseEndpoint(now, e)
		delete(m.endpoints, e.info.ID)
		m.forgetProfile(e.info.ID)
	}
}
