package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/run"
)

// seventhGone plays the users' mix at 80 % of the slots, while a seventh of the
// endpoints take no more work from the third second on: with notice, they leave 2 s
// later, and without, they are gone at once. Replacements come 4 s after the end of the
// notice in both. The jobs are the same.
func seventhGone(t *testing.T, seed uint64, notice bool) (*simulation, map[string]*tally) {
	sim := startSimulation(t, seed, 4, 28)
	tallies := sim.generateMixedLoad(14*time.Second, 0.8)
	gone := slices.Clone(sim.endpoints[8:12])
	for _, e := range gone {
		sim.after(3*time.Second, func() {
			if notice {
				e.leave(2*time.Second, 2*time.Second)
			} else {
				e.down()
				sim.after(listDelay, sim.listEndpoints)
			}
			e.replaceAfter(6*time.Second, 0)
		})
	}
	sim.advance(18 * time.Second)
	sim.checkIdle()
	return sim, tallies
}

// TestSeventhOfEndpointsGone answers a seventh of the endpoints being taken away 2 s
// after the notice at 80 % load. Tasks of 0.9 s that run when the notice comes can end
// in its 2 s, so that none may be lost; and the callers must be better off for the
// notice, in each queue but for a job in two hundred. 0.9 is what urgent callers get at
// 80 % load (TestLoads).
func TestSeventhOfEndpointsGone(t *testing.T) {
	t.Parallel()
	with, without := map[string]*tally{}, map[string]*tally{}
	for seed := uint64(1); seed <= 4; seed++ {
		sim, tallies := seventhGone(t, seed, true)
		addTallies(with, tallies)
		for _, e := range sim.endpoints[8:12] {
			if lost := e.lostRuns; lost > 0 {
				t.Errorf("seed %d: %d runs are lost with %s", seed, lost, e.info.ID)
			}
		}
		_, tallies = seventhGone(t, seed, false)
		addTallies(without, tallies)
	}
	t.Log("with notice:")
	logTallies(t, with)
	t.Log("without:")
	logTallies(t, without)
	all, allWithout := 0, 0
	for name, y := range with {
		share, _ := y.shares()
		other, _ := without[name].shares()
		if share < other-0.005 || y.failed > 0 {
			t.Errorf("%s: %.3f within their goal with notice, %.3f without; %d failed with notice", name, share, other, y.failed)
		}
		all += y.inGoal
		allWithout += without[name].inGoal
	}
	if all < allWithout {
		t.Errorf("%d jobs within their goal with notice, %d without", all, allWithout)
	}
	if share, _ := with["urgent"].shares(); share < 0.9 {
		t.Errorf("%.3f of the urgent jobs are within their goal", share)
	}
}

func addTallies(sum, tallies map[string]*tally) {
	for name, y := range tallies {
		if sum[name] == nil {
			sum[name] = &tally{}
		}
		s := sum[name]
		s.submitted += y.submitted
		s.inGoal += y.inGoal
		s.late += y.late
		s.refused += y.refused
		s.failed += y.failed
	}
}

