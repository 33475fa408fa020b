package pool

import "time"

// The ways in which an offer ends.
const (
	offerTaken offerEnd = iota
	offerDeclined
	offerExpired
)

type (
	offerEnd uint8

	// OfferCounts counts the offers of slots that this instance has made to
	// peers since its start.
	OfferCounts struct {
		// Sent counts all offers. Taken led to a start, Declined were of no use
		// to the peer, and Expired were not answered in time or their peer was
		// lost.
		Sent, Taken, Declined, Expired int
		// Reserved is the total time for which slots were reserved by offers
		// that have ended, and SlotTime that for which this instance had slots.
		Reserved, SlotTime time.Duration
	}
)

// countEnd counts the end of an offer.
func (c *OfferCounts) countEnd(now time.Time, o *offer, end offerEnd) {
	c.Reserved += now.Sub(o.sentAt)
	switch end {
	case offerTaken:
		c.Taken++
	case offerDeclined:
		c.Declined++
	case offerExpired:
		c.Expired++
	}
}

// countSlotTime counts the slots of the held endpoints for the time since the
// last tick.
func (m *Machine) countSlotTime(since time.Duration) {
	for _, e := range m.held {
		if e.active && !e.info.Draining {
			m.offerCounts.SlotTime += time.Duration(m.sizesOf(e.info.Service).fits(e.info.Size, e.info.Slots) * float64(since))
		}
	}
}
