package pool

import (
	"fmt"
	"testing"
	"time"
)

// testInputTime is about the processor time of a real instance for one input.
const testInputTime = 200 * time.Microsecond

// playSmallInstances has a load on instances most of which have a third of the
// processor of the others, while the load balancer sends as many jobs to each. It
// compares the jobs within their goal with those of one queue that sees all slots.
func playSmallInstances(t *testing.T, load float64) {
	sim := newRegionalFleet(t, 29, 350)
	sim.inputTime = testInputTime
	tallies := sim.generateMixedLoad(4*time.Second, load)
	sim.advance(8 * time.Second)
	logTallies(t, tallies)
	sim.checkAgainstReference(tallies)
}

// TestPeakOfSmallInstances guards against small instances that have no time left to
// start tasks in: 0.83 of the urgent jobs were in their goal at 0.85 of all slots when
// endpoints were held in proportion to the square root of the processors.
func TestPeakOfSmallInstances(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.7, 0.85} {
		t.Run(fmt.Sprint(load), func(t *testing.T) { playSmallInstances(t, load) })
	}
}

// TestHighPeakOfSmallInstances is the same at 0.9 of all slots.
func TestHighPeakOfSmallInstances(t *testing.T) {
	t.Parallel()
	playSmallInstances(t, 0.9)
}
