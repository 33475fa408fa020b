package pool

import "time"

// delivery is an order on its way from an instance to an endpoint.
type delivery struct {
	kind orderKind
	from *fakeInstance
	to   *fakeEndpoint
	// transfer is how long the instance's link needs for the order, and timeout
	// how long the instance waits for an answer that it does not get.
	transfer, timeout time.Duration
	// carryOut carries the order out at the endpoint, which calls answer with a
	// function that passes its reply to the instance.
	carryOut func(answer func(give func()))
	// fail gives the instance a reply without content.
	fail func(Reply)
}

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

// sendOrder delivers a start or a stop after the transfer time and returns the
// reply.
func (sim *simulation) sendOrder(n *fakeInstance, kind orderKind, o Order, transfer time.Duration, apply func(*fakeEndpoint) Reply, back func(Reply, *Machine, *Output)) {
	sent := sim.now
	e := sim.endpointAt(o)
	reply := func(r Reply) {
		r.Endpoint, r.Token, r.Sent = o.Endpoint.ID, o.Token, sent
		sim.input(n, func(m *Machine, out *Output) { back(r, m, out) })
	}
	sim.deliver(delivery{
		kind: kind, from: n, to: e, transfer: transfer, timeout: testOrderTimeout,
		carryOut: func(answer func(func())) {
			r := apply(e)
			answer(func() { reply(r) })
		},
		fail: reply,
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
	sim.deliver(delivery{
		kind: pollOrder, from: n, to: e, timeout: p.Wait + pollMargin,
		carryOut: func(answer func(func())) {
			e.poll(p, func(r PollReply) { answer(func() { reply(r) }) })
		},
		fail: func(r Reply) { reply(PollReply{Reply: r}) },
	})
}

// deliver delivers an order and its reply. A share of lateShare is not answered
// and is carried out seconds later. Other orders have the troubles of the
// simulation.
func (sim *simulation) deliver(d delivery) {
	if sim.isCutOff(d) {
		if sim.refuseConnections {
			sim.refuseConnection(d)
			return
		}
		sim.timeOut(d)
		return
	}
	if sim.rng.Float64() < sim.lateShare {
		sim.after(randomLateness(sim.rng), func() { d.carryOut(func(func()) {}) })
		sim.timeOut(d)
		return
	}
	f := sim.fateOf(d)
	if f == (fate{}) {
		sim.carryOut(d, f)
		return
	}
	sim.deliverTroubled(sim.withTimeout(d), f)
}

// deliverTroubled delivers an order to which something happens.
func (sim *simulation) deliverTroubled(d delivery, f fate) {
	if f.connectionRefused {
		sim.refuseConnection(d)
		return
	}
	if f.reset {
		sim.after(d.transfer+2*testOneWayDelay, func() { d.fail(Reply{Outcome: Unanswered}) })
	}
	if !f.lost {
		sim.carryOut(d, f)
	}
}

// carryOut delivers an order to its endpoint and returns the reply.
func (sim *simulation) carryOut(d delivery, f fate) {
	sim.after(d.transfer+testOneWayDelay+f.orderDelay, func() {
		if f.refused && d.to.up {
			r := d.to.reply(f.refusal)
			sim.giveBack(d, f, func() { d.fail(r) })
			return
		}
		d.carryOut(func(give func()) { sim.giveBack(d, f, give) })
	})
}

// giveBack delivers the reply to an order.
func (sim *simulation) giveBack(d delivery, f fate, give func()) {
	if f.answerLost {
		return
	}
	sim.after(testOneWayDelay+f.replyDelay, func() {
		if sim.isCutOff(d) {
			sim.timeOut(d)
			return
		}
		give()
	})
}

func (sim *simulation) refuseConnection(d delivery) {
	sim.after(testOneWayDelay, func() { d.fail(Reply{Outcome: ConnectionRefused}) })
}

// timeOut ends an order that gets no answer.
func (sim *simulation) timeOut(d delivery) {
	sim.after(d.timeout, func() { d.fail(Reply{Outcome: Unanswered}) })
}

// isCutOff reports whether the network between the sender and the receiver of an
// order is partitioned.
func (sim *simulation) isCutOff(d delivery) bool {
	return sim.unreachable[[2]int{d.from.index, d.to.index}]
}
