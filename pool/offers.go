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
	// offerTime is how long an offered place is kept: several round trips
	// between data centres.
	offerTime = 30 * time.Millisecond
	// urgencyMargin is by how much a peer's task must be more urgent than an
	// own one of the same priority to go first: the way there and back.
	urgencyMargin = 10 * time.Millisecond
)

// offer is a place that is kept for a peer.
type offer struct {
	peer     instance.Ref
	endpoint *held
	needs    task.Needs
	until    time.Time
}

// peerWithRoom returns the peer to run a task, and counts a place of it as
// taken: one of the own data centre, or else that with the most free places.
func (m *Machine) peerWithRoom(service string, needs task.Needs) *peer {
	var best *message.Room
	var at *peer
	for _, p := range m.nearPeers {
		r := p.room(service)
		if r == nil || r.Free <= 0 || p.standing.Leaving || !within(needs, r.Largest) {
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
	return w.Slack - now.Sub(p.roomsAt)
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
