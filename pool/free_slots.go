package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// minSendInterval is the minimum time between two messages if the second
	// one has changes that peers wait for: a few one-way delays between data
	// centres.
	minSendInterval = 4 * time.Millisecond
	// shiftSendInterval is the minimum time between two messages if the second
	// one has changes that affect where peers place tasks, and
	// minorSendInterval the same for changes that hardly do.
	shiftSendInterval = 40 * time.Millisecond
	minorSendInterval = 200 * time.Millisecond
	// messageCost is the approximate processor time of one message to one peer.
	// backlogCPUShare and otherCPUShare are the shares of the processor for
	// grown backlogs and for all other changes. The target for all control work
	// is 3.9 % of the processor. backlogCPUShare may exceed it because backlogs
	// grow continuously only while many tasks wait.
	messageCost     = 40 * time.Microsecond
	backlogCPUShare = 0.05
	otherCPUShare   = 0.01
	// minShiftShare is the relative change in the number of free slots above
	// which peers should place tasks differently.
	minShiftShare = 0.2
)

// freeSlotsState is the last message.FreeSlots sent, and to which peers.
type freeSlotsState struct {
	lastSent   message.FreeSlots
	sentAt     time.Time
	recipients []*peer
}

// capacity returns the last capacity that the peer reported for a service, or
// nil.
func (p *peer) capacity(service string) *message.Capacity { return capacityOf(p.capacities, service) }

// capacityOf returns the capacity of a service, or nil.
func capacityOf(capacities []message.Capacity, service string) *message.Capacity {
	for i := range capacities {
		if capacities[i].Service == service {
			return &capacities[i]
		}
	}
	return nil
}

// handleFreeSlots handles a peer's report of its free slots and backlog.
func (p *peer) handleFreeSlots(now time.Time, v message.FreeSlots) {
	p.capacities, p.capacitiesAt = v.Capacities, now
}

// broadcastFreeSlots sends the own free slots and backlog to the recipients if
// they changed.
func (m *Machine) broadcastFreeSlots(now time.Time, out *Output) {
	if due := m.freeSlots.sentAt.Add(minSendInterval); now.Before(due) {
		out.wakeAt(due)
		return
	}
	v := m.ownFreeSlots(now)
	delay := m.sendDelay(v)
	if delay < 0 {
		return
	}
	if due := m.freeSlots.sentAt.Add(delay); now.Before(due) {
		out.wakeAt(due)
		return
	}
	m.freeSlots.lastSent, m.freeSlots.sentAt = v, now
	m.recordOwnReport(now, withFreeSlots, v.Capacities)
	m.clearFormerRecipients(m.recipients(), out)
	m.freeSlots.recipients = m.recipients()
	for _, p := range m.freeSlots.recipients {
		m.send(p.info.Ref, v, out)
	}
}

// clearFormerRecipients sends an empty report to the peers that are no longer
// recipients, so that they don't use the last one.
func (m *Machine) clearFormerRecipients(recipients []*peer, out *Output) {
	for _, p := range m.freeSlots.recipients {
		if m.peers[p.info.Ref] == p && !slices.Contains(recipients, p) {
			m.send(p.info.Ref, message.FreeSlots{}, out)
		}
	}
}

// sendDelay returns the minimum time between the last message and v; negative
// if v has no changes to send.
func (m *Machine) sendDelay(v message.FreeSlots) time.Duration {
	if len(v.Capacities) != len(m.freeSlots.lastSent.Capacities) {
		return minSendInterval
	}
	delay := time.Duration(-1)
	for _, c := range v.Capacities {
		var old message.Capacity
		if sent := capacityOf(m.freeSlots.lastSent.Capacities, c.Service); sent != nil {
			old = *sent
		}
		switch {
		case backlogGrew(c.Backlog, old.Backlog):
			return m.sendInterval(minSendInterval, backlogCPUShare)
		case (c.Free == 0) != (old.Free == 0), freeSlotsShifted(c.Free, old.Free), c.Slots != old.Slots, backlogShrank(c.Backlog, old.Backlog):
			delay = m.sendInterval(shiftSendInterval, otherCPUShare)
		case delay < 0 && (c.Free != old.Free || c.Largest != old.Largest):
			delay = m.sendInterval(minorSendInterval, otherCPUShare)
		}
	}
	return delay
}

