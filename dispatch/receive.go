package dispatch

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

// maxMessageDelay is how long a message between instances may be in transit.
const maxMessageDelay = time.Second

// Receive handles a message from another instance. It ignores messages from
// instances that are not peers.
func (s *Scheduler) Receive(now time.Time, m message.Message, out *Output) {
	p := s.findPeer(m.From)
	if p == nil {
		return
	}
	p.lastReceived = now
	switch b := m.Body.(type) {
	case message.Want:
		s.handleWant(now, p, b)
	case message.Grant:
		s.handleGrant(now, p, b)
	case message.Return:
		s.handleReturn(now, p, b)
	}
	s.schedule(now, out)
}

func (s *Scheduler) handleWant(now time.Time, p *peer, w message.Want) {
	if w.Sequence <= p.receivedSequence {
		return
	}
	p.receivedSequence = w.Sequence
	p.demands = p.demands[:0]
	for _, d := range w.Demands {
		p.demands = append(p.demands, peerDemand{
			rank:      d.Rank,
			startBy:   now.Add(d.Slack),
			tasks:     d.Tasks,
			needs:     d.Needs,
			groupMask: s.fittingGroups(d.Needs),
		})
	}
	if !w.Full {
		return
	}
	s.reconcile(now, p, w.Held)
	if !s.sharesSlots(p) && now.Sub(p.lastFullSent) >= s.settings.LeaseLength/4 {
		p.fullWantDue = true
	}
}

// reconcile updates the loans to the peer to match the leases that it reports.
// It keeps a loan that the peer may not have received yet.
func (s *Scheduler) reconcile(now time.Time, p *peer, held []message.SlotLease) {
	for _, l := range held {
		e := s.endpointByID[l.Endpoint]
		if e == nil || e.holder != nil {
			continue
		}
		i := e.loanTo(p)
		if i < 0 {
			s.addLoan(now, e, p, l)
			continue
		}
		if e.loans[i].leaseEpoch <= l.Epoch {
			s.setLoan(now, e, i, l.Slots)
		}
	}
	for _, e := range s.endpoints {
		if i := e.loanTo(p); i >= 0 && !containsEndpoint(held, e.info.ID) && now.Sub(e.loans[i].lentAt) > maxMessageDelay {
			s.setLoan(now, e, i, 0)
		}
	}
}

func containsEndpoint(leases []message.SlotLease, id string) bool {
	for _, l := range leases {
		if l.Endpoint == id {
			return true
		}
	}
	return false
}

func (s *Scheduler) handleGrant(now time.Time, p *peer, g message.Grant) {
	for _, l := range g.Leases {
		e := s.endpointByID[l.Endpoint]
		if e == nil || e.holder == nil {
			continue
		}
		// A lease of 0 slots revokes the earlier ones, see revoke.
		if l.Slots == 0 {
			s.dropLease(now, e)
			continue
		}
		e.borrowed += l.Slots
		e.unusedBorrowed += l.Slots
		e.leaseEpoch = l.Epoch
		e.idleSince = now
		e.holder.borrowedFrom += l.Slots
		s.counters.SlotsBorrowed += uint64(l.Slots)
		if g.Want == p.sentSequence {
			p.deductSent(l.Slots)
		}
		s.update(now, e)
	}
}

// dropLease drops the borrowed slots of an endpoint whose lease has ended. Tasks
// on it keep running, but their slots are not used again.
func (s *Scheduler) dropLease(now time.Time, e *endpointState) {
	e.holder.borrowedFrom -= e.borrowed
	e.borrowed = 0
	e.unleased = e.running
	e.unusedBorrowed = 0
	e.token++
	s.update(now, e)
}

func (s *Scheduler) handleReturn(now time.Time, p *peer, r message.Return) {
	for _, l := range r.Leases {
		e := s.endpointByID[l.Endpoint]
		if e == nil || e.holder != nil {
			continue
		}
		if i := e.loanTo(p); i >= 0 {
			s.setLoan(now, e, i, e.loans[i].slots-l.Slots)
		}
		if to := s.findPeer(l.To); to != nil {
			s.addLoan(now, e, to, l)
			continue
		}
		if r.Want == p.sentSequence {
			p.deductSent(l.Slots)
		}
	}
}

// addLoan adds the slots of a lease to the loan to the peer.
func (s *Scheduler) addLoan(now time.Time, e *endpointState, p *peer, l message.SlotLease) {
	i := e.loanTo(p)
	if i < 0 {
		i = len(e.loans)
		e.loans = append(e.loans, loan{borrower: p})
	}
	e.loans[i].leaseEpoch = max(e.loans[i].leaseEpoch, l.Epoch)
	e.loans[i].lentAt = now
	s.setLoan(now, e, i, e.loans[i].slots+l.Slots)
}

// setLoan sets the number of slots of a loan and removes the loan if it is 0.
func (s *Scheduler) setLoan(now time.Time, e *endpointState, i, slots int) {
	l := &e.loans[i]
	slots = max(0, slots)
	e.lent += slots - l.slots
	l.borrower.lentTo += slots - l.slots
	l.slots = slots
	if slots == 0 {
		e.loans = slices.Delete(e.loans, i, i+1)
	}
	s.update(now, e)
}
