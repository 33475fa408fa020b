package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTaskOnEndpointThatRefusesAll tests that a task does not wait for ever for an
// endpoint that refuses all orders, polls included: its run ends with its lease, and
// the task starts elsewhere.
func TestTaskOnEndpointThatRefusesAll(t *testing.T) {
	for _, refusal := range []problem{refused, invalid} {
		t.Run(refusal.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 1, 2)
			c := sim.submit(0, &longQueue, 20*time.Second, step(1, 2*time.Second))
			sim.advance(300 * time.Millisecond)
			is.Equal(sim.observer.starts, 1)
			at := sim.instances[0].machine.tasks[taskName(c.job.ID, 0, 0)].endpoint
			sim.addTrouble(15*time.Second, trouble{problem: refusal, endpoint: sim.byID[at], share: 1})
			sim.advance(6 * time.Second)                                     // a lease, a stall and a run
			is.Equal(len(sim.observer.running[taskName(c.job.ID, 0, 0)]), 0) // the lease has ended the run
			is.Equal(sim.observer.starts, 2)                                 // the task starts elsewhere
			is.Equal(len(c.answers), 1)
		})
	}
}

// TestHungRunWithRefusedStops tests that a task whose run hangs starts elsewhere in
// time, though the endpoint refuses the run's stops.
func TestHungRunWithRefusedStops(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	for _, e := range sim.endpoints {
		e.hangs = true
	}
	c := sim.submit(0, &longQueue, 20*time.Second, step(1, 500*time.Millisecond))
	sim.advance(300 * time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	at := sim.instances[0].machine.tasks[taskName(c.job.ID, 0, 0)].endpoint
	for _, e := range sim.endpoints {
		e.hangs = e.info.ID == at
	}
	sim.addTrouble(15*time.Second, trouble{problem: refused, kinds: []orderKind{stopOrder}, endpoint: sim.byID[at], share: 1})
	sim.advance(6 * time.Second)
	is.Equal(sim.observer.starts, 2)
	is.Equal(len(c.answers), 1)
}
