package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStartedRunOfEarlierBoot guards against counting a run that an endpoint's
// earlier boot started, without an answer, as one that never began, after which its
// job could be refused as not run.
func TestStartedRunOfEarlierBoot(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	sim.addTrouble(50*time.Millisecond, trouble{problem: answerReset, kinds: []orderKind{startOrder}, share: 1})
	sim.addTrouble(400*time.Millisecond, trouble{problem: orderReset, kinds: []orderKind{stopOrder}, share: 1})
	c := sim.submit(0, routine, 4*time.Second, step(1, time.Second))
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	sim.endpoints[0].crash(100 * time.Millisecond)
	home := sim.instances[0].machine.tasks[taskName(c.job.ID, 0, 0)]
	for range 1000 {
		sim.advance(time.Millisecond)
		is.True(home.number == 1 && home.state == placed || home.job.possiblyStarted) // run 1 did start
	}
}
