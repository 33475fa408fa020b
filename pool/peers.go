package pool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// statusTimeout is how long a newly joined peer may take to report what it
	// holds: one message.
	statusTimeout = 300 * time.Millisecond
	// reconnectTimeout is how long a peer whose stream ended may take to open
	// another one. Together with the time limit of a silent stream and the time
	// of a stop, it is shorter than the 1.3 s after which a caller retries
	// elsewhere.
	reconnectTimeout = 250 * time.Millisecond
	// isolationDelay is how long an instance that has lost most of its
	// neighbours claims no endpoints. If it was slow or cut off itself, they hold
	// the endpoints and connect again within this time.
	isolationDelay = 2 * time.Second
)

type (
	// peer is another instance with an open stream.
	peer struct {
		info   instance.Info
		joined time.Time
		// status is the last status received, and statusReceived reports that
		// there is one.
		status         message.Status
		statusReceived bool
		holds          map[string]bool
		// closed reports that the peer holds only endpoints in evacuated data
		// centres, so that it gets no tasks.
		closed bool
		// capacities is the last capacity report received, at capacitiesAt.
		capacities   []message.Capacity
		capacitiesAt time.Time
		// listedSlots is how many slots the listed endpoints that the peer holds
		// have, by service, as counted at listedSlotsAt.
		listedSlots   map[string]float64
		listedSlotsAt time.Time
		// lostAt is when the peer's stream ended; zero while it is open.
		lostAt time.Time
		// reconnected reports that the peer reconnected in time, so that the
		// ends of all its runs are still recorded.
		reconnected bool
	}
)

// PeerJoined handles a newly opened stream with a peer.
func (m *Machine) PeerJoined(now time.Time, info instance.Info, out *Output) {
	p := m.lostPeers[info.Ref]
	delete(m.lostPeers, info.Ref)
	detail := info.Address.String()
	if p == nil {
		p = &peer{info: info, joined: now}
		m.removeOldIncarnations(now, info.Ref, out)
	} else {
		p.reconnected = true
		detail += ", again after " + milliseconds(now.Sub(p.lostAt)).String()
		m.suspectOrphans(now, info.Ref)
	}
	p.lostAt = time.Time{}
	m.peers[info.Ref] = p
	i, _ := slices.BinarySearchFunc(m.sortedPeers, p, m.compareLocality)
	m.sortedPeers = slices.Insert(m.sortedPeers, i, p)
	m.peerChanged(p)
	m.status.newPeers = append(m.status.newPeers, info.Ref)
	m.freeSlots.lastSent = message.FreeSlots{} // the new peer has received nothing
	m.sendExpectedRuns(info.Ref, out)
	m.introduceProfiles(now, p, out)
	m.introduceLosses(now, p, out)
	out.log(event.PeerJoined, info.ID, detail)
	m.advance(now, out)
}

// removeOldIncarnations removes the earlier incarnations of a restarted
// instance.
func (m *Machine) removeOldIncarnations(now time.Time, ref instance.Ref, out *Output) {
	for _, old := range m.lostPeerRefs() {
		if old.ID == ref.ID {
			m.removePeer(now, old, out)
		}
	}
}

func (m *Machine) compareLocality(a, b *peer) int {
	distance := func(p *peer) int {
		if p.info.DataCentre == m.cfg.Self.DataCentre {
			return 0
		}
		return 1
	}
	return cmp.Or(distance(a)-distance(b), cmp.Compare(a.info.ID, b.info.ID), cmp.Compare(a.info.Incarnation, b.info.Incarnation))
}

// PeerLost handles the end of the stream with a peer. The peer counts as gone
// if it does not reconnect within reconnectTimeout.
func (m *Machine) PeerLost(now time.Time, ref instance.Ref, out *Output) {
	p, ok := m.peers[ref]
	if !ok {
		return
	}
	delete(m.peers, ref)
	m.sortedPeers = slices.DeleteFunc(m.sortedPeers, func(o *peer) bool { return o == p })
	p.lostAt = now
	if !p.status.Draining { // a planned stop breaks no requests
		m.peerLostAt = now
	}
	m.lostPeers[ref] = p
	m.peerChanged(p)
	out.log(event.PeerLost, ref.ID, "the stream has ended")
	m.removeOffersTo(now, ref)
	m.shares.Remove(ref)
	p.clearShares()
	out.wakeAt(now.Add(reconnectTimeout + time.Millisecond))
	m.advance(now, out)
}

