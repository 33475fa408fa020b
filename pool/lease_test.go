package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/run"
)

// TestLeaseUnderCancellations tests that callers that leave one after another do not
// end the lease of other runs on the endpoint, though no stop is refused.
func TestLeaseUnderCancellations(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	sim.submit(0, &longQueue, 20*time.Second, step(1, 4*time.Second))
	sim.advance(50 * time.Millisecond)
	sim.addTrouble(5*time.Second, trouble{problem: replyDelay, kinds: []orderKind{stopOrder}, share: 1})
	for i := range 150 {
		sim.after(time.Duration(i)*20*time.Millisecond, func() {
			c := sim.submit(0, &longQueue, 20*time.Second, step(1, 4*time.Second))
			sim.after(60*time.Millisecond, func() { sim.disconnectCaller(c) })
		})
	}
	sim.advance(4 * time.Second)
	is.Equal(sim.observer.ends[run.Expired], 0)
}
