package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateStartOnNewBoot guards against a start that was given up and reaches the endpoint's next boot, where the holder used the token of that start again.
func TestLateStartOnNewBoot(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	first, second := sim.endpoints[0], sim.endpoints[1]
	late := problem{"the start is 5 s late", func(f *fate, _ *rand.Rand) { f.answerLost, f.orderDelay = true, 5*time.Second }}
	sim.addTrouble(time.Millisecond, trouble{problem: late, kinds: []orderKind{startOrder}, endpoint: first, share: 1})
	sim.submit(0, &longQueue, 20*time.Second, step(1, 6*time.Second))
	sim.advance(20 * time.Millisecond)
	sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(12), Estimate: 8 * time.Millisecond}) // on second
	sim.advance(5 * time.Millisecond)
	sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(9), Estimate: 500 * time.Millisecond}) // on first
	sim.advance(time.Second)
	is.Equal(len(first.runs), 0)
	is.Equal(len(second.runs), 1) // run 2 of the task
	first.crash(300 * time.Millisecond)
	sim.advance(400 * time.Millisecond)
	sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(10), Estimate: 100 * time.Millisecond}) // on the new boot
	sim.advance(200 * time.Millisecond)
	sim.listEndpoints()
	sim.advance(8 * time.Second)
	sim.checkIdle()
}
