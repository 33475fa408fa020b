package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// standingState is what all peers were told of this instance.
type standingState struct {
	last message.Standing
	at   time.Time
	// changed tells that there may be news.
	changed bool
	// newcomers have been told nothing yet.
	newcomers []instance.Ref
}

// send sends a message to a peer.
func (m *Machine) send(to instance.Ref, body message.Body, out *Output) {
	out.Messages = append(out.Messages, message.Message{From: m.cfg.Self.Ref, To: to, Body: body})
}

// tellStanding sends all peers what is held here if it has changed. That
// happens when instances or endpoints come and go, not with each task, so that
// it costs little however many peers there are.
func (m *Machine) tellStanding(now time.Time, out *Output) {
	if !m.standing.changed && len(m.standing.newcomers) == 0 {
		return
	}
	if due := m.standing.at.Add(tellSoon); now.Before(due) && len(m.standing.newcomers) == 0 {
		out.wakeAt(due)
		return
	}
	s := message.Standing{Leaving: m.leaving, Version: m.version}
	for _, h := range m.mine {
		s.Endpoints = append(s.Endpoints, h.info.ID)
	}
	m.introduce(s, out)
	m.standing.changed = false
	if last := m.standing.last; s.Leaving == last.Leaving && s.Version == last.Version && slices.Equal(s.Endpoints, last.Endpoints) {
		return
	}
	m.standing.last, m.standing.at = s, now
	for _, p := range m.nearPeers {
		m.send(p.info.Ref, s, out)
	}
}

// introduce tells the peers that have just joined all that others know.
func (m *Machine) introduce(s message.Standing, out *Output) {
	for _, ref := range m.standing.newcomers {
		if _, ok := m.peers[ref]; ok {
			m.send(ref, s, out)
		}
	}
	m.standing.newcomers = nil
}

// learnStanding takes in what a peer holds.
func (m *Machine) learnStanding(p *peer, s message.Standing) {
	if !p.introduced || s.Leaving != p.standing.Leaving {
		m.membersChanged()
	}
	if !slices.Equal(s.Endpoints, p.standing.Endpoints) {
		m.unsettled = true
	}
	p.standing, p.introduced = s, true
	p.holds = make(map[string]bool, len(s.Endpoints))
	for _, id := range s.Endpoints {
		p.holds[id] = true
	}
}

// hold adds an endpoint to those that are held here.
func (m *Machine) hold(h *held, token int64) {
	h.token = token
	i, _ := slices.BinarySearchFunc(m.mine, h, compareIDs)
	m.mine = slices.Insert(m.mine, i, h)
	m.standing.changed = true
}

// drop gives an endpoint up, and forgets all that only its holder knows.
func (m *Machine) drop(h *held) {
	h.clear()
	if i := slices.Index(m.mine, h); i >= 0 {
		m.mine = slices.Delete(m.mine, i, i+1)
		m.standing.changed = true
	}
}
