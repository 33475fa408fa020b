package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRunNumbersContinue guards against a message about a run of an earlier
// request for a job that is taken for one about a run of a later request.
func TestRunNumbersContinue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	c := sim.submit(0, &longQueue, 8*time.Second, step(1, 300*time.Millisecond))
	sim.advance(time.Second)
	is.Equal(len(c.answers), 1)
	sim.sendJob(c, 0)
	is.Equal(sim.instances[0].machine.tasks[taskName(c.job.ID, 0, 0)].number, int64(2)) // placed at once
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 2)
	sim.advance(2 * runNumberTTL)
	is.Equal(len(sim.instances[0].machine.runNumbers.byJob), 0)
	is.Equal(len(sim.instances[0].machine.runNumbers.ended), 0)
}
