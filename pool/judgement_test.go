package pool

import (
	"math"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

// servedShare returns the share of the submitted jobs of all queues that were
// answered in time to be useful.
func servedShare(tallies map[string]*tally) float64 {
	served, submitted := 0, 0
	for _, y := range tallies {
		served += y.inGoal + y.late
		submitted += y.submitted
	}
	return float64(served) / float64(max(submitted, 1))
}

// goalShare returns the share of the submitted jobs of all queues that were
// answered within their goals.
func goalShare(tallies map[string]*tally) float64 {
	inGoal, submitted := 0, 0
	for _, y := range tallies {
		inGoal += y.inGoal
		submitted += y.submitted
	}
	return float64(inGoal) / float64(max(submitted, 1))
}

// TestPartlyFailingEndpoints plays the users' mix of jobs while many endpoints
// fail half of their runs or refuse many starts. Such endpoints still do a part of
// their work, which is needed at the higher loads. A task has two to four
// attempts.
func TestPartlyFailingEndpoints(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		load float64
		// affected is the share of the endpoints that fail or refuse.
		affected, failShare, refuseShare float64
		minServed, minUrgentInGoal       float64
	}{
		// What is left is 0.4 + 0.6 * 0.5 of the room, in which 40 % fits and 70 %
		// fits if nothing is wasted.
		{"60 % fail half of their runs, load 40 %", 0.4, 0.6, 0.5, 0, 0.95, 0.5},
		{"60 % fail half of their runs, load 70 %", 0.7, 0.6, 0.5, 0, 0.8, 0.2},
		// A refused start costs a round trip, not a slot.
		{"half refuse 40 % of the starts, load 80 %", 0.8, 0.5, 0, 0.4, 0.9, 0.9},
		{"all refuse 40 % of the starts, load 80 %", 0.8, 1, 0, 0.4, 0.8, 0.9},
		{"all fail 20 % of their runs, load 60 %", 0.6, 1, 0.2, 0, 0.9, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := startSimulation(t, 1, 4, 28)
			for i, e := range sim.endpoints {
				if float64(i*11%28) < tt.affected*28 {
					e.failShare, e.refuseShare = tt.failShare, tt.refuseShare
				}
			}
			tallies := sim.generateMixedLoad(20*time.Second, tt.load)
			sim.advance(22 * time.Second)
			logTallies(t, tallies)
			served := servedShare(tallies)
			urgentShare, _ := tallies["urgent"].shares()
			t.Logf("served %.3f, in goal %.3f; %d ejections", served, goalShare(tallies), len(sim.logged(event.EndpointEjected, "")))
			if served < tt.minServed || urgentShare < tt.minUrgentInGoal {
				t.Errorf("served %.3f, urgent jobs in goal %.3f", served, urgentShare)
			}
		})
	}
}

// TestEndpointFailsEverything counts the runs that an endpoint draws that fails
// each run at once, which makes it look free.
func TestEndpointFailsEverything(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		load    float64
		maxRuns int
	}{
		// 5 in flight or started before the third failure, and the trials.
		{"load 30 %", 0.3, 12},
		{"load 80 %", 0.8, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := startSimulation(t, 1, 4, 28)
			tallies := sim.generateMixedLoad(15*time.Second, tt.load)
			sim.advance(5 * time.Second)
			e := sim.endpoints[9]
			e.fails, e.slowdown = true, 0.05
			before := e.startCount
			sim.advance(time.Second)
			first := e.startCount - before
			sim.advance(9 * time.Second)
			runs := e.startCount - before
			logTallies(t, tallies)
			t.Logf("%d runs in the first second, %d in 10 s", first, runs)
			if runs > tt.maxRuns {
				t.Errorf("%d runs failed on the endpoint", runs)
			}
		})
	}
}

// TestEndpointsOfSeveralSpeeds plays the users' mix on endpoints of three kinds
// with speeds 0.6, 1.0 and 1.6, at 80 % of their capacity. The goal of an urgent
// job leaves about 1.6 times its run time, so that each of its tasks can be done
// in time on all but the slowest kind. Of the runs of the tail, one in thirty,
// each makes its job late: (29/30)^8 = 0.76 of the urgent jobs have none.
func TestEndpointsOfSeveralSpeeds(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		tailShare float64
		load      float64
		minUrgent float64
	}{
		{"without a tail", 0, 0.8 * 1.067, 0.93},
		{"with a tail", 1.0 / 30, 0.8 * 1.067 / 1.2, 0.68},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sum := 0.0
			seeds := []uint64{1, 2, 3, 4}
			for _, seed := range seeds {
				sim := newSpeedFleet(t, seed, tt.tailShare)
				tallies := sim.generateMixedLoad(20*time.Second, tt.load)
				sim.advance(20 * time.Second)
				sim.checkIdle()
				share, _ := tallies["urgent"].shares()
				t.Logf("seed %d: urgent %.3f, all in goal %.3f, served %.3f", seed, share, goalShare(tallies), servedShare(tallies))
				sum += share
				sim.checkSpeeds()
			}
			if share := sum / float64(len(seeds)); share < tt.minUrgent {
				t.Errorf("%.3f of the urgent jobs are in goal", share)
			}
		})
	}
}