// TestRunOutlastsEndpoint answers tasks of 3 s on an endpoint that announces to leave
// in 2 s. A task that has just begun must be answered within its goal, which is 9.8 s,
// and before the 7 s that its loss would take: the endpoint's end at 2.3 s, 1.7 s until
// the loss is proved, and a new run.
func TestRunOutlastsEndpoint(t *testing.T) {
	t.Parallel()
	second := time.Second
	tests := []struct {
		name   string
		takes  time.Duration // the run time; the estimate is 3 s
		before time.Duration // from the start to the notice
		notice time.Duration
		stays  time.Duration
		change func(e *fakeEndpoint) // half a second after the notice
		moved  bool
		by     time.Duration // the answer, after the start
	}{
		{"leaves as announced", 3 * second, 300 * time.Millisecond, 2 * second, 2 * second, nil, true, 4 * second},
		{"leaves earlier, before it is noticed", 3 * second, 300 * time.Millisecond, 2 * second, 100 * time.Millisecond, nil, false, 6 * second},
		{"stays longer than announced", 3 * second, 300 * time.Millisecond, second, 8 * second, nil, true, 4 * second},
		{"the run ends in time", 3 * second, 1500 * time.Millisecond, 2 * second, 2 * second, nil, false, 3100 * time.Millisecond},
		{"the run is shorter than estimated", 1800 * time.Millisecond, 300 * time.Millisecond, 2 * second, 2 * second, nil, false, 1900 * time.Millisecond},
		{"the remaining time shrinks", 3 * second, 300 * time.Millisecond, 5 * second, 2 * second, func(e *fakeEndpoint) {
			e.leaving.at = e.sim.now.Add(1500 * time.Millisecond)
		}, true, 4500 * time.Millisecond},
		{"a malformed remaining time", 3 * second, 300 * time.Millisecond, 2 * second, 5 * second, func(e *fakeEndpoint) {}, false, 3100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 4, 12)
			c := sim.newJob(&longQueue, 9*second, Step{Tasks: 1, Needs: needs(6.8), Estimate: 3 * second})
			c.runTime, c.tally = tt.takes, &tally{}
			submitted := sim.now
			sim.sendJob(c, 0)
			sim.advance(tt.before)
			e := sim.endpointOf(c)
			e.leaving.malformed = tt.name == "a malformed remaining time"
			e.leave(tt.notice, tt.stays)
			if tt.change != nil {
				sim.after(500*time.Millisecond, func() { tt.change(e) })
			}
			sim.advance(9 * second)
			is.Equal(len(c.answers), 1)
			is.True(c.answers[0] == nil)
			is.Equal(len(sim.logged(event.RunMoved, "")) > 0, tt.moved)
			is.True(!c.answeredAt.After(submitted.Add(tt.by)))
			if e.leaving.malformed {
				is.Equal(len(sim.logged(event.RemainingTimeInvalid, e.info.ID)), 1) // once for all polls
			}
			if tt.moved {
				is.Equal(sim.observer.ends[run.Stopped], 1)
			}
		})
	}
}

// endpointOf returns the endpoint that has the only run of a job.
func (sim *simulation) endpointOf(c *callerJob) *fakeEndpoint {
	for id := range sim.observer.running[taskName(c.job.ID, 0, 0)] {
		return sim.byID[id]
	}
	sim.t.Fatalf("job %s has no run", c.job.ID)
	return nil
}

// TestRunStaysWithoutOtherSlot answers endpoints that leave while all other slots are
// taken: a run that would outlast its endpoint goes on, since its task could not start
// elsewhere, and ends there if the endpoint stays longer than announced.
func TestRunStaysWithoutOtherSlot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 4)
	var jobs []*callerJob
	for range 8 { // two on each endpoint
		jobs = append(jobs, sim.submit(0, &longQueue, 9*time.Second, step(1, 3*time.Second)))
	}
	sim.advance(300 * time.Millisecond)
	sim.endpoints[0].leave(time.Second, 5*time.Second)
	sim.advance(3 * time.Second)
	for _, c := range jobs {
		is.Equal(len(c.answers), 1)
		is.True(c.answers[0] == nil)
	}
	is.Equal(sim.observer.ends[run.Stopped], 0)
}

// TestHolderLostWhileEndpointLeaves answers the loss of the holder of an endpoint that
// has told only that holder that it leaves: the next one learns the rest of the time
// with its first poll, before it starts anything there.
func TestHolderLostWhileEndpointLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 3, 6)
	sim.advance(2 * time.Second)
	sim.submit(0, &longQueue, 9*time.Second, step(12, 500*time.Millisecond))
	sim.advance(100 * time.Millisecond)
	e := sim.endpoints[0]
	e.leaving.at = sim.now.Add(6 * time.Second) // the list does not say so
	sim.advance(300 * time.Millisecond)
	before := holderOf(sim, e)
	is.True(before != nil)
	sim.kill(before.index, true)
	sim.advance(1500 * time.Millisecond)
	after := holderOf(sim, e)
	is.True(after != nil && after != before)
	held := after.machine.endpoints[e.info.ID]
	is.True(held.info.Draining)
	is.True(held.lifetime.leavesAt.Sub(e.leaving.at).Abs() < 20*time.Millisecond)
	starts := e.startCount
	for range 6 {
		sim.submit(after.index, &longQueue, 4*time.Second, step(2, 100*time.Millisecond))
	}
	sim.advance(3 * time.Second)
	is.Equal(e.startCount, starts)
}

