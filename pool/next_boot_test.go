package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateStartInNextBoot tests that a start that is carried out seconds later, by
// the next boot of the endpoint under the same ID, does not begin a second run of its
// task: its deadline is on the clock of the earlier boot. The observer fails the test
// if it does.
func TestLateStartInNextBoot(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	sim.advance(20 * time.Second) // the clocks are far ahead of those of a new boot
	// Other runs keep the instance in touch with both endpoints.
	sim.submit(0, &longQueue, 30*time.Second, Step{Tasks: 4, Needs: needs(4), Estimate: 8 * time.Second})
	sim.advance(100 * time.Millisecond)
	late := problem{"late", func(f *fate, _ *rand.Rand) { f.answerLost, f.orderDelay = true, 3*time.Second }}
	sim.addTrouble(time.Millisecond, trouble{problem: late, kinds: []orderKind{startOrder}, share: 1})
	c := sim.submit(0, &longQueue, 30*time.Second, step(1, 6*time.Second))
	name := taskName(c.job.ID, 0, 0)
	m := sim.instances[0].machine
	first := sim.byID[m.tasks[name].endpoint]
	m.endpoints[first.info.ID].health.backOff(sim.now) // the task starts elsewhere
	sim.advance(time.Second)
	is.True(m.tasks[name].endpoint != first.info.ID)
	is.Equal(sim.observer.startsByJob[c.job.ID], 1)
	first.crash(200 * time.Millisecond)
	sim.advance(4 * time.Second)
	is.Equal(sim.observer.startsByJob[c.job.ID], 1)
}
