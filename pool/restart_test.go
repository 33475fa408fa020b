package pool

import (
	"testing"
	"time"
)

// TestRetriesAfterFullRestart loses all instances under load for 1.7 s. Callers
// retry after 1.3 s, so that twice the usual number of jobs arrives when the
// instances are back and all slots are free. Jobs that can't meet their goal but
// can still be answered in time to be useful are served from the slots that the
// others leave. When they were refused, 0.19 of all jobs were.
func TestRetriesAfterFullRestart(t *testing.T) {
	t.Parallel()
	refused, late, onTime, all := 0, 0, 0, 0
	for seed := uint64(1); seed <= 5; seed++ {
		sim := restartUnderLoad(t, seed)
		all += len(sim.observer.jobs)
		for _, c := range sim.observer.jobs {
			switch {
			case len(c.answers) == 0:
			case c.answers[len(c.answers)-1] != nil:
				refused++
			case c.answeredAt.After(c.goal):
				late++
			default:
				onTime++
			}
		}
	}
	t.Logf("%d jobs: %d on time, %d late, %d refused", all, onTime, late, refused)
	if share := float64(refused) / float64(all); share > 0.1 {
		t.Errorf("%.3f of the jobs are refused", share)
	}
}

// restartUnderLoad returns the simulation of a load during which all instances
// are down for 1.7 s.
func restartUnderLoad(t *testing.T, seed uint64) *simulation {
	sim := newFleet(t, seed, 4, 9, 48)
	sim.advance(2 * time.Second)
	sim.generateMixedLoad(4*time.Second, 0.8)
	sim.advance(time.Second)
	for i := range sim.instances {
		sim.kill(i, false)
	}
	sim.advance(1700 * time.Millisecond)
	for i := range sim.instances {
		sim.startInstance(i)
	}
	sim.advance(6 * time.Second)
	return sim
}
