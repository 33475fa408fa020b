package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/run"
)

// TestLostStartWithRefusedStops guards against a task that waits for the stop of
// a run that never began.
func TestLostStartWithRefusedStops(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	sim.addTrouble(2*time.Second, trouble{problem: refused, kinds: []orderKind{stopOrder}, share: 1})
	sim.lateShare = 1
	c := sim.submit(0, routine, 4*time.Second, step(1, 500*time.Millisecond))
	sim.lateShare = 0
	sim.advance(2 * time.Second) // a lease and a run
	is.Equal(sim.observer.ends[run.Done], 1)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
	sim.checkIdle()
}

// TestLeaseEndsOrphanWithRefusedStops guards against renewing the lease of a run
// that nothing waits for and whose stops are refused: its caller may have
// submitted the job elsewhere.
func TestLeaseEndsOrphanWithRefusedStops(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	abandoned := sim.submit(0, routine, 5*time.Second, step(1, 4*time.Second))
	sim.submit(0, routine, 5*time.Second, step(1, time.Second))
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 2)
	sim.addTrouble(testRetryDelay, trouble{problem: refused, kinds: []orderKind{stopOrder}, share: 1})
	sim.disconnectCaller(abandoned)
	sim.advance(100 * time.Millisecond)
	sim.submit(0, routine, 5*time.Second, step(1, time.Second)) // would extend the lease
	sim.advance(testRetryDelay - 100*time.Millisecond)
	is.Equal(len(sim.observer.running[taskName(abandoned.job.ID, 0, 0)]), 0)
	sim.checkIdle()
}
