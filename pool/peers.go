package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// introduceTime is how long a peer that has joined may take to tell what
	// it holds: one message.
	introduceTime = 300 * time.Millisecond
	// returnTime is how long a peer whose stream has ended may take to open
	// another one. With the time after which a silent stream ends, and that
	// of a stop, it lies under the 1.3 s after which a caller asks elsewhere.
	returnTime = 250 * time.Millisecond
)

type (
	// peer is another instance with which a stream is open.
	peer struct {
		info   instance.Info
		joined time.Time
		// standing is what it told last; introduced tells that it did.
		standing   message.Standing
		introduced bool
		holds      map[string]bool
		// rooms are what it told of its places, and roomsAt when.
		rooms   []message.Room
		roomsAt time.Time
		// lostAt is when its stream ended; zero while it is open.
		lostAt time.Time
		// known tells that it came back in time: all that became of its runs
		// is remembered.
		known bool
	}
)

// SetInstances tells which other instances the platform lists.
func (m *Machine) SetInstances(now time.Time, others []instance.Info, out *Output) {
	m.listed, m.listedNear = len(others), 0
	for _, i := range others {
		if i.DataCentre == m.cfg.Self.DataCentre {
			m.listedNear++
		}
	}
	m.listRead = true
	m.unsettled = true
	m.settle(now, out)
}

// PeerJoined takes in that a stream with a peer is open.
func (m *Machine) PeerJoined(now time.Time, info instance.Info, out *Output) {
	p := m.lost[info.Ref]
	delete(m.lost, info.Ref)
	if p == nil {
		p = &peer{info: info, joined: now}
		m.replace(now, info.Ref, out)
	} else {
		p.known = true
		m.doubtGhosts(now, info.Ref)
	}
	p.lostAt = time.Time{}
	m.membersChanged()
	m.peers[info.Ref] = p
	m.nearPeers = append(m.nearPeers, p)
	slices.SortFunc(m.nearPeers, m.compareNearness)
	m.standing.newcomers = append(m.standing.newcomers, info.Ref)
	m.vacancies.last = message.Vacancies{} // the newcomer has been told nothing
	m.reconcile(info.Ref, out)
	out.log(event.PeerJoined, info.ID, info.Address.String())
	m.settle(now, out)
}

// replace takes in that an instance has started anew: its incarnations before
// are gone.
func (m *Machine) replace(now time.Time, ref instance.Ref, out *Output) {
	for _, old := range m.lostRefs() {
		if old.ID == ref.ID {
			m.forgetPeer(now, old, out)
		}
	}
}

func (m *Machine) compareNearness(a, b *peer) int {
	near := func(p *peer) int {
		if p.info.DataCentre == m.cfg.Self.DataCentre {
			return 0
		}
		return 1
	}
	return cmp.Or(near(a)-near(b), cmp.Compare(a.info.ID, b.info.ID), cmp.Compare(a.info.Incarnation, b.info.Incarnation))
}

// PeerLost takes in that the stream with a peer has ended. Where it does not
// come back at once, the peer counts as gone.
func (m *Machine) PeerLost(now time.Time, ref instance.Ref, out *Output) {
	p, ok := m.peers[ref]
	if !ok {
		return
	}
	delete(m.peers, ref)
	m.nearPeers = slices.DeleteFunc(m.nearPeers, func(o *peer) bool { return o == p })
	m.membersChanged()
	p.lostAt = now
	m.lost[ref] = p
	out.log(event.PeerLost, ref.ID, "the stream has ended")
	m.dropOffers(ref)
	out.wakeAt(now.Add(returnTime + time.Millisecond))
	m.settle(now, out)
}

// lostRefs returns the peers whose stream has just ended, in an order that
// does not change.
func (m *Machine) lostRefs() []instance.Ref {
	return slices.SortedFunc(maps.Keys(m.lost), func(a, b instance.Ref) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// expirePeers forgets the peers that did not come back.
func (m *Machine) expirePeers(now time.Time, out *Output) {
	for _, ref := range m.lostRefs() {
		if now.Sub(m.lost[ref].lostAt) >= returnTime {
			m.forgetPeer(now, ref, out)
		}
	}
}

// forgetPeer takes in that a peer is gone. The runs that it is home to are
// stopped, since its callers may ask elsewhere; what becomes of the own tasks
// there is known once its leases must have ended.
func (m *Machine) forgetPeer(now time.Time, ref instance.Ref, out *Output) {
	delete(m.lost, ref)
	m.membersChanged()
	for _, h := range m.mine {
		m.stopRunsOf(now, h, ref, out)
	}
	m.holderLost(now, ref, out)
}

// gathered reports whether the peers that are listed have joined, or had time
// to: those of the own data centre for its endpoints, all for the others.
func (m *Machine) gathered(now time.Time, h *held) bool {
	if now.Sub(m.begun) >= gatherTime {
		return true
	}
	if !m.listRead {
		return false
	}
	if h.info.DataCentre != m.cfg.Self.DataCentre {
		return len(m.peers) >= m.listed
	}
	near := 0
	for _, p := range m.nearPeers {
		if p.introduced && p.info.DataCentre == m.cfg.Self.DataCentre {
			near++
		}
	}
	return near >= m.listedNear
}

// heldByPeer reports whether a peer says that it holds the endpoint, or may be
// about to say so.
func (m *Machine) heldByPeer(now time.Time, h *held) bool {
	for _, p := range m.lost {
		if p.holds[h.info.ID] {
			return true
		}
	}
	for _, p := range m.nearPeers {
		if p.holds[h.info.ID] {
			return true
		}
		if !p.introduced && now.Sub(p.joined) < introduceTime {
			return true
		}
	}
	return false
}

// mayClaim reports whether the endpoint may be taken.
func (m *Machine) mayClaim(now time.Time, h *held) bool {
	if h.info.Leaving || now.Before(h.claimAfter) || m.heldByPeer(now, h) {
		return false
	}
	return h.info.DataCentre == m.cfg.Self.DataCentre || m.mayClaimAbroad(now, h)
}

// assign claims the endpoints that this instance should hold and releases
// those that another one should.
func (m *Machine) assign(now time.Time, out *Output) {
	for _, h := range m.ordered {
		if !m.gathered(now, h) {
			continue
		}
		owner := m.owner(h)
		mine := owner == m.cfg.Self.Ref
		switch {
		case !h.held() && mine && m.mayClaim(now, h):
			m.claim(now, h, out)
		case h.held():
			h.releasing = !mine && owner != (instance.Ref{})
			if h.releasing && h.quiet() {
				m.drop(h)
			}
		}
	}
}
