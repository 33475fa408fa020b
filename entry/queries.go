package entry

import (
	"maps"
	"time"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/dispatch"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/submission"
)

// View is an immutable snapshot of a machine for operators.
type View struct {
	// Time is the time of the snapshot.
	Time time.Time
	// Ready is nil if the instance accepts jobs, otherwise the reason.
	Ready *fault.Error
	Self  instance.Info
	// SelfListed reports whether the platform's list of instances contains
	// this instance.
	SelfListed    bool
	Configuration configuration.Document
	// Stale reports whether neither the store nor a peer has confirmed the
	// configuration for longer than the limit.
	Stale     bool
	Instances []instance.Status
	// Versions are the peers' configuration versions, by instance id.
	Versions       map[string]uint64
	StoreReachable bool
	Endpoints      []endpoint.Status
	Backlogs       []dispatch.Backlog
	Classes        map[string]ClassView
	Teams          map[string]TeamView
	Counters       dispatch.Counters
	// Unfinished counts what a forced stop would lose.
	Unfinished submission.Unfinished
	// Running is the number of tasks that were sent and have not ended.
	Running int
}

// Next returns the time of the next Tick; zero if none is needed.
func (m *Machine) Next() time.Time {
	next := m.fromSubmissions.Wake
	for _, at := range []time.Time{m.scheduler.Next(), m.endpoints.Next(), m.membership.Next(), m.configuration.Next()} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// Ready returns nil if the instance accepts jobs, otherwise a Stopping or
// NotReady error.
func (m *Machine) Ready() *fault.Error {
	if m.stopping {
		return fault.New(fault.Stopping, "").WithRetryAfter(stopRetry)
	}
	return m.checkReady()
}

// checkReady returns nil if the instance has a configuration and at least one
// endpoint, otherwise a NotReady error.
func (m *Machine) checkReady() *fault.Error {
	if !m.configuration.Ready() {
		return fault.New(fault.NotReady, "no configuration is known yet").WithRetryAfter(readyRetry)
	}
	if len(m.listedEndpoints) == 0 {
		return fault.New(fault.NotReady, "no endpoint is known yet").WithRetryAfter(readyRetry)
	}
	return nil
}

// Idle reports whether a planned stop is complete: no caller waits, and no job
// or durable answer would be lost.
func (m *Machine) Idle() bool { return m.submissions.Idle() }

// View returns a snapshot for operators.
func (m *Machine) View(now time.Time) *View {
	return &View{
		Time:           now,
		Ready:          m.Ready(),
		Self:           m.membership.Self(),
		Configuration:  m.configuration.Current(),
		Stale:          m.configuration.Stale(),
		Instances:      m.membership.Instances(),
		Versions:       maps.Clone(m.peerVersions),
		StoreReachable: !m.circuit.Open(),
		Classes:        m.statistics.classViews(),
		Teams:          m.statistics.teamViews(),
		Endpoints:      m.endpoints.Endpoints(),
		Backlogs:       m.scheduler.Backlogs(),
		Counters:       m.scheduler.Counters(),
		Unfinished:     m.submissions.Unfinished(),
		Running:        len(m.running),
	}
}
