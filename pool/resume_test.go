package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/run"
)

// TestSubmitAfterSuspension tests that a request that may have waited unread during
// a suspension is refused, since its caller may have submitted the job elsewhere,
// and that later ones are served.
func TestSubmitAfterSuspension(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	n := sim.instances[0]
	sim.input(n, func(m *Machine, _ *Output) { m.RecordSuspension(2 * time.Second) })
	for range 2 {
		c := sim.submit(0, routine, 4*time.Second, step(1, 100*time.Millisecond))
		is.Equal(len(c.answers), 1)
		is.Equal(c.answers[0].Kind, fault.NotReady)
	}
	sim.advance(resumeTime)
	is.Equal(sim.observer.starts, 0)
	c := sim.submit(0, routine, 4*time.Second, step(1, 100*time.Millisecond))
	sim.advance(200 * time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestStartsInFlightAfterSuspension tests that an instance that stood still does not
// stop the runs whose answers wait unread: the missing answers are its own fault.
func TestStartsInFlightAfterSuspension(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	c := sim.submit(0, &longQueue, 20*time.Second, step(1, 2*time.Second))
	sim.suspend(0, 700*time.Millisecond) // before the answer is read
	sim.advance(2500 * time.Millisecond)
	is.Equal(sim.observer.ends[run.Stopped], 0)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}
