package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// abandon stops the run of a task whose job is over.
func (m *Machine) abandon(now time.Time, t *homeTask, out *Output) {
	ref := run.Ref{Task: t.name, Number: t.number}
	g := ghost{job: t.job.ID, number: t.number, holder: t.holder}
	if !t.notBefore.IsZero() || !m.reaches(t.holder) {
		g.until = later(t.notBefore, now.Add(m.lapseTime()))
	}
	m.ghosts[t.name] = g
	if t.holder == m.cfg.Self.Ref {
		m.unwant(now, ref, out)
		return
	}
	m.send(t.holder, message.StopRun{Run: ref}, out)
}

// unwant stops a run on one of the endpoints that are held here.
func (m *Machine) unwant(now time.Time, ref run.Ref, out *Output) {
	if h, r := m.find(ref); r != nil {
		m.stopUnwanted(now, h, r, out)
	}
}

// find returns a run on one of the endpoints that are held here, or nil.
func (m *Machine) find(ref run.Ref) (*held, *heldRun) {
	for _, h := range m.mine {
		if r := h.runs[ref]; r != nil {
			return h, r
		}
	}
	return nil, nil
}

// exorcise takes in what became of a run whose job was answered before.
func (m *Machine) exorcise(now time.Time, u message.RunUpdate) {
	g, ok := m.ghosts[u.Run.Task]
	switch {
	case !ok || g.number != u.Run.Number:
	case u.Status.Final():
		m.dropGhost(u.Run.Task, g)
	case u.Status == run.Uncertain:
		g.until = now.Add(m.lapseTime())
		m.ghosts[u.Run.Task] = g
	}
}

// dropGhost forgets a run that is over. A job that waited for it may begin.
func (m *Machine) dropGhost(name string, g ghost) {
	delete(m.ghosts, name)
	if j := m.parked[g.job]; j != nil && !m.haunted(g.job) {
		delete(m.parked, g.job)
		m.release(j)
	}
}

// expireGhosts forgets the runs that have surely ended though nobody told.
func (m *Machine) expireGhosts(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(m.ghosts)) {
		if g := m.ghosts[name]; !g.until.IsZero() && !now.Before(g.until) {
			m.dropGhost(name, g)
		}
	}
}

// reaches reports whether the instance is this one or a peer.
func (m *Machine) reaches(ref instance.Ref) bool {
	_, ok := m.peers[ref]
	return ok || ref == m.cfg.Self.Ref
}

// haunted reports whether runs of an earlier request for the job are left.
func (m *Machine) haunted(id string) bool {
	for _, g := range m.ghosts {
		if g.job == id {
			return true
		}
	}
	return false
}
