package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// homeGoneTest is a failure of a job's home. Its endpoints have other runs, and
// lose all stops if stopsLost is set.
type homeGoneTest struct {
	name      string
	fail      func(sim *simulation)
	stopsLost bool
	otherRuns int
}

// TestHomeGoneWhileStopsAreLost tests that a task whose home is cut off from the
// holder, or is gone, does not start again while its run is on the endpoint. The
// holder can't stop the run if its stops have no effect, and it renews the lease
// for the other runs of the endpoint. The observer fails the test if a second run
// starts.
func TestHomeGoneWhileStopsAreLost(t *testing.T) {
	cutOff := func(sim *simulation) { sim.partitionInstances(0, 1, 4*time.Second) }
	killed := func(sim *simulation) { sim.kill(0, false) }
	tests := []homeGoneTest{
		{"cut off, stops arrive", cutOff, false, 12},
		{"cut off, stops are lost, no other runs", cutOff, true, 0},
		{"cut off, stops are lost, other runs keep the lease", cutOff, true, 12},
		{"killed, stops arrive", killed, false, 12},
		{"killed, stops are lost, no other runs", killed, true, 0},
		{"killed, stops are lost, other runs keep the lease", killed, true, 12},
		{"power loss, stops arrive", losePower, false, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

// TestPowerLossWhileStopsAreLost is like TestHomeGoneWhileStopsAreLost for a home
// whose loss the holder notices only by its silence.
func TestPowerLossWhileStopsAreLost(t *testing.T) {
	tests := []homeGoneTest{
		{"no other runs", losePower, true, 0},
		{"other runs keep the lease", losePower, true, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

func losePower(sim *simulation) { sim.kill(0, true) }

// run fails the home of a job, with or without stops that have an effect.
func (tt homeGoneTest) run(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 1, 1, 3, 6)
	sim.advance(2 * time.Second)
	if tt.otherRuns > 0 {
		sim.submit(1, &longQueue, 20*time.Second, Step{Tasks: tt.otherRuns, Needs: needs(1), Estimate: 5 * time.Second})
	}
	sim.advance(100 * time.Millisecond)
	c := sim.submit(0, &longQueue, 20*time.Second, Step{Tasks: 30, Needs: needs(1), Estimate: 5 * time.Second})
	sim.advance(100 * time.Millisecond)
	for _, e := range sim.endpoints {
		e.losesStops = tt.stopsLost
	}
	tt.fail(sim)
	sim.advance(4 * time.Second)
	is.True(sim.observer.startsByJob[c.job.ID] > 30) // tasks did start again
}