// checkSpeeds checks the learnt speeds. The kinds differ by a factor of 1.6, so
// that an error below 1.3 keeps them apart.
func (sim *simulation) checkSpeeds() {
	for _, n := range sim.instances {
		for _, e := range n.machine.held {
			learnt, samples := n.machine.judge.speeds.Speed(e.info.ID)
			actual := 1 / sim.byID[e.info.ID].slowdown
			if samples >= 16 && math.Abs(math.Log(learnt/actual)) > math.Log(1.3) {
				sim.t.Errorf("%s has speed %.2f, learnt is %.2f from %d samples", e.info.ID, actual, learnt, samples)
			}
		}
	}
}

// newSpeedFleet returns a simulation of endpoints of three kinds.
func newSpeedFleet(t testing.TB, seed uint64, tailShare float64) *simulation {
	sim := newSimulation(t, seed, 4, 28)
	kinds := []struct {
		label string
		speed float64
	}{{"slow", 0.6}, {"middle", 1}, {"fast", 1.6}}
	for i, e := range sim.endpoints {
		k := kinds[i/2%3] // both data centres have all kinds
		e.info.Labels = append([]string{k.label}, e.info.Labels...)
		e.slowdown, e.tailShare = 1/k.speed, tailShare
	}
	sim.listEndpoints()
	sim.advance(2 * time.Second)
	return sim
}

// TestPoisonJobs plays jobs whose tasks fail everywhere beside the users' mix of
// jobs. No endpoint may be ejected for them.
func TestPoisonJobs(t *testing.T) {
	t.Parallel()
	for _, every := range []time.Duration{400 * time.Millisecond, 50 * time.Millisecond} {
		sim := startSimulation(t, 1, 4, 28)
		end := sim.now.Add(20 * time.Second)
		var poison func()
		poison = func() {
			if sim.now.After(end) {
				return
			}
			c := sim.newJob(urgent, 2*time.Second, step(8, 20*time.Millisecond))
			c.job.Spec = "fails"
			sim.sendJob(c, sim.rng.IntN(4))
			sim.after(every, poison)
		}
		poison()
		tallies := sim.generateMixedLoad(20*time.Second, 0.5)
		sim.advance(22 * time.Second)
		logTallies(t, tallies)
		ejected := sim.logged(event.EndpointEjected, "")
		t.Logf("a poison job every %s: %d ejections, in goal %.3f", every, len(ejected), goalShare(tallies))
		if len(ejected) > 0 {
			t.Errorf("endpoints were ejected: %s", ejected)
		}
	}
}

// TestJobOfTask checks that the job's ID is found again, which may have dots.
func TestJobOfTask(t *testing.T) {
	t.Parallel()
	for _, id := range []string{"j1", "a.b", "a.0.1.2"} {
		if got := jobOfTask(taskName(id, 3, 12)); got != id {
			t.Errorf("job of a task of %s is %s", id, got)
		}
	}
	if got := jobOfTask("plain"); got != "plain" {
		t.Errorf("job of plain is %s", got)
	}
}

// TestFailedTaskAvoidsEndpoint checks that the attempts of a task are on different
// endpoints where there are enough of them.
func TestFailedTaskAvoidsEndpoint(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		endpoints, different int
	}{{28, 4}, {1, 1}} {
		sim := startSimulation(t, 1, 2, tt.endpoints)
		c := sim.newJob(urgent, 2*time.Second, step(1, 20*time.Millisecond))
		c.job.Spec = "fails"
		sim.sendJob(c, 0)
		sim.advance(2 * time.Second)
		different := 0
		for _, e := range sim.endpoints {
			if e.startCount > 0 {
				different++
			}
		}
		if len(c.answers) != 1 || different < tt.different {
			t.Errorf("%d endpoints: attempts on %d of them, %d answers", tt.endpoints, different, len(c.answers))
		}
	}
}
