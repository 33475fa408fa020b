package pool

import (
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/sharing"
)

// listedSlotsAge is how long the number of a peer's listed slots is used.
const listedSlotsAge = 200 * time.Millisecond

// divideBacklog divides the waiting tasks of the report among the recipients.
func (m *Machine) divideBacklog(now time.Time, v message.FreeSlots) {
	for k := range m.shares.Kinds() {
		if c := capacityOf(v.Capacities, k.Service); c == nil || waitingTasks(c.Backlog, k) == nil {
			m.shares.Divide(now, k, 0, nil)
		}
	}
	for _, c := range v.Capacities {
		if len(c.Backlog) == 0 {
			continue
		}
		receivers := m.receivers(now, c.Service)
		for i, w := range c.Backlog {
			k, shares := kindOf(c.Service, w), w.Share
			if i == 0 && w.Slack < sharing.Timeout && m.lessUrgentWait(now, k) {
				shares *= sharing.HoldersPerTask(receivers)
			}
			m.shares.Divide(now, k, shares, receivers)
		}
	}
}

// kindOf returns the kind of the waiting tasks of a service.
func kindOf(service string, w message.WaitingTasks) sharing.Kind {
	return sharing.Kind{Service: service, Priority: w.Priority, Late: w.Late}
}

// lessUrgentWait reports whether less urgent tasks of the service wait here or, as far as
// is known, at a peer.
func (m *Machine) lessUrgentWait(now time.Time, k sharing.Kind) bool {
	lessUrgent := func(w message.WaitingTasks) bool { return w.Tasks > 0 && k.Compare(kindOf(k.Service, w)) < 0 }
	if slices.ContainsFunc(m.queue, func(j *homeJob) bool { return j.Queue.Service == k.Service && k.Compare(j.kind()) < 0 }) {
		return true
	}
	return slices.ContainsFunc(m.sortedPeers, func(p *peer) bool {
		c := p.capacity(k.Service)
		return c != nil && now.Sub(p.capacitiesAt) <= maxReportAge && slices.ContainsFunc(c.Backlog, lessUrgent)
	})
}

// kind returns the kind of the job's tasks.
func (j *homeJob) kind() sharing.Kind {
	return sharing.Kind{Service: j.Queue.Service, Priority: j.Queue.Priority, Late: j.late}
}

// waitingTasks returns the tasks of that kind in a backlog, or nil.
func waitingTasks(backlog []message.WaitingTasks, k sharing.Kind) *message.WaitingTasks {
	for i := range backlog {
		if w := &backlog[i]; w.Priority == k.Priority && w.Late == k.Late {
			return w
		}
	}
	return nil
}

// receivers returns the recipients that may get shares of the waiting tasks of a
// service.
func (m *Machine) receivers(now time.Time, service string) []sharing.Receiver {
	var list []sharing.Receiver
	for _, p := range m.recipients() {
		if p.status.Draining || p.closed {
			continue
		}
		if n := m.slotsOf(now, p, service); n > 0 {
			list = append(list, sharing.Receiver{Ref: p.info.Ref, Slots: n})
		}
	}
	return list
}

// slotsOf returns how many slots of a service a peer has: as it reports, or, if
// it does not report to this instance, those of the listed endpoints that it
// holds.
func (m *Machine) slotsOf(now time.Time, p *peer, service string) int {
	if c := p.capacity(service); c != nil {
		return c.Slots
	}
	if p.listedSlots == nil || now.Sub(p.listedSlotsAt) > listedSlotsAge {
		p.listedSlots, p.listedSlotsAt = map[string]float64{}, now
		for _, id := range p.status.Endpoints {
			if e := m.endpoints[id]; e != nil && !e.info.Draining && !e.closed {
				p.listedSlots[e.info.Service] += m.sizesOf(e.info.Service).fits(e.info.Size, e.info.Slots)
			}
		}
	}
	return int(math.Round(p.listedSlots[service]))
}

// withChangedShare returns the recipients that do not know their share.
func (m *Machine) withChangedShare(recipients []*peer) []*peer {
	var list []*peer
	for _, p := range recipients {
		if m.shares.Unsent(p.info.Ref) {
			list = append(list, p)
		}
	}
	return list
}

// withShares returns the report with the receiver's shares.
func (m *Machine) withShares(v message.FreeSlots, to instance.Ref) message.FreeSlots {
	v.Capacities = slices.Clone(v.Capacities)
	for i := range v.Capacities {
		c := &v.Capacities[i]
		c.Backlog = slices.Clone(c.Backlog)
		for k := range c.Backlog {
			w := &c.Backlog[k]
			w.Share = m.shares.Of(kindOf(c.Service, *w), to)
		}
	}
	return v
}

// openOffers returns how many offers to the peer for that kind of tasks are
// open. The peer has not seen them when it sent a message that arrives now, since
// it answers each one at once and messages of a stream keep their order.
func (m *Machine) openOffers(to instance.Ref, k sharing.Kind) int {
	n := 0
	for _, o := range m.offers {
		if o.peer == to && o.kind == k {
			n++
		}
	}
	return n
}

// clearShare forgets the share of a kind of waiting tasks. None of them fits a slot here,
// or none is left.
func (p *peer) clearShare(k sharing.Kind) {
	if c := p.capacity(k.Service); c != nil {
		if w := waitingTasks(c.Backlog, k); w != nil {
			w.Share = 0
		}
	}
}

// clearShares forgets the shares of a peer whose stream has ended.
func (p *peer) clearShares() {
	for _, c := range p.capacities {
		for k := range c.Backlog {
			c.Backlog[k].Share = 0
		}
	}
}
