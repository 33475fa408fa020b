package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/fault"
)

// finishStop reports whether an instance can finish its planned stop.
func (sim *simulation) finishStop(i int) (finished bool) {
	sim.input(sim.instances[i], func(m *Machine, _ *Output) { finished = m.FinishStop(sim.now) })
	return finished
}

func (sim *simulation) beginStop(i int, grace time.Duration) {
	end := sim.now.Add(grace)
	sim.input(sim.instances[i], func(m *Machine, out *Output) { m.BeginStop(sim.now, end, out) })
}

// TestFinishedStopRefusesJobs guards against a job that is admitted between the last look at the
// open jobs and the exit: its caller would get no answer.
func TestFinishedStopRefusesJobs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	first := sim.submit(0, routine, 2*time.Second, step(1, 100*time.Millisecond))
	sim.beginStop(0, 5*time.Second)
	is.True(!sim.finishStop(0)) // a job is open
	second := sim.submit(0, routine, 2*time.Second, step(1, 100*time.Millisecond))
	sim.advance(500 * time.Millisecond)
	for _, c := range []*callerJob{first, second} {
		is.Equal(len(c.answers), 1)
		is.True(c.answers[0] == nil)
	}
	is.True(sim.finishStop(0))
	starts := sim.observer.starts
	late := sim.submit(0, routine, 2*time.Second, step(1, 100*time.Millisecond))
	is.Equal(len(late.answers), 1) // at once
	is.Equal(late.answers[0].Kind, fault.Stopping)
	sim.advance(500 * time.Millisecond)
	is.Equal(sim.observer.starts, starts)
	sim.checkIdle()
}

// TestStopAwaitsRunsOfOtherHomes tests that a holder without jobs does not finish its
// planned stop while an endpoint that it holds has runs of another home.
func TestStopAwaitsRunsOfOtherHomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 2)
	c := sim.submit(0, routine, 4*time.Second, step(4, time.Second))
	sim.advance(200 * time.Millisecond)
	holder := sim.instances[1].machine
	is.Equal(len(holder.jobs), 0)
	is.True(holder.View(sim.now).Running > 0)
	sim.beginStop(1, 5*time.Second)
	is.True(!sim.finishStop(1))
	sim.advance(2 * time.Second)
	is.Equal(len(c.answers), 1)
	is.True(sim.finishStop(1))
}
