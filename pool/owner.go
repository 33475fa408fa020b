package pool

import (
	"math"
	"slices"
	"strings"

	"github.com/lovagecrank/lovagecrank/instance"
)

const (
	// mostAudience is how many peers are told of vacancies, and nearAudience
	// how many of them may be of the own data centre: enough for tasks to find
	// a place where these are short, and few enough for the smallest machines
	// to read and write, however many instances there are.
	mostAudience = 16
	nearAudience = 12
)

// members is what follows from which instances there are.
type members struct {
	// round rises with each change.
	round uint64
	// audience is valid in the round told.
	audience      []*peer
	audienceRound uint64
}

// membersChanged takes in that instances have come, gone or begun to leave.
func (m *Machine) membersChanged() {
	m.members.round++
	m.unsettled = true
}

// owner returns which instance should hold the endpoint: by rendezvous hash
// over those of its data centre that stay, or over all if it has none.
func (m *Machine) owner(h *held) instance.Ref {
	if h.ownerRound != m.members.round {
		h.owner, h.ownerRound = m.findOwner(h), m.members.round
	}
	return h.owner
}

func (m *Machine) findOwner(h *held) instance.Ref {
	best, bestScore := instance.Ref{}, 0.0
	bestNear := false
	consider := func(i instance.Info) {
		near := i.DataCentre == h.info.DataCentre
		if bestNear && !near {
			return
		}
		score := ownerScore(h.info.ID, i)
		if best == (instance.Ref{}) || near && !bestNear || score < bestScore {
			best, bestScore, bestNear = i.Ref, score, near
		}
	}
	if !m.leaving {
		consider(m.cfg.Self)
	}
	for _, p := range m.nearPeers {
		if p.stays() {
			consider(p.info)
		}
	}
	for _, p := range m.lost {
		if p.stays() {
			consider(p.info)
		}
	}
	return best
}

// stays reports whether the peer can hold endpoints.
func (p *peer) stays() bool { return p.introduced && !p.standing.Leaving }

// ownerScore returns the score of an instance for an endpoint, of which the
// lowest wins. It is drawn so that each instance wins in proportion to the root
// of its cores: a small machine can't serve as many endpoints as a large one, but
// as many jobs come to it, and a task that runs where its job is costs least.
func ownerScore(endpoint string, i instance.Info) float64 {
	return -math.Log(draw(endpoint+"\x00"+i.ID)) / math.Sqrt(i.Size())
}

// audience returns the peers that are told of vacancies. Each instance has
// those that come after it in the order of the names, so that all are told by
// about as many as they tell.
func (m *Machine) audience() []*peer {
	if m.members.audienceRound == m.members.round {
		return m.members.audience
	}
	byCentre := map[string][]*peer{}
	for _, p := range m.nearPeers {
		byCentre[p.info.DataCentre] = append(byCentre[p.info.DataCentre], p)
	}
	near := byCentre[m.cfg.Self.DataCentre]
	delete(byCentre, m.cfg.Self.DataCentre)
	rank := m.rank(near)
	list := following(near, rank, nearAudience)
	left := mostAudience - len(list)
	for _, far := range byCentre {
		share := max(left/len(byCentre), 1)
		list = append(list, following(far, rank*share, share)...)
	}
	slices.SortFunc(list, m.compareNearness)
	m.members.audience, m.members.audienceRound = list, m.members.round
	return list
}

// rank returns how many peers of the own data centre come before this instance
// in the order of their names.
func (m *Machine) rank(near []*peer) int {
	n := 0
	for _, p := range near {
		if strings.Compare(p.info.ID, m.cfg.Self.ID) < 0 {
			n++
		}
	}
	return n
}

// following returns up to that many peers from the place given on, in a ring.
func following(ring []*peer, from, most int) []*peer {
	n := min(most, len(ring))
	list := make([]*peer, 0, n)
	for i := range n {
		list = append(list, ring[(from+i)%len(ring)])
	}
	return list
}
