package pool

import (
	"iter"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
	"github.com/lovagecrank/lovagecrank/assignment"
	"github.com/lovagecrank/lovagecrank/instance"
)

// startedTogether is the maximum difference between the start times of two
// instances that count as started together, after a failure of all instances.
// Neither of them can hold an endpoint before it has seen the other, so they
// need not wait for each other.
const startedTogether = 2 * time.Second

// The instances that should hold an endpoint, as seen by one instance.
const (
	// nobody: no known instance can hold it.
	nobody ownership = iota
	self
	another
)

type (
	ownership uint8

	// membership has what is computed from the set of instances.
	membership struct {
		// generation increases with each change of the set of connected peers or
		// of their draining state. ownerGeneration increases with the changes
		// that affect the owners of endpoints.
		generation, ownerGeneration uint64
		// recipients is valid for recipientsGeneration.
		recipients           []*peer
		recipientsGeneration uint64
		// reachable has the remote data centres of which this instance or a
		// local peer is connected to an instance that can hold endpoints.
		// connected are those of which this instance itself is.
		reachable map[string]bool
		connected []string
		// awaited are the listed local peers that started together with this
		// instance and have not reported their status yet, while this instance
		// gathers its peers.
		awaited []instance.Info
		// meanSize is the mean size of the listed instances of the local data
		// centre, this one included.
		meanSize float64
	}
)

// membersChanged handles a change of the set of instances or of their draining
// state.
func (m *Machine) membersChanged() {
	m.membership.generation++
	m.membership.ownerGeneration++
	m.membership.awaited = m.awaitedPeers()
	m.membership.meanSize = m.meanLocalSize()
	m.updateReachable()
	m.reassignNeeded = true
}

func (m *Machine) meanLocalSize() float64 {
	total := m.cfg.Self.Size()
	for _, i := range m.listedLocal() {
		total += i.Size()
	}
	return total / float64(len(m.listedLocal())+1)
}

// peerChanged handles a change of one peer. Unlike a local peer, a remote one
// affects the owners of endpoints only if it changes which data centres can be
// reached.
func (m *Machine) peerChanged(p *peer) {
	if p.info.DataCentre == m.cfg.Self.DataCentre {
		m.membersChanged()
		return
	}
	m.membership.generation++
	m.updateReachable()
}

// updateReachable computes which remote data centres can be reached.
func (m *Machine) updateReachable() {
	own := map[string]bool{}
	reachable := map[string]bool{}
	consider := func(p *peer) {
		if !p.canHold() {
			return
		}
		if p.info.DataCentre != m.cfg.Self.DataCentre {
			own[p.info.DataCentre], reachable[p.info.DataCentre] = true, true
			return
		}
		for _, dc := range p.status.DataCentres {
			reachable[dc] = true
		}
	}
	for p := range m.knownPeers() {
		consider(p)
	}
	delete(reachable, m.cfg.Self.DataCentre)
	if connected := sortedKeys(own); !slices.Equal(connected, m.membership.connected) {
		m.membership.connected = connected
		m.status.changed = true
	}
	if !slices.Equal(sortedKeys(reachable), sortedKeys(m.membership.reachable)) {
		m.membership.reachable = reachable
		m.membership.ownerGeneration++
		m.reassignNeeded = true
	}
}

// reaches reports whether the data centre has an instance that can hold
// endpoints, as far as the instances of this data centre know.
func (m *Machine) reaches(dc string) bool {
	if dc == m.cfg.Self.DataCentre {
		return !m.draining || slices.ContainsFunc(m.sortedPeers, func(p *peer) bool { return p.info.DataCentre == dc && p.canHold() })
	}
	return m.membership.reachable[dc]
}

// owner returns who should hold the endpoint. Among the instances of a data
// centre, rendezvous hashing decides. If the endpoint's data centre has no
// instance that can hold it, rendezvous hashing first decides between the other
// data centres.
func (m *Machine) owner(e *endpointState) ownership {
	if e.ownerGeneration != m.membership.ownerGeneration {
		e.owner, e.ownerGeneration = m.findOwner(e), m.membership.ownerGeneration
	}
	return e.owner
}

func (m *Machine) findOwner(e *endpointState) ownership {
	switch dc := m.servingDataCentre(e); dc {
	case "":
		return nobody
	case m.cfg.Self.DataCentre:
	default:
		return another
	}
	best, bestScore := nobody, 0.0
	consider := func(i instance.Info, o ownership) {
		if score := assignment.Score(e.info.ID, i.ID, assignment.Weight(i.Size(), m.membership.meanSize)); best == nobody || score < bestScore {
			best, bestScore = o, score
		}
	}
	if !m.draining {
		consider(m.cfg.Self, self)
	}
	for p := range m.knownPeers() {
		if p.info.DataCentre == m.cfg.Self.DataCentre && p.canHold() {
			consider(p.info, another)
		}
	}
	for _, i := range m.membership.awaited {
		consider(i, another)
	}
	return best
}

// servingDataCentre returns the data centre whose instances should hold the
// endpoint: its own if it has an instance that can, or else one chosen by
// rendezvous hashing; empty if there is none.
func (m *Machine) servingDataCentre(e *endpointState) string {
	if m.reaches(e.info.DataCentre) {
		return e.info.DataCentre
	}
	best, bestScore := "", 0.0
	consider := func(dc string) {
		if score := admission.HashFraction(e.info.ID + "\x00" + dc); best == "" || score < bestScore {
			best, bestScore = dc, score
		}
	}
	if m.reaches(m.cfg.Self.DataCentre) {
		consider(m.cfg.Self.DataCentre)
	}
	for dc := range m.membership.reachable {
		consider(dc)
	}
	return best
}

// awaitedPeers returns the listed local peers that have started together with
// this instance and have not reported their status yet. It returns none once
// this instance has stopped gathering its peers.
func (m *Machine) awaitedPeers() []instance.Info {
	if m.gathered {
		return nil
	}
	reported := map[string]bool{}
	for _, p := range m.sortedPeers {
		reported[p.info.ID] = p.statusReceived
	}
	var list []instance.Info
	for _, i := range m.listedLocal() {
		if !reported[i.ID] && m.startedTogether(i) {
			list = append(list, i)
		}
	}
	return list
}

// startedTogether reports whether the peer started at about the same time as
// this instance. An incarnation is a start time in Unix nanoseconds.
func (m *Machine) startedTogether(i instance.Info) bool {
	a, b := int64(i.Incarnation), int64(m.cfg.Self.Incarnation)
	return max(a, b)-min(a, b) < int64(startedTogether)
}

// knownPeers returns the connected peers and those that were lost less than
// reconnectTimeout ago, in no particular order.
func (m *Machine) knownPeers() iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for _, p := range m.sortedPeers {
			if !yield(p) {
				return
			}
		}
		for _, p := range m.lostPeers {
			if !yield(p) {
				return
			}
		}
	}
}

// canHold reports whether the peer can hold endpoints.
func (p *peer) canHold() bool { return p.statusReceived && !p.status.Draining }
