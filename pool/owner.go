package pool

import (
	"math"
	"slices"
	"strings"

	"github.com/lovagecrank/lovagecrank/instance"
)

const (
	// maxRecipients is how many peers receive the free slots of this instance,
	// and maxLocalRecipients how many of them may be in the local data centre.
	// These are enough for tasks to find a slot when slots are scarce, and few
	// enough for the smallest machines to handle the messages, however many
	// instances there are.
	maxRecipients      = 16
	maxLocalRecipients = 12
)

// membership has what is computed from the set of instances.
type membership struct {
	// generation increases with each change of the set.
	generation uint64
	// recipients is valid for recipientsGeneration.
	recipients           []*peer
	recipientsGeneration uint64
}

// membersChanged handles a change of the set of instances or of their draining
// state.
func (m *Machine) membersChanged() {
	m.membership.generation++
	m.reassignNeeded = true
}

// owner returns the instance that should hold the endpoint. It uses rendezvous
// hashing over the instances of the endpoint's data centre that are not
// draining, or over those of all data centres if there is none.
func (m *Machine) owner(e *endpointState) instance.Ref {
	if e.ownerGeneration != m.membership.generation {
		e.owner, e.ownerGeneration = m.findOwner(e), m.membership.generation
	}
	return e.owner
}

func (m *Machine) findOwner(e *endpointState) instance.Ref {
	best, bestScore := instance.Ref{}, 0.0
	bestLocal := false
	consider := func(i instance.Info) {
		local := i.DataCentre == e.info.DataCentre
		if bestLocal && !local {
			return
		}
		score := ownerScore(e.info.ID, i)
		if best == (instance.Ref{}) || local && !bestLocal || score < bestScore {
			best, bestScore, bestLocal = i.Ref, score, local
		}
	}
	if !m.draining {
		consider(m.cfg.Self)
	}
	for _, p := range m.sortedPeers {
		if p.canHold() {
			consider(p.info)
		}
	}
	for _, p := range m.lostPeers {
		if p.canHold() {
			consider(p.info)
		}
	}
	return best
}

// canHold reports whether the peer can hold endpoints.
func (p *peer) canHold() bool { return p.statusReceived && !p.status.Draining }

// ownerScore returns the score of an instance for an endpoint; the lowest score
// wins. Each instance wins in proportion to the square root of its cores: a
// small machine can't serve as many endpoints as a large one, but it receives
// as many jobs, and a task is cheapest to run where its job is.
func ownerScore(endpoint string, i instance.Info) float64 {
	return -math.Log(hashFraction(endpoint+"\x00"+i.ID)) / math.Sqrt(i.Size())
}

// recipients returns the peers that receive the free slots of this instance: up
// to maxLocalRecipients that follow it in the order of IDs in the local data
// centre, and an equal share of the rest of maxRecipients in each other data
// centre, chosen by its rank. Every instance thus receives about as many
// reports as it sends if the data centres are of similar size.
func (m *Machine) recipients() []*peer {
	if m.membership.recipientsGeneration == m.membership.generation {
		return m.membership.recipients
	}
	byDataCentre := map[string][]*peer{}
	for _, p := range m.sortedPeers {
		byDataCentre[p.info.DataCentre] = append(byDataCentre[p.info.DataCentre], p)
	}
	local := byDataCentre[m.cfg.Self.DataCentre]
	delete(byDataCentre, m.cfg.Self.DataCentre)
	rank := m.rank(local)
	list := ringSlice(local, rank, maxLocalRecipients)
	remaining := maxRecipients - len(list)
	for _, remote := range byDataCentre {
		share := max(remaining/len(byDataCentre), 1)
		list = append(list, ringSlice(remote, rank*share, share)...)
	}
	slices.SortFunc(list, m.compareLocality)
	m.membership.recipients, m.membership.recipientsGeneration = list, m.membership.generation
	return list
}

// rank returns how many peers of the local data centre precede this instance in
// the order of IDs.
func (m *Machine) rank(local []*peer) int {
	n := 0
	for _, p := range local {
		if strings.Compare(p.info.ID, m.cfg.Self.ID) < 0 {
			n++
		}
	}
	return n
}

// ringSlice returns up to limit peers of the ring, starting at index from.
func ringSlice(ring []*peer, from, limit int) []*peer {
	n := min(limit, len(ring))
	list := make([]*peer, 0, n)
	for i := range n {
		list = append(list, ring[(from+i)%len(ring)])
	}
	return list
}
