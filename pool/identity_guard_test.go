package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// TestOrphanUpdateOfAnotherHolder guards against forgetting an orphaned run because of
// an update of an instance that does not hold it.
func TestOrphanUpdateOfAnotherHolder(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 1, 1, 3, 6)
	sim.advance(2 * time.Second)
	home := sim.instances[0]
	c := sim.submit(0, &longQueue, 8*time.Second, step(1, 500*time.Millisecond))
	sim.advance(50 * time.Millisecond)
	name := taskName(c.job.ID, 0, 0)
	holder := home.machine.tasks[name].holder
	sim.disconnectCaller(c)
	_, ok := home.machine.orphans[name]
	is.True(ok)
	for _, n := range sim.instances[1:] {
		if n.self.Ref != holder {
			u := message.RunUpdate{Run: run.Ref{Task: name, Number: 1}, Status: run.Stopped}
			home.machine.Receive(sim.now, message.Message{From: n.self.Ref, To: home.self.Ref, Body: u}, &Output{})
			_, ok = home.machine.orphans[name]
			is.True(ok)
		}
	}
}

// TestOwnTaskBesideRunOfAnotherHome guards against a home that starts a task on its own
// endpoints while it has a run of the task there for another home.
func TestOwnTaskBesideRunOfAnotherHome(t *testing.T) {
	is := is.New(t)
	sim, m, a, _ := newHolder(t, 6)
	ref := run.Ref{Task: "j0001.0.0.0", Number: 1} // the first job of the simulation
	acceptStart(t, sim, m, receive(sim, m, a, startOf(ref)))
	for i, n := range sim.instances {
		if n.machine == m {
			c := sim.submit(i, &longQueue, 8*time.Second, step(1, 500*time.Millisecond))
			is.Equal(taskName(c.job.ID, 0, 0), ref.Task)
		}
	}
	is.True(!m.tasks[ref.Task].notBefore.IsZero()) // it waits for a lease
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 0)
}
