package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

const (
	// turnoverPause is how long no endpoint of a service must drain or be new before
	// the next ones have lines of their own again.
	turnoverPause = 5 * time.Second
	// firstSummary and summaryPeriod are the times after which the endpoints without
	// a line of their own are summed up, first and then again.
	firstSummary  = 500 * time.Millisecond
	summaryPeriod = 5 * time.Second
)

// turnover counts the endpoints of a service that drain and are new while they are
// replaced, so that a rack or a service that is replaced one by one is logged as one
// event.
type turnover struct {
	// lastChange is when an endpoint last drained or was new, and summaryAt when the
	// next summary is due.
	lastChange, summaryAt time.Time
	// draining and added are the numbers since the first of these endpoints, and
	// summedUp how many of all of them have a line or are in a summary.
	draining, added, summedUp int
}

// count counts an endpoint as draining, or else as new, and reports whether it gets a
// line of its own.
func (t *turnover) count(now time.Time, draining bool) (logged bool) {
	if now.Sub(t.lastChange) > turnoverPause && t.draining+t.added == t.summedUp {
		*t = turnover{}
	}
	t.lastChange = now
	n := &t.added
	if draining {
		n = &t.draining
	}
	*n++
	if *n <= maxLoggedEndpoints && t.summaryAt.IsZero() {
		t.summedUp++
		return true
	}
	if t.summaryAt.IsZero() {
		t.summaryAt = now.Add(firstSummary)
	}
	return false
}

// summaryDue reports whether endpoints without a line are to be summed up now.
func (t *turnover) summaryDue(now time.Time) bool {
	if t.draining+t.added == t.summedUp || now.Before(t.summaryAt) {
		return false
	}
	t.summedUp = t.draining + t.added
	t.summaryAt = now.Add(summaryPeriod)
	return true
}

func (m *Machine) turnoverOf(service string) *turnover {
	t := m.turnovers[service]
	if t == nil {
		t = &turnover{}
		m.turnovers[service] = t
	}
	return t
}

// logDraining logs that an endpoint is draining, unless many are.
func (m *Machine) logDraining(now time.Time, e *endpointState, reason string, out *Output) {
	if m.turnoverOf(e.info.Service).count(now, true) {
		out.log(event.EndpointDraining, e.info.ID, reason)
	}
}

// logTurnover logs the numbers of the endpoints that drain or are new and have no line.
func (m *Machine) logTurnover(now time.Time, out *Output) {
	for _, service := range slices.Sorted(maps.Keys(m.turnovers)) {
		t := m.turnovers[service]
		if !t.summaryDue(now) {
			continue
		}
		usable := 0
		for _, e := range m.sortedEndpoints {
			if e.info.Service == service && !e.info.Draining {
				usable++
			}
		}
		out.log(event.EndpointsReplaced, service, fmt.Sprintf("%d endpoints drain or are gone and %d are new so far; %d are listed and not draining", t.draining, t.added, usable))
	}
}
