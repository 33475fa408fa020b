package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// holderChangePause is how long a new holder starts nothing on an endpoint,
	// so that the instances that run tasks there can report them first.
	holderChangePause = 50 * time.Millisecond
	// maxBorrowedIdle is how long a borrowed slot may be idle before it is
	// returned.
	maxBorrowedIdle = 200 * time.Millisecond
)

// peer is another live instance of the same data centre.
type peer struct {
	ref instance.Ref
	// lastReceived is when the last message came from the peer, at first when
	// the peer was added.
	lastReceived time.Time
	// demands are those of the peer's last Want, minus the slots that it got
	// since; receivedSequence is the sequence number of that Want.
	demands          []peerDemand
	receivedSequence uint64
	// sentDemands are this instance's demands as the peer knows them.
	sentDemands []peerDemand
	// plannedTasks is the number of tasks of each rank that the peer should
	// know of.
	plannedTasks []int
	// sentSequence is the sequence number of the last Want to the peer and
	// lastSent its time.
	sentSequence uint64
	lastSent     time.Time
	// lastFullSent is when the last Want with all leases was sent to the peer.
	lastFullSent time.Time
	// answered is set if the peer lent or returned slots since the last Want
	// to it.
	answered bool
	// pendingLeases and pendingReturns are collected for one message each;
	// pendingUnused is the number of returned slots that started no task.
	pendingLeases  []message.SlotLease
	pendingReturns []message.SlotLease
	pendingUnused  int
	// fullWantDue is set if the peer must be sent a Want with all leases now.
	fullWantDue bool
	// lentTo and borrowedFrom are numbers of slots.
	lentTo, borrowedFrom int
}

// SetInstances replaces the list of live instances. Those of the same data
// centre become peers and share its endpoints.
func (s *Scheduler) SetInstances(now time.Time, infos []instance.Info, out *Output) {
	var peers []*peer
	for _, info := range infos {
		if info.DataCentre != s.settings.Self.DataCentre || info.ID == s.settings.Self.ID {
			continue
		}
		peers = append(peers, s.peerOf(now, info.Ref))
	}
	slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.ref.ID, b.ref.ID) })
	for _, p := range s.peers {
		if !slices.Contains(peers, p) {
			s.reclaim(now, p)
		}
	}
	s.setPeers(now, peers)
	s.schedule(now, out)
}

// PeerLost removes an instance that no longer answers.
func (s *Scheduler) PeerLost(now time.Time, ref instance.Ref, out *Output) {
	if p := s.findPeer(ref); p != nil {
		s.reclaim(now, p)
		s.setPeers(now, slices.DeleteFunc(slices.Clone(s.peers), func(o *peer) bool { return o == p }))
	}
	s.schedule(now, out)
}

func (s *Scheduler) setPeers(now time.Time, peers []*peer) {
	s.peers = peers
	if s.document != nil {
		s.setQuotas(now)
	}
	s.assignHolders(now)
}

func (s *Scheduler) findPeer(ref instance.Ref) *peer {
	for _, p := range s.peers {
		if p.ref == ref {
			return p
		}
	}
	return nil
}

func (s *Scheduler) peerOf(now time.Time, ref instance.Ref) *peer {
	if p := s.findPeer(ref); p != nil {
		return p
	}
	return &peer{ref: ref, lastReceived: now}
}

// assignHolders assigns each endpoint to a live instance by rendezvous hashing,
// so that a change of the instances moves few endpoints.
func (s *Scheduler) assignHolders(now time.Time) {
	for _, e := range s.endpoints {
		if h := s.holderOf(e.info.ID); h != e.holder {
			s.setHolder(now, e, h)
		}
	}
	s.recountLoans()
}

func (s *Scheduler) holderOf(id string) *peer {
	var holder *peer
	best := holderScore(s.settings.Self.ID, id)
	for _, p := range s.peers {
		if score := holderScore(p.ref.ID, id); score > best {
			best = score
			holder = p
		}
	}
	return holder
}

func holderScore(instanceID, endpointID string) uint64 {
	return xxhash.Sum64String(instanceID + "\x00" + endpointID)
}

// setHolder changes the holder of an endpoint. Slots in use by this instance
// count as borrowed from the new holder, which is sent a Want that lists them.
func (s *Scheduler) setHolder(now time.Time, e *endpointState, h *peer) {
	if e.heapIndex != notInHeap {
		e.heap().remove(e.heapIndex)
	}
	e.holder = h
	e.loans = nil
	e.lent = 0
	e.borrowed = 0
	e.unleased = 0
	e.unusedBorrowed = 0
	e.leaseEpoch = 0
	e.token++
	if h != nil {
		e.borrowed = e.running
		h.fullWantDue = h.fullWantDue || e.running > 0
	} else {
		s.pause(now, e, holderChangePause)
	}
	s.update(now, e)
}

// reclaim takes back all slots lent to the peer.
func (s *Scheduler) reclaim(now time.Time, p *peer) {
	p.demands = nil
	for _, e := range s.endpoints {
		if i := e.loanTo(p); i >= 0 {
			s.setLoan(now, e, i, 0)
		}
	}
}

// loanTo returns the index of the loan to the peer, or -1.
func (e *endpointState) loanTo(p *peer) int {
	return slices.IndexFunc(e.loans, func(l loan) bool { return l.borrower == p })
}

// lend lends a free slot of an own endpoint to the peer.
func (s *Scheduler) lend(now time.Time, e *endpointState, p *peer) {
	e.leaseEpoch++
	l := message.SlotLease{Endpoint: e.info.ID, Epoch: e.leaseEpoch, Slots: 1, Length: s.settings.LeaseLength}
	s.addLoan(now, e, p, l)
	p.pendingLeases = addLease(p.pendingLeases, l)
}

