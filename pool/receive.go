package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// Receive handles a message from a peer. It drops messages for another
// incarnation and messages from instances that have not joined: whatever a
// sender requested is void once its stream has ended.
func (m *Machine) Receive(now time.Time, msg message.Message, out *Output) {
	p, ok := m.peers[msg.From]
	if !ok || msg.To != m.cfg.Self.Ref {
		return
	}
	m.handleSuspension(now, out)
	switch b := msg.Body.(type) {
	case message.Status:
		m.handleStatus(p, b)
		m.handlePeerEvacuations(now, p, b.Evacuations, out)
	case message.FreeSlots:
		m.handleFreeSlots(now, p, b)
	case message.DataCentreViews:
		m.handleViews(now, p, b, out)
	case message.StartRun:
		m.startForPeer(now, p, b, out)
	case message.StopRun:
		m.stopByRef(now, msg.From, b.Run, out)
	case message.Runs:
		m.handleExpectedRuns(now, p, b, out)
	case message.RunUpdate:
		m.updateFreeSlots(p, b)
		m.handleRunUpdate(now, msg.From, b, out)
	case message.Offer:
		m.handleOffer(now, p, b, out)
	case message.Profiles:
		m.handleProfiles(now, p, b)
	case message.EndpointLosses:
		m.handleLosses(now, p, b, out)
	case message.Decline:
		if o := m.offers[b.Number]; o != nil && o.peer == p.info.Ref {
			p.clearShare(o.kind)
			m.removeOffer(now, b.Number, offerDeclined)
		}
	}
	m.advance(now, out)
}

// updateFreeSlots updates the free slots of the holder that reported a run.
func (m *Machine) updateFreeSlots(p *peer, u message.RunUpdate) {
	t := m.tasks[u.Run.Task]
	if t == nil {
		return
	}
	if c := p.capacity(t.job.Queue.Service); c != nil {
		c.Free = u.Free
	}
}

// startForPeer starts a task for a peer, or reports at once that it was not
// run.
func (m *Machine) startForPeer(now time.Time, p *peer, s message.StartRun, out *Output) {
	if s.Run.Number == 1 { // a task that is larger than the slot found for it is sent again
		m.countSize(s.Service, s.Needs, 1)
	}
	var e *endpointState
	if s.Offer != 0 {
		if o := m.offers[s.Offer]; o != nil && o.peer == p.info.Ref {
			e = m.removeOffer(now, s.Offer, offerTaken)
		}
	}
	if e == nil || !e.accepts(now, s) {
		e = m.pickEndpoint(now, s)
	}
	if e == nil || m.recentlyResumed(now) {
		m.send(p.info.Ref, message.RunUpdate{
			Run: s.Run, Status: run.NotRun,
		}, out)
		return
	}
	if m.hasRunOfOtherHome(s.Run.Task, p.info.Ref) {
		m.send(p.info.Ref, message.RunUpdate{Run: s.Run, Status: run.Unconfirmed, Endpoint: e.info.ID}, out)
		return
	}
	m.startRun(now, e, p.info.Ref, s, out)
}

// handleOffer uses the offered slot for the most urgent task that fits, or declines the
// offer. It declines too if that task is less urgent than those for which the holder
// offers the slot, which may know of others.
func (m *Machine) handleOffer(now time.Time, p *peer, o message.Offer, out *Output) {
	kind, ok := m.shares.OfferedKind(o.Service, p.info.Ref)
	for _, j := range m.queue {
		if j.Queue.Service != o.Service || p.closed {
			continue
		}
		if ok && kind.Compare(j.kind()) < 0 {
			break // a more urgent task of another home may fit
		}
		for i, t := range j.waiting {
			if m.waitsForReliable(now, t) {
				continue
			}
			s := m.startRequest(t)
			if !fitsWithin(s.Needs, o.Needs) || j.Steps[t.step].Spread > 0 || s.Requires != "" {
				continue
			}
			s.Offer = o.Number
			m.shares.Offered(now, o.Service, p.info.Ref, true)
			j.waiting = slices.Delete(j.waiting, i, i+1)
			m.placeOnPeer(t, p, s, out)
			if len(j.waiting) == 0 {
				m.dequeue(j)
			}
			return
		}
	}
	m.shares.Offered(now, o.Service, p.info.Ref, false)
	m.send(p.info.Ref, message.Decline{Number: o.Number}, out)
}

// HandleUnsent handles messages that were never sent: the runs that they
// request never began.
func (m *Machine) HandleUnsent(now time.Time, ms []message.Message, out *Output) {
	for _, msg := range ms {
		if s, ok := msg.Body.(message.StartRun); ok && msg.From == m.cfg.Self.Ref {
			m.handleRunUpdate(now, msg.To, message.RunUpdate{Run: s.Run, Status: run.NotRun}, out)
		}
	}
	m.advance(now, out)
}
