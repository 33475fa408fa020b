package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/run"
)

// TestSubmitAfterSuspension tests that a job that arrives after a suspension is not
// ended by it, though its submission is the first input that notices it.
func TestSubmitAfterSuspension(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	n := sim.instances[0]
	sim.input(n, func(m *Machine, _ *Output) { m.RecordSuspension(2 * time.Second) })
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
