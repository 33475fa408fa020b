package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/sharing"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// offerTTL is how long an offered slot is reserved: several round trips
	// between data centres.
	offerTTL = 30 * time.Millisecond
	// urgencyMargin is how much more urgent a peer's task must be than an own
	// task of the same priority to be served before it: one round trip.
	urgencyMargin = 10 * time.Millisecond
)

// offer is a slot reserved for a peer.
type offer struct {
	peer     instance.Ref
	kind     sharing.Kind
	endpoint *endpointState
	needs    task.Needs
	sentAt   time.Time
	until    time.Time
}

// peerWithCapacity returns the peer that should run a task, and reduces its
// known free slots by one: the first peer of the local data centre with a free
// slot, or else the peer with the most free slots.
func (m *Machine) peerWithCapacity(service string, needs task.Needs) *peer {
	if m.usesViews() {
		return m.choosePeer(service, needs)
	}
	var best *message.Capacity
	var at *peer
	for _, p := range m.sortedPeers {
		c := p.capacity(service)
		if c == nil || c.Free <= 0 || p.closed || p.status.Draining || !fitsWithin(needs, c.Largest) {
			continue
		}
		local := p.info.DataCentre == m.cfg.Self.DataCentre
		if best == nil || c.Free > best.Free {
			best, at = c, p
		}
		if local {
			break
		}
	}
	if best == nil {
		return nil
	}
	best.Free--
	return at
}

// offerMoreUrgent offers free slots to peers with tasks that are more urgent
// than the job. If j is nil, it offers them for all waiting tasks of peers.
func (m *Machine) offerMoreUrgent(now time.Time, service string, j *homeJob, out *Output) {
	for {
		room := m.largestFree(now, service)
		p, w := m.mostUrgentBacklog(now, service, room)
		if p == nil || j != nil && !moreUrgent(now, p, w, j) {
			return
		}
		e := m.pickEndpoint(now, message.StartRun{Service: service, Needs: w.Needs})
		if e == nil {
			e = m.pickEndpoint(now, message.StartRun{Service: service, Needs: w.Smallest})
		}
		if e == nil {
			return
		}
		w.Tasks--
		w.Share--
		m.sendOffer(now, e, p, kindOf(service, *w), w.Needs.Min(e.remaining()), out)
	}
}

// mostUrgentBacklog returns the most urgent backlog of the peers of which this
// instance has a share, of those with a task that may fit into the room.
func (m *Machine) mostUrgentBacklog(now time.Time, service string, room task.Needs) (*peer, *message.WaitingTasks) {
	var at *peer
	var best *message.WaitingTasks
	for _, p := range m.sortedPeers {
		c := p.capacity(service)
		if c == nil {
			continue
		}
		for i := range c.Backlog {
			w := &c.Backlog[i]
			if w.Share <= 0 || !fitsWithin(w.Smallest, room) {
				continue
			}
			if best == nil || cmp.Or(kindOf(service, *w).Compare(kindOf(service, *best)), cmp.Compare(p.slack(now, w), at.slack(now, best))) < 0 {
				at, best = p, w
			}
		}
	}
	return at, best
}

// slack returns the time left until the first of the peer's tasks must start.
func (p *peer) slack(now time.Time, w *message.WaitingTasks) time.Duration {
	return w.Slack - now.Sub(p.capacitiesAt)
}

func moreUrgent(now time.Time, p *peer, w *message.WaitingTasks, j *homeJob) bool {
	if c := kindOf(j.Queue.Service, *w).Compare(j.kind()); c != 0 {
		return c < 0
	}
	return p.slack(now, w)+urgencyMargin < j.startBy.Sub(now)
}

func (m *Machine) sendOffer(now time.Time, e *endpointState, p *peer, kind sharing.Kind, needs task.Needs, out *Output) {
	m.lastOffer++
	m.offers[m.lastOffer] = &offer{peer: p.info.Ref, kind: kind, endpoint: e, needs: needs, sentAt: now, until: now.Add(offerTTL)}
	m.offerCounts.Sent++
	e.used = addScaled(e.used, needs, 1)
	e.reserved++
	out.wakeAt(now.Add(offerTTL))
	m.send(p.info.Ref, message.Offer{
		Number: m.lastOffer, Service: kind.Service, Needs: needs,
	}, out)
}

// removeOffer removes an offer that has ended and its reservation, and returns
// its endpoint, or nil if there is no such offer.
func (m *Machine) removeOffer(now time.Time, number uint64, end offerEnd) *endpointState {
	o, ok := m.offers[number]
	if !ok {
		return nil
	}
	delete(m.offers, number)
	m.offerCounts.countEnd(now, o, end)
	if o.endpoint.reserved > 0 { // zero if the endpoint was released meanwhile
		o.endpoint.reserved--
		o.endpoint.used = addScaled(o.endpoint.used, o.needs, -1)
	}
	return o.endpoint
}

// offerNumbers returns the numbers of the open offers in ascending order.
func (m *Machine) offerNumbers() []uint64 { return slices.Sorted(maps.Keys(m.offers)) }

// expireOffers removes the offers that were not answered in time, and requests a
// tick for the others.
func (m *Machine) expireOffers(now time.Time, out *Output) {
	for _, number := range m.offerNumbers() {
		o := m.offers[number]
		if now.Before(o.until) {
			out.wakeAt(o.until)
			continue
		}
		m.removeOffer(now, number, offerExpired)
	}
}

func (m *Machine) removeOffersTo(now time.Time, ref instance.Ref) {
	for _, number := range m.offerNumbers() {
		if o := m.offers[number]; o.peer == ref {
			m.removeOffer(now, number, offerExpired)
		}
	}
}
