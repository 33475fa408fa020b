package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// tellSoon is the least time between two standings of which the second
	// has news that peers wait for: a few one-way delays between data
	// centres.
	tellSoon = 4 * time.Millisecond
	// tellLater is the same for news that only shift where tasks go first.
	tellLater = 40 * time.Millisecond
	// offerTime is how long an offered place is kept: several round trips
	// between data centres.
	offerTime = 30 * time.Millisecond
	// urgencyMargin is by how much a peer's task must be more urgent than an
	// own one of the same priority to go first: the way there and back.
	urgencyMargin = 10 * time.Millisecond
)

type (
	// standingState is what the peers were told.
	standingState struct {
		last message.Standing
		at   time.Time
		// urgent asks to tell all peers soon.
		urgent bool
		// newcomers have been told nothing yet.
		newcomers []instance.Ref
	}

	// offer is a place that is kept for a peer.
	offer struct {
		peer     instance.Ref
		endpoint *held
		needs    task.Needs
		until    time.Time
	}
)

// send sends a message to a peer.
func (m *Machine) send(to instance.Ref, body message.Body, out *Output) {
	out.Messages = append(out.Messages, message.Message{From: m.cfg.Self.Ref, To: to, Body: body})
}

// room returns what the peer told of a service, or nil.
func (p *peer) room(service string) *message.Room {
	for i := range p.told.Rooms {
		if p.told.Rooms[i].Service == service {
			return &p.told.Rooms[i]
		}
	}
	return nil
}

// peerWithRoom returns the peer to run a task, and counts a place of it as
// taken: one of the own data centre, or else that with the most free places.
func (m *Machine) peerWithRoom(service string, needs task.Needs) *peer {
	var best *message.Room
	var at *peer
	for _, p := range m.nearPeers {
		r := p.room(service)
		if r == nil || r.Free <= 0 || p.told.Leaving || !within(needs, r.Largest) {
			continue
		}
		near := p.info.DataCentre == m.cfg.Self.DataCentre
		if best == nil || r.Free > best.Free {
			best, at = r, p
		}
		if near {
			break
		}
	}
	if best == nil {
		return nil
	}
	best.Free--
	return at
}

// offerBefore offers free places to the peers' tasks that go before the job;
// every task goes before no job.
func (m *Machine) offerBefore(now time.Time, service string, j *homeJob, out *Output) {
	for {
		p, w := m.mostUrgentWait(now, service)
		if p == nil || j != nil && !goesBefore(now, p, w, j) {
			return
		}
		h := m.pick(now, message.StartRun{Service: service, Needs: w.Needs})
		if h == nil {
			return
		}
		w.Tasks--
		m.makeOffer(now, h, p, service, w.Needs, out)
	}
}

// mostUrgentWait returns the most urgent need that the peers have told.
func (m *Machine) mostUrgentWait(now time.Time, service string) (*peer, *message.Wait) {
	var at *peer
	var best *message.Wait
	for _, p := range m.nearPeers {
		r := p.room(service)
		if r == nil {
			continue
		}
		for i := range r.Waits {
			w := &r.Waits[i]
			if w.Tasks <= 0 {
				continue
			}
			if best == nil || w.Priority < best.Priority || w.Priority == best.Priority && p.slack(now, w) < at.slack(now, best) {
				at, best = p, w
			}
		}
	}
	return at, best
}

// slack returns how soon the peer's tasks must start.
func (p *peer) slack(now time.Time, w *message.Wait) time.Duration {
	return w.Slack - now.Sub(p.toldAt)
}

func goesBefore(now time.Time, p *peer, w *message.Wait, j *homeJob) bool {
	if w.Priority != j.Queue.Priority {
		return w.Priority < j.Queue.Priority
	}
	return p.slack(now, w)+urgencyMargin < j.startBy.Sub(now)
}

func (m *Machine) makeOffer(now time.Time, h *held, p *peer, service string, needs task.Needs, out *Output) {
	m.lastOffer++
	m.offers[m.lastOffer] = &offer{peer: p.info.Ref, endpoint: h, needs: needs, until: now.Add(offerTime)}
	h.used = sum(h.used, needs, 1)
	h.reserved++
	m.send(p.info.Ref, message.Offer{
		Number: m.lastOffer, Service: service, Needs: needs,
	}, out)
}

// withdraw ends the reservation of an offer and returns its endpoint.
func (m *Machine) withdraw(number uint64) *held {
	o, ok := m.offers[number]
	if !ok {
		return nil
	}
	delete(m.offers, number)
	if o.endpoint.reserved > 0 { // not if the endpoint was given up meanwhile
		o.endpoint.reserved--
		o.endpoint.used = sum(o.endpoint.used, o.needs, -1)
	}
	return o.endpoint
}

