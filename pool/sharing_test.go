package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

// The targets of sharing. A caller pays for a slot that stands idle while its task
// waits, so offers may reserve 1 % of the slot time, which is less than the load
// that moves between two reports. One offer in six may be of no use: those that
// are on their way when an own slot serves the task, within one of about ten free
// slots a round trip.
const (
	maxOffersPerTaken = 1.2
	maxReservedShare  = 0.01
)

// offerCounts returns the sum of all instances' counts.
func (sim *simulation) offerCounts() OfferCounts {
	var sum OfferCounts
	for _, n := range sim.instances {
		if n.alive {
			sum = sum.plus(n.machine.offerCounts, 1)
		}
	}
	return sum
}

// plus returns the sum with the counts times sign.
func (c OfferCounts) plus(o OfferCounts, sign int) OfferCounts {
	return OfferCounts{
		Sent: c.Sent + sign*o.Sent, Taken: c.Taken + sign*o.Taken, Declined: c.Declined + sign*o.Declined, Expired: c.Expired + sign*o.Expired,
		Reserved: c.Reserved + time.Duration(sign)*o.Reserved, SlotTime: c.SlotTime + time.Duration(sign)*o.SlotTime,
	}
}

// offersPerTaken and reservedShare are the measures of the targets.
func (c OfferCounts) offersPerTaken() float64 { return float64(c.Sent) / float64(max(c.Taken, 1)) }
func (c OfferCounts) reservedShare() float64 {
	return float64(c.Reserved) / float64(max(c.SlotTime, 1))
}

// TestOffersSumToWaitingTasks answers the load at which some tasks wait while
// slots become free everywhere: the offers for each of them must sum to one, with
// 16 and with 29 peers, on machines of a whole core and of a seventh of one, which
// report rarely.
func TestOffersSumToWaitingTasks(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		instances int
		cores     float64
		load      float64
	}{{17, 1, 0.9}, {30, 1, 0.9}, {30, 1, 1.1}, {30, 0.144, 0.9}, {30, 0.144, 1.1}} {
		t.Run(fmt.Sprintf("%d instances of %.3f cores at %.1f", tt.instances, tt.cores, tt.load), func(t *testing.T) {
			sim := newFleetOfSize(t, 1, 4, tt.instances, 10*tt.instances, tt.cores)
			sim.advance(2 * time.Second)
			before, starts, messages := sim.offerCounts(), sim.observer.starts, sim.messages
			tallies := sim.generateMixedLoad(3*time.Second, tt.load)
			sim.advance(3 * time.Second)
			c := sim.offerCounts().plus(before, -1)
			logTallies(t, tallies)
			t.Logf("%d starts, %.1f messages each; offers: %d sent, %d taken, %d declined, %d expired, %.2f for each taken; %.2f %% of the slot time reserved",
				sim.observer.starts-starts, float64(sim.messages-messages)/float64(sim.observer.starts-starts),
				c.Sent, c.Taken, c.Declined, c.Expired, c.offersPerTaken(), 100*c.reservedShare())
			if c.offersPerTaken() > maxOffersPerTaken || c.reservedShare() > maxReservedShare {
				t.Errorf("%.2f offers for each taken one, %.2f %% of the slot time reserved", c.offersPerTaken(), 100*c.reservedShare())
			}
		})
	}
}

// checkCounts checks that a receiver can decode the counts of a report. It closes
// the stream of a message with a negative one.
func (sim *simulation) checkCounts(body message.Body) {
	var list []message.Capacity
	switch b := body.(type) {
	case message.FreeSlots:
		list = b.Capacities
	case message.DataCentreViews:
		for _, v := range b.Views {
			list = append(list, v.Capacities...)
		}
	}
	for _, c := range list {
		for _, w := range c.Backlog {
			if c.Slots < 0 || c.Free < 0 || w.Tasks < 0 || w.Share < 0 {
				sim.t.Errorf("%T has a negative count: %+v", body, c)
				return
			}
		}
	}
}

// received returns the body as a receiver decodes it. Receivers change the reports
// that they keep, and share no memory with each other or with the sender.
func received(body message.Body) message.Body {
	f, ok := body.(message.FreeSlots)
	if !ok {
		return body
	}
	f.Capacities = slices.Clone(f.Capacities)
	for i := range f.Capacities {
		c := &f.Capacities[i]
		c.Backlog, c.Arrivals = slices.Clone(c.Backlog), slices.Clone(c.Arrivals)
	}
	return f
}

// delayOf returns how long a message takes, which onMessage may change.
func (sim *simulation) delayOf(msg *message.Message) time.Duration {
	if sim.onMessage == nil {
		return testOneWayDelay
	}
	return testOneWayDelay + sim.onMessage(msg)
}
