package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// Receive takes in a message of a peer. What is meant for another incarnation
// or comes from one that has not joined is dropped: what the sender asked for
// ends with its stream.
func (m *Machine) Receive(now time.Time, msg message.Message, out *Output) {
	p, ok := m.peers[msg.From]
	if !ok || msg.To != m.cfg.Self.Ref {
		return
	}
	switch b := msg.Body.(type) {
	case message.Standing:
		m.learnStanding(p, b)
	case message.Vacancies:
		p.learnVacancies(now, b)
	case message.StartRun:
		m.startFor(now, p, b, out)
	case message.StopRun:
		m.unwant(now, b.Run, out)
	case message.Runs:
		m.compareRuns(now, p, b, out)
	case message.RunUpdate:
		m.learnFree(p, b)
		m.updated(now, b, out)
	case message.Offer:
		m.takeOffer(now, p, b, out)
	case message.Decline:
		if o := m.offers[b.Number]; o != nil && o.peer == p.info.Ref {
			m.withdraw(b.Number)
		}
	}
	m.settle(now, out)
}

// learnFree takes in how many places the holder has left after a run ended.
func (m *Machine) learnFree(p *peer, u message.RunUpdate) {
	t := m.tasks[u.Run.Task]
	if t == nil {
		return
	}
	if r := p.room(t.job.Queue.Service); r != nil {
		r.Free = u.Free
	}
}

// startFor starts a task of a peer, or tells it at once that it was not run.
func (m *Machine) startFor(now time.Time, p *peer, s message.StartRun, out *Output) {
	var h *held
	if s.Offer != 0 {
		if o := m.offers[s.Offer]; o != nil && o.peer == p.info.Ref {
			h = m.withdraw(s.Offer)
		}
	}
	if h == nil || !h.takes(now, s) {
		h = m.pick(now, s)
	}
	if h == nil {
		m.send(p.info.Ref, message.RunUpdate{
			Run: s.Run, Status: run.NotRun,
		}, out)
		return
	}
	m.begin(now, h, p.info.Ref, s, out)
}

// takeOffer gives the offered place to the most urgent task that fits there,
// or gives it back.
func (m *Machine) takeOffer(now time.Time, p *peer, o message.Offer, out *Output) {
	for _, j := range m.queue {
		if j.Queue.Service != o.Service {
			continue
		}
		for i, t := range j.waiting {
			s := m.request(t)
			if !within(s.Needs, o.Needs) || len(s.Avoid) > 0 || s.Requires != "" {
				continue
			}
			s.Offer = o.Number
			j.waiting = slices.Delete(j.waiting, i, i+1)
			m.placeAt(t, p, s, out)
			if len(j.waiting) == 0 {
				m.dequeue(j)
			}
			return
		}
	}
	m.send(p.info.Ref, message.Decline{Number: o.Number}, out)
}

// Unsent takes in messages that never left: the runs that they ask for never
// began.
func (m *Machine) Unsent(now time.Time, ms []message.Message, out *Output) {
	for _, msg := range ms {
		if s, ok := msg.Body.(message.StartRun); ok && msg.From == m.cfg.Self.Ref {
			m.updated(now, message.RunUpdate{Run: s.Run, Status: run.NotRun}, out)
		}
	}
	m.settle(now, out)
}