// sendInterval returns the minimum time between two messages that may use that
// share of the processor. It is longer on a small machine and with many
// recipients.
func (m *Machine) sendInterval(shortest time.Duration, share float64) time.Duration {
	cost := time.Duration(len(m.recipients())) * messageCost
	return max(shortest, time.Duration(float64(cost)/(share*m.cfg.Self.Size())))
}

// freeSlotsShifted reports whether the number of free slots changed enough for
// peers to place tasks differently.
func freeSlotsShifted(current, sent int) bool {
	return float64(max(current, sent)-min(current, sent)) > minShiftShare*float64(max(current, sent))
}

// backlogGrew reports whether peers that know only the sent backlog would offer
// too few slots, or slots for less urgent tasks.
func backlogGrew(current, sent []message.WaitingTasks) bool {
	for _, w := range current {
		if w.Tasks > tasksOf(sent, w) {
			return true
		}
	}
	return false
}

// backlogShrank reports whether peers that know only the sent backlog would
// offer too many slots.
func backlogShrank(current, sent []message.WaitingTasks) bool {
	for _, w := range sent {
		if w.Tasks > tasksOf(current, w) {
			return true
		}
	}
	return false
}

// tasksOf returns the number of waiting tasks that are as urgent as w.
func tasksOf(backlog []message.WaitingTasks, w message.WaitingTasks) int {
	for _, o := range backlog {
		if o.Priority == w.Priority && o.Late == w.Late {
			return o.Tasks
		}
	}
	return 0
}

// ownFreeSlots returns the slots and the backlog of this instance by service.
func (m *Machine) ownFreeSlots(now time.Time) message.FreeSlots {
	var v message.FreeSlots
	for _, e := range m.held {
		findOrAddCapacity(&v, e.info.Service)
	}
	for _, j := range m.queue {
		addWaitingTasks(now, findOrAddCapacity(&v, j.Queue.Service), j)
	}
	for i := range v.Capacities {
		c := &v.Capacities[i]
		c.Slots, c.Free = m.slotTotals(now, c.Service)
		c.Largest = m.largestFree(now, c.Service)
		c.Arrivals = m.arrivals.rates(now, c.Service)
		if len(c.Backlog) > 0 {
			c.Free = 0 // own tasks take the remaining slots
		}
	}
	return v
}

// findOrAddCapacity returns the capacity of a service and adds an empty one if
// there is none.
func findOrAddCapacity(v *message.FreeSlots, service string) *message.Capacity {
	if c := capacityOf(v.Capacities, service); c != nil {
		return c
	}
	v.Capacities = append(v.Capacities, message.Capacity{Service: service})
	return &v.Capacities[len(v.Capacities)-1]
}

// addWaitingTasks adds the waiting tasks of a job. Jobs must be added in order
// of urgency.
func addWaitingTasks(now time.Time, c *message.Capacity, j *homeJob) {
	last := len(c.Backlog) - 1
	if last < 0 || c.Backlog[last].Priority != j.Queue.Priority || c.Backlog[last].Late != j.late {
		c.Backlog = append(c.Backlog, message.WaitingTasks{Priority: j.Queue.Priority, Late: j.late, Slack: max(j.startBy.Sub(now), 0)})
		last++
	}
	w := &c.Backlog[last]
	for _, t := range j.waiting {
		step := j.Steps[t.step]
		if w.Tasks == 0 {
			w.Smallest = step.Needs
		}
		w.Tasks++
		w.Share++
		w.Work += step.Estimate
		w.Needs = larger(w.Needs, step.Needs)
		w.Smallest = smaller(w.Smallest, step.Needs)
	}
}
