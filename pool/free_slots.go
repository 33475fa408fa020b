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
	// shareSendInterval is the same for changed shares: a one-way delay. A holder
	// offers for a task that is gone until it hears of that.
	shareSendInterval = time.Millisecond
	// shiftSendInterval is the minimum time between two messages if the second
	// one has changes that affect where peers place tasks, and
	// minorSendInterval the same for changes that hardly do.
	shiftSendInterval = 40 * time.Millisecond
	minorSendInterval = 200 * time.Millisecond
	// messageCost is the approximate processor time of one message to one peer.
	// backlogCPUShare and otherCPUShare are the shares of the processor for
	// changed shares of backlogs and for all other changes. The target for all
	// control work is 3.9 % of the processor. backlogCPUShare may exceed it because
	// shares change continuously only while many tasks wait, and each change is one
	// message, without which a slot of the receiver stands idle.
	messageCost     = 60 * time.Microsecond
	backlogCPUShare = 0.1
	otherCPUShare   = 0.01
	// minShiftShare is the relative change in the number of free slots above
	// which peers should place tasks differently, and that of the waiting tasks
	// relative to the slots above which they should admit jobs differently. It is
	// the error that admission allows for; see loadErrorMargin.
	minShiftShare = 0.2
)

// freeSlotsState is the last message.FreeSlots sent, and to which peers.
type freeSlotsState struct {
	lastSent   message.FreeSlots
	sentAt     time.Time
	recipients []*peer
	// nextAt is when the next message to any of them may be sent.
	nextAt time.Time
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
func (m *Machine) handleFreeSlots(now time.Time, p *peer, v message.FreeSlots) {
	p.capacities, p.capacitiesAt = v.Capacities, now
	for i := range p.capacities {
		c := &p.capacities[i]
		for k := range c.Backlog {
			w := &c.Backlog[k]
			open := m.openOffers(p.info.Ref, kindOf(c.Service, *w))
			w.Share = max(min(w.Share, w.Tasks)-open, 0)
		}
	}
}

// broadcastFreeSlots sends the own free slots and backlog to the recipients if
// they changed, or only the shares of the backlog to those whose share changed.
func (m *Machine) broadcastFreeSlots(now time.Time, out *Output) {
	if due := m.freeSlots.nextAt; now.Before(due) {
		out.wakeAt(due)
		return
	}
	v := m.ownFreeSlots(now)
	m.divideBacklog(now, v)
	if due := m.shares.NextTimeout(now); !due.IsZero() {
		out.wakeAt(due)
	}
	recipients := m.recipients()
	if !m.viewDue(now, v, out) {
		recipients = m.withChangedShare(recipients)
	} else {
		m.freeSlots.lastSent, m.freeSlots.sentAt = v, now
		m.clearFormerRecipients(recipients, out)
		m.freeSlots.recipients = recipients
	}
	if len(recipients) == 0 {
		return
	}
	m.recordOwnReport(now, withFreeSlots, v.Capacities)
	m.freeSlots.nextAt = now.Add(m.sendInterval(len(recipients), shareSendInterval, backlogCPUShare))
	for _, p := range recipients {
		m.send(p.info.Ref, m.withShares(v, p.info.Ref), out)
		m.shares.Sent(p.info.Ref)
	}
}

// viewDue reports whether the free slots and the backlog must be sent to all
// recipients now.
func (m *Machine) viewDue(now time.Time, v message.FreeSlots, out *Output) bool {
	delay := m.sendDelay(v)
	if delay < 0 {
		return false
	}
	due := m.freeSlots.sentAt.Add(delay)
	if now.Before(due) {
		out.wakeAt(due)
		return false
	}
	return true
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
		case (c.Free == 0) != (old.Free == 0), freeSlotsShifted(c.Free, old.Free), c.Slots != old.Slots, backlogShifted(c.Backlog, old.Backlog, c.Slots), backlogShifted(old.Backlog, c.Backlog, c.Slots):
			delay = m.sendInterval(len(m.recipients()), shiftSendInterval, otherCPUShare)
		case delay < 0 && (c.Free != old.Free || c.Largest != old.Largest || c.Leaving != old.Leaving || c.Joining != old.Joining || backlogShifted(c.Backlog, old.Backlog, 0) || backlogShifted(old.Backlog, c.Backlog, 0)):
			delay = m.sendInterval(len(m.recipients()), minorSendInterval, otherCPUShare)
		}
	}
	return delay
}

// sendInterval returns the minimum time after a message to that many peers if
// messages may use that share of the processor.
func (m *Machine) sendInterval(recipients int, shortest time.Duration, share float64) time.Duration {
	cost := time.Duration(recipients) * messageCost
	return max(shortest, time.Duration(float64(cost)/(share*m.cfg.Self.Size())))
}

// freeSlotsShifted reports whether the number of free slots changed enough for
// peers to place tasks differently.
func freeSlotsShifted(current, sent int) bool {
	return float64(max(current, sent)-min(current, sent)) > minShiftShare*float64(max(current, sent))
}

// backlogShifted reports whether so many more tasks of some urgency wait in a than
// in b, beside the instance's slots, that peers should admit jobs differently.
func backlogShifted(a, b []message.WaitingTasks, slots int) bool {
	for _, w := range a {
		if float64(w.Tasks-tasksOf(b, w)) > minShiftShare*float64(slots) {
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
		m.announceCapacity(now, c)
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
		if step.Requires == "" && step.Spread == 0 {
			w.Share++ // others can't be started on an offered slot
		}
		w.Work += step.Estimate
		w.Needs = w.Needs.Max(step.Needs)
		w.Smallest = w.Smallest.Min(step.Needs)
	}
}