// offerNumbers returns the numbers of the open offers in their order.
func (m *Machine) offerNumbers() []uint64 { return slices.Sorted(maps.Keys(m.offers)) }

func (m *Machine) expireOffers(now time.Time) {
	for _, number := range m.offerNumbers() {
		if o := m.offers[number]; !now.Before(o.until) {
			m.withdraw(number)
		}
	}
}

func (m *Machine) dropOffers(ref instance.Ref) {
	for _, number := range m.offerNumbers() {
		if o := m.offers[number]; o.peer == ref {
			m.withdraw(number)
		}
	}
}

// tell sends the peers the own standing if it has changed.
func (m *Machine) tell(now time.Time, out *Output) {
	if due := m.standing.at.Add(tellSoon); now.Before(due) && len(m.standing.newcomers) == 0 {
		out.wakeAt(due)
		return
	}
	s := m.ownStanding(now)
	for _, ref := range m.standing.newcomers {
		if _, ok := m.peers[ref]; ok {
			m.send(ref, s, out)
		}
	}
	m.standing.newcomers = nil
	wait := m.newsWait(s)
	if wait < 0 {
		return
	}
	if due := m.standing.at.Add(wait); now.Before(due) {
		out.wakeAt(due)
		return
	}
	m.standing.last, m.standing.at, m.standing.urgent = s, now, false
	for _, p := range m.nearPeers {
		m.send(p.info.Ref, s, out)
	}
}

// newsWait returns how long after the last standing this one should be told;
// negative means that it has no news.
func (m *Machine) newsWait(s message.Standing) time.Duration {
	if m.standing.urgent {
		return tellSoon
	}
	wait := time.Duration(-1)
	for _, r := range s.Rooms {
		old := roomOf(m.standing.last, r.Service)
		switch {
		case (r.Free == 0) != (old.Free == 0), moreWaits(r.Waits, old.Waits):
			return tellSoon
		case r.Free != old.Free, r.Places != old.Places, r.Largest != old.Largest, !slices.Equal(r.Waits, old.Waits):
			wait = tellLater
		}
	}
	return wait
}

func roomOf(s message.Standing, service string) message.Room {
	for _, r := range s.Rooms {
		if r.Service == service {
			return r
		}
	}
	return message.Room{}
}

// moreWaits reports whether peers would offer too few or too many places by
// what they know.
func moreWaits(now, told []message.Wait) bool {
	if len(now) != len(told) {
		return true
	}
	for i := range now {
		if now[i].Priority != told[i].Priority || now[i].Tasks > told[i].Tasks {
			return true
		}
	}
	return false
}

// ownStanding returns what the peers should know of this instance.
func (m *Machine) ownStanding(now time.Time) message.Standing {
	s := message.Standing{Leaving: m.leaving, Version: m.version}
	for _, h := range m.ordered {
		if !h.held() {
			continue
		}
		s.Endpoints = append(s.Endpoints, h.info.ID)
		m.addRoom(&s, h.info.Service)
	}
	for _, j := range m.queue {
		r := m.addRoom(&s, j.Queue.Service)
		addWaits(now, r, j)
	}
	for i := range s.Rooms {
		r := &s.Rooms[i]
		r.Places, r.Free = m.totals(now, r.Service)
		r.Largest = m.largest(now, r.Service)
		if len(r.Waits) > 0 {
			r.Free = 0 // own tasks take what is left
		}
	}
	return s
}

func (m *Machine) addRoom(s *message.Standing, service string) *message.Room {
	for i := range s.Rooms {
		if s.Rooms[i].Service == service {
			return &s.Rooms[i]
		}
	}
	s.Rooms = append(s.Rooms, message.Room{Service: service})
	return &s.Rooms[len(s.Rooms)-1]
}

// addWaits adds the waiting tasks of a job, which is less urgent than those
// added before.
func addWaits(now time.Time, r *message.Room, j *homeJob) {
	last := len(r.Waits) - 1
	if last < 0 || r.Waits[last].Priority != j.Queue.Priority {
		r.Waits = append(r.Waits, message.Wait{Priority: j.Queue.Priority, Slack: max(j.startBy.Sub(now), 0)})
		last++
	}
	w := &r.Waits[last]
	for _, t := range j.waiting {
		step := j.Steps[t.step]
		w.Tasks++
		w.Work += step.Estimate
		w.Needs = larger(w.Needs, step.Needs)
	}
}

func larger(a, b task.Needs) task.Needs {
	return task.Needs{
		Cores:        max(a.Cores, b.Cores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
