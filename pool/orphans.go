package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// abandonRun stops the run of a task whose job has ended, and tracks the run as
// an orphan.
func (m *Machine) abandonRun(now time.Time, t *homeTask, out *Output) {
	ref := run.Ref{Task: t.name, Number: t.number}
	o := orphan{job: t.job.ID, number: t.number, holder: t.holder}
	if !t.notBefore.IsZero() || !m.reachable(t.holder) {
		o.expiresAt = later(t.notBefore, now.Add(m.maxLeaseDuration()))
	}
	m.orphans[t.name] = o
	if t.holder == m.cfg.Self.Ref {
		m.stopByRef(now, t.holder, ref, out)
		return
	}
	m.send(t.holder, message.StopRun{Run: ref}, out)
}

// stopByRef stops the home's run if it is on an endpoint held here. Another home
// may have a run of the same name, since the caller sent its job again there.
func (m *Machine) stopByRef(now time.Time, home instance.Ref, ref run.Ref, out *Output) {
	for _, e := range m.held {
		if r := e.runs[ref]; r != nil && r.home == home {
			m.stopOrphan(now, e, r, out)
		}
	}
}

// hasRun reports whether an endpoint held here has the home's run.
func (m *Machine) hasRun(ref run.Ref, home instance.Ref) bool {
	return slices.ContainsFunc(m.held, func(e *endpointState) bool {
		r := e.runs[ref]
		return r != nil && r.home == home
	})
}

// hasRunOfOtherHome reports whether an endpoint held here has a run of the task
// for another home, which handled an earlier request for the job. That run must
// end first, and the two may have the same number.
func (m *Machine) hasRunOfOtherHome(task string, home instance.Ref) bool {
	for _, e := range m.held {
		for ref, r := range e.runs {
			if ref.Task == task && r.home != home {
				return true
			}
		}
	}
	return false
}

// handleOrphanUpdate handles an update about a run whose job was answered
// before the run ended.
func (m *Machine) handleOrphanUpdate(now time.Time, holder instance.Ref, u message.RunUpdate) {
	o, ok := m.orphans[u.Run.Task]
	switch {
	case !ok || o.number != u.Run.Number || o.holder != holder:
	case u.Status.Final():
		m.removeOrphan(u.Run.Task, o)
	case u.Status == run.Unconfirmed:
		o.expiresAt = now.Add(m.maxLeaseDuration())
		m.orphans[u.Run.Task] = o
	}
}

// removeOrphan forgets an orphaned run that is over. A job with the same ID
// that waited for it may then start.
func (m *Machine) removeOrphan(name string, o orphan) {
	delete(m.orphans, name)
	if j := m.parked[o.job]; j != nil && !m.hasOrphans(o.job) {
		delete(m.parked, o.job)
		m.unblock(j)
	}
}

// expireOrphans forgets the orphaned runs that must have ended, though no
// update confirmed it.
func (m *Machine) expireOrphans(now time.Time) {
	var expired []string
	for name, o := range m.orphans {
		if !o.expiresAt.IsZero() && !now.Before(o.expiresAt) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		m.removeOrphan(name, m.orphans[name])
	}
}

// reachable reports whether ref is this instance or a connected peer.
func (m *Machine) reachable(ref instance.Ref) bool {
	_, ok := m.peers[ref]
	return ok || ref == m.cfg.Self.Ref
}

// hasOrphans reports whether runs of an earlier request for the job may still
// be running.
func (m *Machine) hasOrphans(id string) bool {
	for _, o := range m.orphans {
		if o.job == id {
			return true
		}
	}
	return false
}
