package pool

import (
	"testing"
	"time"
)

// playPeak has 1.4 times what all slots can serve for 1.2 s, while the answers to most
// jobs are of use for longer than what waits at the end of the peak takes. It compares
// the refusals with those of one queue that sees all slots.
func playPeak(t *testing.T, instances, endpoints int) {
	sim := newRegionalFleet(t, instances, endpoints)
	surge := func(elapsed time.Duration, _ string) float64 {
		if elapsed > 2*time.Second && elapsed < 3200*time.Millisecond {
			return 2
		}
		return 1
	}
	sim.runRegionalLoad(6*time.Second, regionalLoad{mean: 0.7, surge: surge}).checkRefusals(t)
}

// TestPeakShorterThanPatience guards against refusals in a short peak: 0.044 of the jobs
// were refused when one that could not meet its goal was admitted only to what all
// arriving work would leave.
func TestPeakShorterThanPatience(t *testing.T) {
	t.Parallel()
	playPeak(t, 30, 350)
}

// TestPeakOfSmallInstallation is the same with few slots.
func TestPeakOfSmallInstallation(t *testing.T) {
	t.Parallel()
	playPeak(t, 9, 48)
}
