package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	startOrder orderKind = iota
	stopOrder
	pollOrder
)

// maxReplyDelay and maxOrderDelay bound the delays of replies and of orders that
// are answered. The latter is shorter than an order's timeout.
const (
	maxReplyDelay = 100 * time.Millisecond
	maxOrderDelay = 200 * time.Millisecond
)

type (
	// orderKind is a kind of order to an endpoint.
	orderKind uint8

	// trouble happens to some of the orders.
	trouble struct {
		problem problem
		// kinds are the kinds of orders concerned; none means all.
		kinds []orderKind
		// endpoint is the only endpoint concerned; nil means all.
		endpoint *fakeEndpoint
		// share is the share of these orders.
		share float64
	}

	// problem is something that can go wrong with an order.
	problem struct {
		name string
		// cause changes the fate of an order to which it happens.
		cause func(f *fate, rng *rand.Rand)
	}

	// fate is what happens to one order.
	fate struct {
		// lost reports that the order does not arrive, and answerLost that its
		// answer does not. The sender waits for it until its timeout.
		lost, answerLost bool
		// reset reports that the sender finds its connection reset at once,
		// whatever happens to the order.
		reset bool
		// connectionRefused reports that the order is not sent, since no
		// connection could be opened.
		connectionRefused bool
		// refused reports that the endpoint answers with refusal and does
		// nothing.
		refused bool
		refusal Outcome
		// orderDelay and replyDelay are the additional times on the way to the
		// endpoint and back.
		orderDelay, replyDelay time.Duration
	}
)

// The problems of orders.
var (
	answerReset = problem{"answers are lost by a reset", func(f *fate, _ *rand.Rand) { f.answerLost, f.reset = true, true }}
	answerLost  = problem{"answers are lost", func(f *fate, _ *rand.Rand) { f.answerLost = true }}
	refused     = problem{"orders are refused", func(f *fate, _ *rand.Rand) { f.refused, f.refusal = true, Unhealthy }}
	invalid     = problem{"orders are invalid", func(f *fate, _ *rand.Rand) { f.refused, f.refusal = true, Invalid }}
	orderReset  = problem{"orders are lost by a reset", func(f *fate, _ *rand.Rand) { f.lost, f.reset = true, true }}
	orderLost   = problem{"orders are lost", func(f *fate, _ *rand.Rand) { f.lost = true }}
	late        = problem{"orders are late", func(f *fate, rng *rand.Rand) { f.answerLost, f.orderDelay = true, randomLateness(rng) }}
	lateReset   = problem{"orders are late after a reset", func(f *fate, rng *rand.Rand) { f.reset, f.orderDelay = true, randomLateness(rng) }}
	outlives    = problem{"orders outlive a reset", func(f *fate, rng *rand.Rand) { f.reset, f.orderDelay = true, randomTime(rng, maxOrderDelay) }}
	replyDelay  = problem{"replies are delayed", func(f *fate, rng *rand.Rand) { f.replyDelay = randomTime(rng, maxReplyDelay) }}
	orderDelay  = problem{"orders are delayed", func(f *fate, rng *rand.Rand) { f.orderDelay = randomTime(rng, maxOrderDelay) }}
	noConnect   = problem{"connections are refused", func(f *fate, _ *rand.Rand) { f.connectionRefused = true }}

	problems = []problem{answerReset, answerLost, refused, invalid, orderReset, orderLost, late, lateReset, outlives, replyDelay, orderDelay, noConnect}
)

func randomTime(rng *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(below)))
}

// randomLateness returns how late an order is carried out that was given up.
func randomLateness(rng *rand.Rand) time.Duration {
	return 2*time.Second + randomTime(rng, 10*time.Second)
}

// addTrouble adds a trouble for the given time.
func (sim *simulation) addTrouble(d time.Duration, t trouble) {
	sim.troubles = append(sim.troubles, &t)
	sim.after(d, func() {
		sim.troubles = slices.DeleteFunc(sim.troubles, func(o *trouble) bool { return o == &t })
	})
}

// orderFailures are the problems of orders as failures, which concern all
// endpoints or one of them.
func orderFailures() []failure {
	var list []failure
	for _, p := range problems {
		list = append(list, failure{p.name, func(sim *simulation) {
			t := trouble{problem: p, share: 0.1}
			if sim.rng.IntN(2) == 0 {
				t.endpoint, t.share = sim.randomEndpoint(), 0.5
			}
			sim.addTrouble(4*time.Second, t)
		}})
	}
	return list
}

// fateOf returns what happens to an order.
func (sim *simulation) fateOf(d delivery) fate {
	var f fate
	for _, t := range sim.troubles {
		if t.concerns(d) && sim.rng.Float64() < t.share {
			t.problem.cause(&f, sim.rng)
		}
	}
	return f
}

func (t *trouble) concerns(d delivery) bool {
	return t.share > 0 && (len(t.kinds) == 0 || slices.Contains(t.kinds, d.kind)) && (t.endpoint == nil || t.endpoint == d.to)
}

// withTimeout returns the delivery such that its sender gets one reply: the
// first, or Unanswered after the timeout.
func (sim *simulation) withTimeout(d delivery) delivery {
	settled := false
	settle := func(give func()) {
		if !settled {
			settled = true
			give()
		}
	}
	carryOut, fail := d.carryOut, d.fail
	d.carryOut = func(answer func(func())) {
		carryOut(func(give func()) { answer(func() { settle(give) }) })
	}
	d.fail = func(r Reply) { settle(func() { fail(r) }) }
	sim.timeOut(d)
	return d
}