// addLease adds a lease to the leases of a message. It merges leases of the same
// endpoint and receiver.
func addLease(leases []message.SlotLease, l message.SlotLease) []message.SlotLease {
	for i := range leases {
		if leases[i].Endpoint == l.Endpoint && leases[i].To == l.To {
			leases[i].Slots += l.Slots
			leases[i].Epoch = l.Epoch
			return leases
		}
	}
	return append(leases, l)
}

// returnSlot returns a free borrowed slot to its holder.
func (s *Scheduler) returnSlot(now time.Time, e *endpointState) {
	if s.releaseBorrowed(now, e) {
		e.holder.pendingUnused++
		s.counters.SlotsUnused++
	}
	e.holder.pendingReturns = addLease(e.holder.pendingReturns, message.SlotLease{Endpoint: e.info.ID, Epoch: e.leaseEpoch, Slots: 1})
}

// transferSlot transfers a free borrowed slot to the peer with the more urgent
// demand, and notifies the holder. It returns the slot if the peer is the holder.
func (s *Scheduler) transferSlot(now time.Time, e *endpointState, to *peer) {
	if to == e.holder {
		s.returnSlot(now, e)
		return
	}
	if s.releaseBorrowed(now, e) {
		s.counters.Transferred++
	}
	to.pendingLeases = addLease(to.pendingLeases, message.SlotLease{Endpoint: e.info.ID, Epoch: e.leaseEpoch, Slots: 1, Length: s.settings.LeaseLength})
	e.holder.pendingReturns = addLease(e.holder.pendingReturns, message.SlotLease{Endpoint: e.info.ID, Epoch: e.leaseEpoch, Slots: 1, To: to.ref})
}

// releaseBorrowed removes a free slot from the borrowed ones, and reports
// whether it has started no task.
func (s *Scheduler) releaseBorrowed(now time.Time, e *endpointState) (unused bool) {
	unused = e.free <= e.unusedBorrowed
	if unused {
		e.unusedBorrowed--
	}
	e.borrowed--
	e.holder.borrowedFrom--
	s.update(now, e)
	return unused
}

// releaseIdle returns or transfers free borrowed slots that no task of this
// instance needs: at once if a peer has a demand for them, else after
// maxBorrowedIdle.
func (s *Scheduler) releaseIdle(now time.Time, out *Output) {
	for _, g := range s.groups {
		for i := 0; i < len(g.borrowed.items); {
			e := g.borrowed.items[i]
			if p, at := s.mostUrgentDemand(g.bit, nil); p != nil {
				p.deductDemand(at)
				s.transferSlot(now, e, p)
				continue
			}
			if now.Sub(e.idleSince) >= maxBorrowedIdle {
				s.returnSlot(now, e)
				continue
			}
			out.wakeAt(e.idleSince.Add(maxBorrowedIdle))
			i++
		}
	}
}

// expireLeases ends the leases to and from peers that have sent no message for
// the lease length. The holder waits a quarter longer than the borrower, so that
// the borrower stops using the slots first.
func (s *Scheduler) expireLeases(now time.Time, out *Output) {
	for _, p := range s.peers {
		silence := now.Sub(p.lastReceived)
		if p.borrowedFrom > 0 && silence > s.settings.LeaseLength {
			s.dropLeases(now, p)
		}
		if p.lentTo > 0 && silence > s.settings.LeaseLength+s.settings.LeaseLength/4 {
			s.revoke(now, p, out)
		}
	}
}

func (s *Scheduler) dropLeases(now time.Time, p *peer) {
	for _, e := range s.endpoints {
		if e.holder == p && e.borrowed > 0 {
			s.dropLease(now, e)
		}
	}
}

// revoke takes back all slots lent to the peer and notifies it with leases of 0
// slots.
func (s *Scheduler) revoke(now time.Time, p *peer, out *Output) {
	var leases []message.SlotLease
	for _, e := range s.endpoints {
		if e.loanTo(p) >= 0 {
			e.leaseEpoch++
			leases = append(leases, message.SlotLease{Endpoint: e.info.ID, Epoch: e.leaseEpoch})
		}
	}
	s.reclaim(now, p)
	out.send(s.settings.Self, p, message.Grant{Leases: leases})
}

// recountLoans recomputes lentTo and borrowedFrom of all peers.
func (s *Scheduler) recountLoans() {
	for _, p := range s.peers {
		p.lentTo = 0
		p.borrowedFrom = 0
	}
	for _, e := range s.endpoints {
		if e.holder != nil {
			e.holder.borrowedFrom += e.borrowed
		}
		for _, l := range e.loans {
			l.borrower.lentTo += l.slots
		}
	}
}

// flushLeases sends the pending leases and returns, at most one message of each
// kind for each peer.
func (s *Scheduler) flushLeases(out *Output) {
	for _, p := range s.peers {
		if len(p.pendingLeases) > 0 {
			s.counters.GrantsSent++
			out.send(s.settings.Self, p, message.Grant{Leases: p.pendingLeases, Want: p.receivedSequence})
			p.pendingLeases = nil
		}
		if len(p.pendingReturns) > 0 {
			s.counters.Returns++
			out.send(s.settings.Self, p, message.Return{Leases: p.pendingReturns, Unused: p.pendingUnused, Want: p.receivedSequence})
			p.pendingReturns = nil
			p.pendingUnused = 0
		}
	}
}