// holderOf returns the live instance that holds the endpoint, or nil.
func holderOf(sim *simulation, e *fakeEndpoint) *fakeInstance {
	for _, n := range sim.instances {
		if s := n.machine.endpoints[e.info.ID]; n.alive && s != nil && s.active {
			return n
		}
	}
	return nil
}

// TestNoticeEndsWithBoot answers an endpoint that told its holder that it leaves and
// then starts again under its name, before the list said anything: the new boot gets
// work.
func TestNoticeEndsWithBoot(t *testing.T) {
	t.Parallel()
	for _, down := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			is := is.New(t)
			sim := newFleet(t, 1, 1, 2, 2)
			sim.advance(2 * time.Second)
			sim.submit(0, &longQueue, 9*time.Second, step(4, 2*time.Second))
			e := sim.endpoints[0]
			sim.advance(300 * time.Millisecond)
			e.leaving.at = sim.now.Add(time.Second)
			sim.advance(500 * time.Millisecond)
			is.True(holderOf(sim, e).machine.endpoints[e.info.ID].info.Draining)
			e.crash(down)
			sim.advance(down + 500*time.Millisecond)
			sim.listEndpoints()
			sim.advance(5 * time.Second)
			starts := e.startCount
			for range 4 {
				sim.submit(0, &longQueue, 4*time.Second, step(4, 100*time.Millisecond))
				sim.advance(500 * time.Millisecond)
			}
			is.True(e.startCount > starts)
		})
	}
}

// TestDataCentreCold answers the case that all endpoints of one of two data centres
// are cold at once, at 40 % load, of which the warm half alone can serve 80 %. No
// endpoint may be judged by that, and the urgent callers must get what they get at
// 80 % load (0.9, TestLoads).
func TestDataCentreCold(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 28)
	tallies := sim.generateMixedLoad(10*time.Second, 0.4)
	sim.advance(2 * time.Second)
	for _, e := range sim.endpoints {
		if e.info.DataCentre == "dc0" {
			e.becomeCold(5 * time.Second)
		}
	}
	sim.listEndpoints()
	sim.advance(4900 * time.Millisecond)
	for _, e := range sim.endpoints {
		held := holderOf(sim, e).machine.endpoints[e.info.ID]
		if held.health.backoffs > 0 || held.speed < 1/1.6 {
			t.Errorf("%s has %d backoffs and a speed of %.2f", e.info.ID, held.health.backoffs, held.speed)
		}
	}
	sim.advance(8 * time.Second)
	sim.checkIdle()
	logTallies(t, tallies)
	is.Equal(len(sim.logged(event.EndpointEjected, "")), 0)
	is.Equal(len(sim.logged(event.RunStalled, "")), 0)
	if share, _ := tallies["urgent"].shares(); share < 0.9 {
		t.Errorf("%.3f of the urgent jobs are within their goal", share)
	}
}

// TestServiceReplacedInTurn answers a service whose endpoints are replaced one after
// another: a line for each of 40 endpoints at each instance says less than a few with
// their number.
func TestServiceReplacedInTurn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 40)
	tallies := sim.generateMixedLoad(14*time.Second, 0.5)
	for i, e := range slices.Clone(sim.endpoints) {
		sim.after(time.Duration(i)*300*time.Millisecond, func() {
			e.leave(time.Second, time.Second)
			e.replaceAfter(1500*time.Millisecond, time.Second)
		})
	}
	sim.advance(26 * time.Second)
	sim.checkIdle()
	logTallies(t, tallies)
	lines := len(sim.logged(event.EndpointDraining, "")) + len(sim.logged(event.EndpointAdded, ""))
	summaries := sim.logged(event.EndpointsReplaced, "")
	t.Logf("%d lines, %d summaries, the last: %v", lines, len(summaries), summaries[max(len(summaries)-1, 0):])
	is.True(lines <= len(sim.instances)*(1+2*maxLoggedEndpoints)) // one for the first list
	is.True(len(summaries) > 0 && len(summaries) <= len(sim.instances)*6)
	if share, _ := tallies["urgent"].shares(); share < 0.9 {
		t.Errorf("%.3f of the urgent jobs are within their goal", share)
	}
}
