package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// statusState is the status last sent to all peers.
type statusState struct {
	lastSent message.Status
	sentAt   time.Time
	// changed reports that the status may differ from lastSent.
	changed bool
	// newPeers have not received a status yet.
	newPeers []instance.Ref
}

// send sends a message to a peer.
func (m *Machine) send(to instance.Ref, body message.Body, out *Output) {
	out.Messages = append(out.Messages, message.Message{From: m.cfg.Self.Ref, To: to, Body: body})
}

// broadcastStatus sends this instance's status to all peers if it changed, and
// to new peers. It changes when instances or endpoints come and go, not with
// each task, so this is cheap even with many peers.
func (m *Machine) broadcastStatus(now time.Time, out *Output) {
	if !m.status.changed && len(m.status.newPeers) == 0 {
		return
	}
	if due := m.status.sentAt.Add(minSendInterval); now.Before(due) && len(m.status.newPeers) == 0 {
		out.wakeAt(due)
		return
	}
	s := message.Status{Draining: m.draining, Version: m.configVersion, DataCentres: m.membership.connected, Evacuations: m.evacuations.inForce}
	for _, e := range m.held {
		s.Endpoints = append(s.Endpoints, e.info.ID)
	}
	m.sendStatusToNewPeers(s, out)
	m.status.changed = false
	if last := m.status.lastSent; !m.evacuations.unsent && s.Draining == last.Draining && s.Version == last.Version && slices.Equal(s.Endpoints, last.Endpoints) && slices.Equal(s.DataCentres, last.DataCentres) {
		return
	}
	m.status.lastSent, m.status.sentAt = s, now
	m.evacuations.unsent = false
	for _, p := range m.sortedPeers {
		m.send(p.info.Ref, s, out)
	}
}

// sendStatusToNewPeers sends the current status to the peers that have just
// joined.
func (m *Machine) sendStatusToNewPeers(s message.Status, out *Output) {
	for _, ref := range m.status.newPeers {
		if _, ok := m.peers[ref]; ok {
			m.send(ref, s, out)
		}
	}
	m.status.newPeers = nil
}

// handleStatus handles a peer's status.
func (m *Machine) handleStatus(p *peer, s message.Status) {
	previous, first := p.status, !p.statusReceived
	p.status, p.statusReceived = s, true
	switch {
	case first || s.Draining != previous.Draining:
		m.peerChanged(p)
	case !slices.Equal(s.DataCentres, previous.DataCentres):
		m.updateReachable()
	}
	if slices.Equal(s.Endpoints, previous.Endpoints) {
		return
	}
	m.reassignNeeded = true
	p.holds = make(map[string]bool, len(s.Endpoints))
	for _, id := range s.Endpoints {
		p.holds[id] = true
	}
	m.updatePeerClosed(p)
}

// holdEndpoint adds an endpoint to the held ones.
func (m *Machine) holdEndpoint(e *endpointState, token int64) {
	e.token = token
	i, _ := slices.BinarySearchFunc(m.held, e, compareIDs)
	m.held = slices.Insert(m.held, i, e)
	m.status.changed = true
}

// releaseEndpoint releases an endpoint and clears the state that only its
// holder has.
func (m *Machine) releaseEndpoint(now time.Time, e *endpointState) {
	m.judgeReleased(now, e)
	e.reset()
	if i := slices.Index(m.held, e); i >= 0 {
		m.held = slices.Delete(m.held, i, i+1)
		m.status.changed = true
	}
}