// lostPeerRefs returns the lost peers in a deterministic order.
func (m *Machine) lostPeerRefs() []instance.Ref {
	if len(m.lostPeers) == 0 {
		return nil // at each tick
	}
	return slices.SortedFunc(maps.Keys(m.lostPeers), func(a, b instance.Ref) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// expireLostPeers removes the peers that did not reconnect in time.
func (m *Machine) expireLostPeers(now time.Time, out *Output) {
	for _, ref := range m.lostPeerRefs() {
		if now.Sub(m.lostPeers[ref].lostAt) >= reconnectTimeout {
			m.removePeer(now, ref, out)
		}
	}
}

// removePeer handles a peer that is gone. It stops the runs whose home is the
// peer, since its callers may retry elsewhere. Own tasks on the peer's endpoints
// may start again once the leases there must have expired.
func (m *Machine) removePeer(now time.Time, ref instance.Ref, out *Output) {
	p := m.lostPeers[ref]
	delete(m.lostPeers, ref)
	m.peerChanged(p)
	stopped := 0
	for _, e := range m.held {
		stopped += m.stopRunsOfHome(now, e, ref, out)
	}
	if stopped > 0 {
		out.log(event.PeerLost, ref.ID, fmt.Sprintf("not connected for %s; %d runs of its jobs are stopped here", milliseconds(now.Sub(p.lostAt)), stopped))
	}
	m.handleHolderGone(now, ref, out)
}

// peersGathered reports whether the listed peers of the local data centre have
// reported what they hold, or had time to. Those that started together with this
// instance hold nothing.
func (m *Machine) peersGathered() bool {
	if m.gathered {
		return true
	}
	if !m.peersListed || m.cfg.FirstStart {
		return false
	}
	reported := 0
	for _, p := range m.sortedPeers {
		if p.statusReceived && p.info.DataCentre == m.cfg.Self.DataCentre {
			reported++
		}
	}
	return reported+len(m.membership.awaited) >= len(m.listedLocal())
}

// heldByPeer reports whether a peer holds the endpoint, or may be about to
// report that it does.
func (m *Machine) heldByPeer(now time.Time, e *endpointState) bool {
	for _, p := range m.lostPeers {
		if p.holds[e.info.ID] {
			return true
		}
	}
	for _, p := range m.sortedPeers {
		if p.holds[e.info.ID] {
			return true
		}
		if !p.statusReceived && now.Sub(p.joined) < statusTimeout {
			return true
		}
	}
	return false
}

// mayClaim reports whether the endpoint may be claimed.
func (m *Machine) mayClaim(now time.Time, e *endpointState) bool {
	if e.info.Draining || now.Before(e.claimAfter) || m.recentlyIsolated(now) || m.heldByPeer(now, e) {
		return false
	}
	return e.info.DataCentre == m.cfg.Self.DataCentre || m.mayClaimRemote(now, e)
}

// recentlyIsolated reports whether this instance has lost most of its neighbours
// within isolationDelay.
func (m *Machine) recentlyIsolated(now time.Time) bool {
	return !m.isolatedSince.IsZero() && now.Sub(m.isolatedSince) < isolationDelay
}

// updateIsolation records since when this instance reaches fewer than half of its
// neighbours. Peers that started together with it count as reached.
func (m *Machine) updateIsolation(now time.Time) {
	reached := len(m.sortedPeers) + len(m.membership.awaited)
	switch {
	case 2*reached >= len(m.neighbourhood.selected):
		m.isolatedSince = time.Time{}
	case m.isolatedSince.IsZero():
		m.isolatedSince = now
	}
}

// assignEndpoints claims the endpoints that this instance should hold and
// releases those that another instance should hold. Endpoints of other data
// centres concern it only while it holds them or no instance there can.
func (m *Machine) assignEndpoints(now time.Time, out *Output) {
	if !m.gathered && now.Sub(m.startedAt) >= gatherTimeout {
		m.gathered = true
		m.membersChanged()
	}
	m.updateIsolation(now)
	if m.peersGathered() {
		for _, e := range m.endpointsByDataCentre[m.cfg.Self.DataCentre] {
			m.assignEndpoint(now, e, out)
		}
	}
	if !m.gathered {
		return
	}
	for _, dc := range m.endpointDataCentres {
		if dc == m.cfg.Self.DataCentre || m.reaches(dc) {
			continue
		}
		for _, e := range m.endpointsByDataCentre[dc] {
			m.assignEndpoint(now, e, out)
		}
	}
	for _, e := range slices.Clone(m.held) {
		if e.info.DataCentre != m.cfg.Self.DataCentre && m.reaches(e.info.DataCentre) {
			m.assignEndpoint(now, e, out)
		}
	}
}

func (m *Machine) assignEndpoint(now time.Time, e *endpointState, out *Output) {
	owner := m.owner(e)
	switch {
	case !e.isHeld() && owner == self && m.mayClaim(now, e):
		m.claim(now, e, out)
		m.holdings.addClaim(e, m.cfg.Self.DataCentre)
	case e.isHeld():
		e.releasing = owner == another
		if e.releasing && e.idle() {
			m.releaseEndpoint(now, e)
			m.holdings.addRelease(e)
		}
	}
}
