package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

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
	// maxFullMesh is the number of instances up to which each one keeps a
	// stream with every other one.
	maxFullMesh = maxRecipients + 1
	// contactTimeout is how long a contact in another data centre may take to
	// connect before the next instance there is tried: the delay before a dial
	// and the timeout of one attempt to connect.
	contactTimeout = 1200 * time.Millisecond
	// contactRetryDelay is how long an instance that did not connect in time is
	// not chosen again, as long as others can be tried.
	contactRetryDelay = 10 * time.Second
)

// neighbourhood selects the peers with which this instance keeps a stream. In a
// small installation these are all peers. In a larger one, where a stream with
// each would take more processor time than the work, they are the peers of the
// local data centre, with which it shares the endpoints there, and a few
// contacts in each other data centre.
type neighbourhood struct {
	// listed are the peers that the platform lists, by data centre, in the order
	// of their IDs.
	listed map[string][]instance.Info
	// dataCentres are the names of the remote data centres of listed peers in
	// ascending order.
	dataCentres []string
	total       int
	// awaitedSince is when a contact was chosen or lost, by ID, while it is not
	// connected. failedAt is when a contact was given up.
	awaitedSince, failedAt map[string]time.Time
	// selected are the neighbours last passed to the driver.
	selected []instance.Info
}

// SetInstances sets the other instances that the platform lists.
func (m *Machine) SetInstances(now time.Time, peers []instance.Info, out *Output) {
	n := &m.neighbourhood
	n.listed, n.total = map[string][]instance.Info{}, len(peers)
	for _, i := range peers {
		n.listed[i.DataCentre] = append(n.listed[i.DataCentre], i)
	}
	for _, list := range n.listed {
		slices.SortFunc(list, func(a, b instance.Info) int { return cmp.Compare(a.ID, b.ID) })
	}
	n.dataCentres = slices.DeleteFunc(slices.Sorted(maps.Keys(n.listed)), func(dc string) bool { return dc == m.cfg.Self.DataCentre })
	m.peersListed = true
	m.membersChanged()
	m.selectNeighbours(now, out)
	m.advance(now, out)
}

// fullMesh reports whether the installation is small enough for a stream with
// every peer.
func (n *neighbourhood) fullMesh() bool { return n.total+1 <= maxFullMesh }

// listedLocal returns the listed peers of the local data centre.
func (m *Machine) listedLocal() []instance.Info { return m.neighbourhood.listed[m.cfg.Self.DataCentre] }

// selectNeighbours passes the neighbours to the driver if they have changed.
func (m *Machine) selectNeighbours(now time.Time, out *Output) {
	n := &m.neighbourhood
	selected := slices.Clone(m.listedLocal())
	for _, dc := range n.dataCentres {
		if n.fullMesh() {
			selected = append(selected, n.listed[dc]...)
			continue
		}
		selected = append(selected, m.contacts(now, dc)...)
	}
	if slices.Equal(selected, n.selected) {
		return
	}
	n.selected = selected
	out.Neighbours, out.NeighboursChanged = selected, true
}

