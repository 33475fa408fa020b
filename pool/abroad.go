package pool

import "time"

const (
	// firstAbroadPause and longestAbroadPause bound how long nothing of
	// another data centre is claimed after a claim there was not answered; the
	// pause doubles.
	firstAbroadPause   = time.Second
	longestAbroadPause = 8 * time.Second
	// settleAbroad is how long after the first answered claim the others wait:
	// if it was a cut that has ended, the instances there are back by then and
	// tell what they hold.
	settleAbroad = 1200 * time.Millisecond
)

// abroad is what an instance knows of the way to another data centre. Its
// endpoints are claimed only while none of its instances can be reached, which
// may mean that they are gone or that the way is cut. A claim that arrives when
// a cut ends would take the endpoint from a sound holder, so one is tried first.
type abroad struct {
	// trying is the endpoint of the claim that has not been answered yet.
	trying string
	// after is until when nothing is claimed, and pauses counts the claims in
	// a row that were not answered.
	after  time.Time
	pauses int
	// answeredAt is when a claim was answered first; zero if none was since
	// the last that was not.
	answeredAt time.Time
}

// abroadOf returns what is known of the way to the endpoint's data centre, or
// nil if that is the own one.
func (m *Machine) abroadOf(h *held) *abroad {
	if h.info.DataCentre == m.cfg.Self.DataCentre {
		return nil
	}
	a, ok := m.abroad[h.info.DataCentre]
	if !ok {
		a = &abroad{}
		m.abroad[h.info.DataCentre] = a
	}
	return a
}

// mayClaimAbroad reports whether an endpoint of another data centre may be
// taken. Where half of the instances or fewer can be reached, it is this one
// that is cut off.
func (m *Machine) mayClaimAbroad(now time.Time, h *held) bool {
	if 2*(len(m.peers)+1) <= m.listed+1 {
		return false
	}
	a := m.abroadOf(h)
	if a.trying != "" || now.Before(a.after) {
		return false
	}
	return a.answeredAt.IsZero() || now.Sub(a.answeredAt) >= settleAbroad
}

// claimed notes a claim.
func (m *Machine) claimed(h *held) {
	if a := m.abroadOf(h); a != nil && a.answeredAt.IsZero() {
		a.trying = h.info.ID
	}
}

// claimAnswered notes that an endpoint can be reached.
func (m *Machine) claimAnswered(now time.Time, h *held) {
	a := m.abroadOf(h)
	if a == nil {
		return
	}
	if a.trying == h.info.ID {
		a.trying = ""
	}
	a.pauses = 0
	if a.answeredAt.IsZero() {
		a.answeredAt = now
	}
}

// claimUnanswered notes that a held or claimed endpoint can't be reached.
func (m *Machine) claimUnanswered(now time.Time, h *held) {
	a := m.abroadOf(h)
	if a == nil {
		return
	}
	a.trying = ""
	a.answeredAt = time.Time{}
	a.after = now.Add(min(firstAbroadPause<<min(a.pauses, 8), longestAbroadPause))
	a.pauses++
}
