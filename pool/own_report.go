package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/capacity"
	"github.com/lovagecrank/lovagecrank/message"
)

// ownReportTime is how long the own reports are kept, to tell what has changed
// here since a view was made.
const ownReportTime = capacity.MaxViewAge

// The ways of reports: with the free slots, to the mergers alone, or to this
// instance as the merger.
const (
	withFreeSlots reportWay = iota
	toMergers
	mergedHere
)

type (
	// ownReport is a report of this instance and by which way a merger has it.
	ownReport struct {
		at         time.Time
		way        reportWay
		capacities []message.Capacity
	}

	reportWay uint8
)

// recordOwnReport keeps a report that was sent or merged now.
func (m *Machine) recordOwnReport(now time.Time, way reportWay, capacities []message.Capacity) {
	own := m.views.own
	for len(own) > 1 && now.Sub(own[0].at) > ownReportTime {
		own = own[1:]
	}
	m.views.own = append(own, ownReport{now, way, capacities})
}

// ownReportIn returns the own report that is included in a view of the local data
// centre. If none of that way is known any more, nothing had changed for long, and
// the last one of another way is as good.
func (m *Machine) ownReportIn(v capacity.View) (ownReport, bool) {
	way := toMergers
	switch {
	case v.Merger == m.cfg.Self.Ref:
		way = mergedHere
	case slices.ContainsFunc(m.freeSlots.recipients, func(p *peer) bool { return p.info.Ref == v.Merger }):
		way = withFreeSlots
	}
	found, ok := ownReport{}, false
	for _, r := range slices.Backward(m.views.own) {
		switch {
		case r.at.After(v.MadeAt):
		case r.way == way:
			return r, true
		case !ok:
			found, ok = r, true
		}
	}
	return found, ok
}