// contacts returns the instances of a remote data centre with which this
// instance keeps a stream: those that it chooses, and those that choose it.
func (m *Machine) contacts(now time.Time, dc string) []instance.Info {
	ring := m.contactRing(dc)
	list := m.neighbourhood.pickContacts(now, ring, m.contactShare())
	for _, i := range m.choosers(dc) {
		if !slices.ContainsFunc(list, func(c instance.Info) bool { return c.ID == i.ID }) {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b instance.Info) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// pickContacts returns the first instances of the ring that have not failed
// recently. If there are too few, the ones that failed first are tried again.
func (n *neighbourhood) pickContacts(now time.Time, ring []instance.Info, limit int) []instance.Info {
	var list, failed []instance.Info
	for _, i := range ring {
		if at, ok := n.failedAt[i.ID]; ok && now.Sub(at) < contactRetryDelay {
			failed = append(failed, i)
			continue
		}
		if list = append(list, i); len(list) == limit {
			return list
		}
	}
	slices.SortStableFunc(failed, func(a, b instance.Info) int { return n.failedAt[a.ID].Compare(n.failedAt[b.ID]) })
	return append(list, failed[:min(limit-len(list), len(failed))]...)
}

// contactShare returns how many contacts this instance chooses in each remote
// data centre.
func (m *Machine) contactShare() int {
	remaining := maxRecipients - min(maxLocalRecipients, len(m.listedLocal()))
	return max(remaining/max(len(m.neighbourhood.dataCentres), 1), 1)
}

// contactRing returns the listed instances of a remote data centre in the order
// in which this instance chooses contacts there.
func (m *Machine) contactRing(dc string) []instance.Info {
	ring := m.neighbourhood.listed[dc]
	rank := ownRank(m.listedLocal(), m.cfg.Self.ID)
	return rotate(ring, firstContact(rank, m.contactShare(), len(ring), m.cfg.Self.DataCentre < dc))
}

// choosers returns the instances of a remote data centre that choose this one as
// a contact if all listed instances can be reached.
func (m *Machine) choosers(dc string) []instance.Info {
	local, share := m.listedLocal(), m.contactShare()
	own, size := ownRank(local, m.cfg.Self.ID), len(local)+1
	var list []instance.Info
	for rank, i := range m.neighbourhood.listed[dc] {
		first := firstContact(rank, share, size, dc < m.cfg.Self.DataCentre)
		if (own-first+size)%size < share {
			list = append(list, i)
		}
	}
	return list
}

// firstContact returns the index at which an instance with the given rank in its
// data centre begins to choose contacts among size instances of another one. The
// two directions begin half a ring apart, so that an instance usually has
// different contacts in each.
func firstContact(rank, share, size int, ascending bool) int {
	if size == 0 {
		return 0
	}
	if !ascending {
		rank += size / 2
	}
	return rank * share % size
}

// ownRank returns how many of the listed instances precede the ID.
func ownRank(listed []instance.Info, id string) int {
	rank, _ := slices.BinarySearchFunc(listed, id, func(i instance.Info, id string) int { return cmp.Compare(i.ID, id) })
	return rank
}

// rotate returns the ring in the order that begins at index from.
func rotate[T any](ring []T, from int) []T {
	return append(slices.Clone(ring[from:]), ring[:from]...)
}

// replaceContacts gives up the contacts that have not connected in time, so that
// other instances are chosen.
func (m *Machine) replaceContacts(now time.Time, out *Output) {
	n := &m.neighbourhood
	if n.fullMesh() {
		return
	}
	for _, i := range n.selected {
		if i.DataCentre == m.cfg.Self.DataCentre {
			continue
		}
		since, awaited := n.awaitedSince[i.ID]
		switch {
		case m.isConnected(i):
			delete(n.awaitedSince, i.ID)
		case !awaited:
			n.awaitedSince[i.ID] = now
		case now.Sub(since) >= contactTimeout:
			delete(n.awaitedSince, i.ID)
			n.failedAt[i.ID] = now
		}
	}
	m.selectNeighbours(now, out)
}

// isConnected reports whether an incarnation of the instance is connected.
func (m *Machine) isConnected(i instance.Info) bool {
	if _, ok := m.peers[i.Ref]; ok {
		return true
	}
	return slices.ContainsFunc(m.sortedPeers, func(p *peer) bool { return p.info.ID == i.ID })
}

// recipients returns the peers that receive the free slots of this instance: up
// to maxLocalRecipients that follow it in the order of IDs in the local data
// centre, and in each other data centre the first connected ones in the order in
// which it chooses contacts. Every instance thus receives about as many reports
// as it sends if the data centres are of similar size.
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
	rank := 0
	for _, p := range local {
		if p.info.ID < m.cfg.Self.ID {
			rank++
		}
	}
	list := ringSlice(local, rank, maxLocalRecipients)
	remaining := maxRecipients - len(list)
	for dc, remote := range byDataCentre {
		share := max(remaining/len(byDataCentre), 1)
		list = append(list, m.remoteRecipients(dc, remote, rank, share)...)
	}
	slices.SortFunc(list, m.compareLocality)
	m.membership.recipients, m.membership.recipientsGeneration = list, m.membership.generation
	return list
}

// remoteRecipients returns up to share connected peers of a remote data centre.
func (m *Machine) remoteRecipients(dc string, connected []*peer, rank, share int) []*peer {
	if m.neighbourhood.fullMesh() {
		return ringSlice(connected, rank*share, share)
	}
	var list []*peer
	for _, i := range m.contactRing(dc) {
		at := slices.IndexFunc(connected, func(p *peer) bool { return p.info.ID == i.ID })
		if at >= 0 && len(list) < share {
			list = append(list, connected[at])
		}
	}
	return list
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
