package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// TestAllEndpointsFailAtOnce lets all runs fail for a while, as when something that
// all endpoints need is lost. At most half of the endpoints may be without work at
// any time, and all of them must have it back soon after.
func TestAllEndpointsFailAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 28)
	tallies := sim.generateMixedLoad(20*time.Second, 0.6)
	sim.advance(3 * time.Second)
	for _, e := range sim.endpoints {
		e.fails = true
	}
	without := func() (n int) {
		for _, i := range sim.instances {
			for _, e := range i.machine.held {
				if e.active && e.usableSlots == 0 {
					n++
				}
			}
		}
		return n
	}
	most := 0
	for range 300 {
		sim.advance(10 * time.Millisecond)
		most = max(most, without())
	}
	for _, e := range sim.endpoints {
		e.fails = false
	}
	sim.advance(maxEjectionBackoff + 2*time.Second)
	t.Logf("at most %d endpoints without work, %d in the end; %d ejections withheld", most, without(), len(sim.logged(event.EjectionWithheld, "")))
	is.True(most <= 14)
	is.Equal(without(), 0)
	sim.advance(12 * time.Second)
	logTallies(t, tallies)
}
