package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/fault"
)

// TestUnknownOnceNothingIsTried guards against a caller that waits until its deadline for a
// task that does not start again before it: the outcome is unknown once that is decided.
func TestUnknownOnceNothingIsTried(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, seed, 4, 48)
			c := sim.submitCrashing(int(seed)%4, 1, 60*time.Millisecond, 40*time.Second)
			sim.advance(maxCrashes * (crashDowntime + time.Second))
			starts := sim.observer.starts
			is.True(len(c.answers) > 0)
			is.Equal(c.answers[0].Kind, fault.OutcomeUnknown)
			sim.advance(40 * time.Second) // the caller asks elsewhere
			is.Equal(sim.observer.starts, starts)
		})
	}
}

// TestIsolatedHomesBoundStarts guards against a task that starts for the third time after
// it has crashed three endpoints, because the instances that its caller asks one after the
// other are cut off and don't know of its crashes.
func TestIsolatedHomesBoundStarts(t *testing.T) {
	t.Parallel()
	cuts := []struct {
		name string
		// cut reports whether two instances are cut off from each other.
		cut func(sim *simulation, home, a, b int) bool
	}{
		{"the home from all others", func(_ *simulation, home, a, _ int) bool { return a == home }},
		{"the data centres", func(sim *simulation, _, a, b int) bool { return a < b && sim.dataCentre(a) != sim.dataCentre(b) }},
		{"all from each other", func(_ *simulation, _, a, b int) bool { return a < b }},
	}
	for _, tt := range cuts {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				sim := startSimulation(t, seed, 4, 48)
				sim.crashedReturnSame = seed%2 == 0
				c := sim.submitCrashing(int(seed)%4, 1, 60*time.Millisecond, 50*time.Second)
				home := sim.homeOf(c)
				for a := range sim.instances {
					for b := range sim.instances {
						if a != b && tt.cut(sim, home, a, b) {
							sim.partitionInstances(a, b, time.Minute)
						}
					}
				}
				sim.advance(51 * time.Second) // the observer counts the starts
				name := taskName(c.job.ID, 0, 0)
				t.Logf("%d crashes, %d starts after three, answers %v", sim.observer.crashes[name], sim.observer.startsAfter[name], c.answers)
			})
		}
	}
}

// TestSilentCrashesAreBounded guards against a task that starts for the third time after it
// has crashed three endpoints, which refuse no connection while they are down.
func TestSilentCrashesAreBounded(t *testing.T) {
	t.Parallel()
	for _, tt := range crashCases {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				sim := startSimulation(t, seed, 4, 12)
				sim.crashedReturnSame = seed%2 == 0
				c := sim.submitCrashing(int(seed)%4, 1, 60*time.Millisecond, 50*time.Second)
				tt.disturb(sim, c)
				sim.every(time.Millisecond, c, func() {
					for _, e := range sim.endpoints {
						if !e.up && !sim.unreachable[[2]int{0, e.index}] {
							sim.isolateEndpoint(e.index, crashDowntime-5*time.Millisecond)
						}
					}
				})
				sim.advance(51 * time.Second) // the observer counts the starts
				name := taskName(c.job.ID, 0, 0)
				t.Logf("%d crashes, %d starts after three, answers %v", sim.observer.crashes[name], sim.observer.startsAfter[name], c.answers)
			})
		}
	}
}
