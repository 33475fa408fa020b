package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// troubleShare is the share of orders that have each problem in these tests.
const troubleShare = 0.1

// orderKinds are the kinds of orders that a trouble may concern.
var orderKinds = []struct {
	name  string
	kinds []orderKind
}{
	{"starts", []orderKind{startOrder}},
	{"stops", []orderKind{stopOrder}},
	{"polls", []orderKind{pollOrder}},
	{"all", nil},
}

// TestOrderTroubles plays each problem of orders under load, for each kind of
// orders.
func TestOrderTroubles(t *testing.T) {
	t.Parallel()
	for _, p := range problems {
		for _, k := range orderKinds {
			t.Run(p.name+"/"+k.name, func(t *testing.T) {
				playTroubles(t, *firstScenario, trouble{problem: p, kinds: k.kinds, share: troubleShare})
			})
		}
	}
}

// TestOrderTroublesTogether plays each pair of problems of orders under load,
// once for all orders and once for random kinds of orders.
func TestOrderTroublesTogether(t *testing.T) {
	t.Parallel()
	for i, a := range problems {
		for j, b := range problems[:i] {
			t.Run(a.name+", "+b.name, func(t *testing.T) {
				playTroubles(t, *firstScenario, trouble{problem: a, share: troubleShare}, trouble{problem: b, share: troubleShare})
			})
			rng := rand.New(rand.NewPCG(uint64(i), uint64(j)))
			ka, kb := orderKinds[rng.IntN(len(orderKinds))], orderKinds[rng.IntN(len(orderKinds))]
			t.Run(fmt.Sprintf("%s (%s), %s (%s)", a.name, ka.name, b.name, kb.name), func(t *testing.T) {
				playTroubles(t, *firstScenario+1, trouble{problem: a, kinds: ka.kinds, share: troubleShare}, trouble{problem: b, kinds: kb.kinds, share: troubleShare})
			})
		}
	}
}

// playTroubles checks that no two runs of a task overlap under a load with the
// given troubles, that nothing is left afterwards, and that most jobs are served.
func playTroubles(t *testing.T, seed uint64, troubles ...trouble) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, seed, 4, 48)
	for _, o := range troubles {
		sim.addTrouble(2500*time.Millisecond, o)
	}
	sim.generateMixedLoad(2500*time.Millisecond, 0.6)
	sim.advance(5 * time.Second)
	sim.checkIdle()
	served, all := sim.served()
	t.Logf("%d of %d jobs served, %d starts, ends %v", served, all, sim.observer.starts, sim.observer.ends)
	is.True(served > all/2) // the system continues to serve
}
