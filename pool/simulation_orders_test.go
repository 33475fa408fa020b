package pool

import (
	"time"
)

// transferStart returns how long the instance's link needs to send one more
// start.
func (sim *simulation) transferStart(n *fakeInstance) time.Duration {
	if sim.startTransferTime == 0 {
		return 0
	}
	if n.linkFreeAt.Before(sim.now) {
		n.linkFreeAt = sim.now
	}
	n.linkFreeAt = n.linkFreeAt.Add(sim.startTransferTime)
	return n.linkFreeAt.Sub(sim.now)
}

// sendOrder delivers an order to its endpoint after the transfer time and
// returns the reply. A share of lateShare is not answered and is carried out
// seconds later.
func (sim *simulation) sendOrder(n *fakeInstance, o Order, transfer time.Duration, apply func(*fakeEndpoint) Reply, back func(Reply, *Machine, *Output)) {
	sent := sim.now
	e := sim.endpointAt(o)
	reply := func(r Reply) {
		r.Endpoint, r.Token, r.Sent = o.Endpoint.ID, o.Token, sent
		sim.input(n, func(m *Machine, out *Output) { back(r, m, out) })
	}
	if sim.unreachable[[2]int{n.index, e.index}] {
		if sim.refuseConnections {
			sim.after(testOneWayDelay, func() { reply(Reply{Outcome: ConnectionRefused}) })
			return
		}
		sim.after(testOrderTimeout, func() { reply(Reply{Outcome: Unanswered}) })
		return
	}
	if sim.rng.Float64() < sim.lateShare {
		sim.after(2*time.Second+time.Duration(sim.rng.Int64N(int64(10*time.Second))), func() { apply(e) })
		sim.after(testOrderTimeout, func() { reply(Reply{Outcome: Unanswered}) })
		return
	}
	sim.after(transfer+testOneWayDelay, func() {
		r := apply(e)
		sim.after(testOneWayDelay, func() {
			if sim.unreachable[[2]int{n.index, e.index}] {
				sim.after(testOrderTimeout, func() { reply(Reply{Outcome: Unanswered}) })
				return
			}
			reply(r)
		})
	})
}

func (sim *simulation) endpointAt(o Order) *fakeEndpoint {
	e := sim.byID[o.Endpoint.ID]
	if e == nil {
		sim.t.Fatalf("order for unknown endpoint %s", o.Endpoint.ID)
	}
	return e
}

// sendPoll delivers a poll, which the endpoint may answer later.
func (sim *simulation) sendPoll(n *fakeInstance, p Poll) {
	sent := sim.now
	e := sim.endpointAt(p.Order)
	reply := func(r PollReply) {
		r.Endpoint, r.Token, r.Sent, r.LastEnd, r.Immediate = p.Endpoint.ID, p.Token, sent, p.LastEnd, p.Immediate
		sim.input(n, func(m *Machine, out *Output) { m.HandlePollReply(sim.now, r, out) })
	}
	timeOut := func() { sim.after(p.Wait+pollMargin, func() { reply(PollReply{Reply: Reply{Outcome: Unanswered}}) }) }
	if sim.unreachable[[2]int{n.index, e.index}] {
		if sim.refuseConnections {
			sim.after(testOneWayDelay, func() { reply(PollReply{Reply: Reply{Outcome: ConnectionRefused}}) })
			return
		}
		timeOut()
		return
	}
	if sim.rng.Float64() < sim.lateShare {
		sim.after(2*time.Second+time.Duration(sim.rng.Int64N(int64(10*time.Second))), func() { e.poll(p, func(PollReply) {}) })
		timeOut()
		return
	}
	sim.after(testOneWayDelay, func() {
		e.poll(p, func(r PollReply) {
			sim.after(testOneWayDelay, func() {
				if sim.unreachable[[2]int{n.index, e.index}] {
					timeOut()
					return
				}
				reply(r)
			})
		})
	})
}
