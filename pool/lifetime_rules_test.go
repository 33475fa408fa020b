package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/route"
	"github.com/lovagecrank/lovagecrank/run"
)

// TestRemainingTime tests which readings of the remaining time count.
func TestRemainingTime(t *testing.T) {
	t.Parallel()
	type reading struct {
		at, sent, remaining time.Duration
		valid               bool
	}
	ms := time.Millisecond
	tests := []struct {
		name     string
		readings []reading
		leavesAt time.Duration // zero if unknown
	}{
		{"it shrinks with time", []reading{{0, 0, 900 * ms, true}, {200 * ms, 150 * ms, 700 * ms, true}}, 900 * ms},
		{"it jumps down", []reading{{0, 0, 5000 * ms, true}, {200 * ms, 150 * ms, 100 * ms, true}}, 300 * ms},
		{"it jumps up", []reading{{0, 0, 100 * ms, true}, {200 * ms, 150 * ms, 5000 * ms, true}}, 5200 * ms},
		{"none is left and the endpoint stays", []reading{{0, 0, 0, true}, {800 * ms, 700 * ms, 0, true}}, 800 * ms},
		{"an overtaken reply", []reading{{200 * ms, 150 * ms, 700 * ms, true}, {250 * ms, 0, 900 * ms, true}}, 900 * ms},
		{"negative", []reading{{0, 0, -1, false}}, 0},
		{"huge", []reading{{0, 0, MaxRemaining + 1, false}}, 0},
		{"malformed after a good one", []reading{{0, 0, 900 * ms, true}, {200 * ms, 150 * ms, -5, false}}, 900 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_800_000_000, 0)
			var l lifetime
			for _, r := range tt.readings {
				is.Equal(l.observeRemaining(start.Add(r.at), start.Add(r.sent), r.remaining), r.valid)
			}
			is.Equal(l.leaving(), tt.leavesAt > 0)
			if tt.leavesAt > 0 {
				is.Equal(l.leavesAt.Sub(start), tt.leavesAt)
			}
		})
	}
}

// TestEarliestEnd tests the earliest end of a run that began 1 s ago with an estimate
// of 3 s: estimates are off by up to 40 %, and one run in thirty takes seven times its
// estimate, which its progress shows.
func TestEarliestEnd(t *testing.T) {
	t.Parallel()
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name     string
		percent  float64
		seenAt   time.Duration
		atLeast  time.Duration
		atMost   time.Duration
		endsThen time.Duration // the run's real end, which must not be earlier
	}{
		{"no progress yet", 0, 0, 1800 * time.Millisecond, 1800 * time.Millisecond, 1800 * time.Millisecond},
		{"too little to tell", 5, time.Second, 1800 * time.Millisecond, 1800 * time.Millisecond, 20 * time.Second},
		{"as estimated", 33, time.Second, 2900 * time.Millisecond, 3 * time.Second, 3 * time.Second},
		{"shorter", 80, time.Second, 1200 * time.Millisecond, 1250 * time.Millisecond, 1240 * time.Millisecond},
		{"seven times as long", 14, 3 * time.Second, 19 * time.Second, 21 * time.Second, 21 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &heldRun{work: 3 * time.Second, estimate: 3 * time.Second, startedAt: start}
			if tt.percent > 0 {
				r.progress.observe(start.Add(tt.seenAt), tt.percent)
			}
			end := r.earliestEnd().Sub(start)
			is.True(end >= tt.atLeast && end <= tt.atMost)
			is.True(end <= tt.endsThen)
		})
	}
}

// TestColdRamp tests how many tasks an endpoint of 16 cores and 8 slots gets that is cold
// for 4 s, by the size of the tasks.
func TestColdRamp(t *testing.T) {
	t.Parallel()
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		after time.Duration
		cores float64
		want  float64
	}{
		{0, 2, 4}, {time.Second, 2, 5}, {2 * time.Second, 2, 6}, {3900 * time.Millisecond, 2, 7}, {5 * time.Second, 2, 8},
		{0, 1, 4}, {3900 * time.Millisecond, 1, 8}, // limited by the slots
		{0, 6.8, 1}, {2 * time.Second, 6.8, 1}, {3 * time.Second, 6.8, 2},
		{0, 16, 1}, {0, 17, 0},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.after, tt.cores), func(t *testing.T) {
			is := is.New(t)
			e := newEndpointState(endpoint.Info{Slots: 8, Size: needs(16)})
			e.info.Size.MemoryBytes = 64 << 30
			is.True(e.lifetime.setCold(start, start.Add(4*time.Second)))
			is.True(!e.lifetime.setCold(start.Add(100*time.Millisecond), start.Add(4*time.Second))) // the same cold time
			var sizes taskSizes
			sizes.add(needs(tt.cores), 1)
			all := sizes.fits(e.info.Size, e.info.Slots)
			total, free := e.coldSlots(start.Add(tt.after), sizes, all, all)
			is.Equal(total, tt.want)
			is.Equal(free, tt.want)
			// As many tasks are accepted.
			n := 0
			for ; n < 8 && fitsWithin(addScaled(e.used, needs(tt.cores), 1), e.info.Size) && !e.atColdLimit(start.Add(tt.after), needs(tt.cores)); n++ {
				e.used = addScaled(e.used, needs(tt.cores), 1)
				e.reserved++
			}
			is.Equal(float64(n), tt.want)
		})
	}
}

// TestExpectedRunTimeOnColdEndpoint tests how long a run may take on an endpoint that
// is cold for 2 s more.
func TestExpectedRunTimeOnColdEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	var l lifetime
	is.Equal(l.runTime(start, time.Second), time.Second) // not cold
	l.setCold(start, start.Add(2*time.Second))
	is.Equal(l.runTime(start, 100*time.Millisecond), 400*time.Millisecond)
	is.Equal(l.runTime(start, 3*time.Second), 4500*time.Millisecond) // 0.5 s of work while it is cold
	is.Equal(l.runTime(start.Add(2*time.Second), time.Second), time.Second)
	l.setCold(start.Add(time.Second), time.Time{}) // the list says that it is over
	is.Equal(l.share(start.Add(time.Second)), 1.0)
}

func TestWorkAfter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := time.Second
	steps := []Step{{Estimate: s}, {Estimate: 2 * s, After: []int{0}}, {Estimate: s, After: []int{0}}, {Estimate: 4 * s, After: []int{1, 2}}}
	is.Equal(workAfter(steps, 0), 6*s)
	is.Equal(workAfter(steps, 2), 4*s)
	is.Equal(workAfter(steps, 3), time.Duration(0))
}

// TestUsefulElsewhere tests for which runs of 3 s a new run can still be useful, 1 s
// after the start unless said otherwise.
func TestUsefulElsewhere(t *testing.T) {
	t.Parallel()
	s := time.Second
	tests := []struct {
		name     string
		slack    float64 // the goal is this times the work
		deadline time.Duration
		ran      time.Duration
		percent  float64
		number   int64
		remote   bool
		want     bool
	}{
		{"within the goal", 2, 9 * s, s, 0, 1, false, true},
		{"its second run", 2, 9 * s, s, 0, 2, false, true},
		{"beyond the goal, which this run can meet", 1.2, 9 * s, s, 30, 1, false, false},
		{"beyond the goal, which this run misses too", 1.2, 9 * s, s, 10, 1, false, true},
		{"beyond the deadline", 1.2, 3900 * time.Millisecond, s, 10, 1, false, false},
		{"another home's, in its first half", 1.2, 9 * s, s, 0, 1, true, true},
		{"another home's, in its second half", 2, 9 * s, 1600 * time.Millisecond, 0, 1, true, false},
		{"another home's second run", 2, 9 * s, s, 0, 2, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_800_000_000, 0)
			m := New(start, Config{Self: instance.Info{Ref: instance.Ref{ID: "n0"}}, LeaseTime: testLeaseTime, StopTime: testStopTime})
			q := &route.Queue{Name: "q", Service: "s", SlackFactor: tt.slack}
			j := m.newJob(start, 1, Job{ID: "j", Queue: q, Steps: []Step{{Tasks: 1, Estimate: 3 * s}}, Deadline: start.Add(tt.deadline)})
			j.makeTasks(0)
			task := j.steps[0][0]
			task.number, task.state = tt.number, placed
			m.tasks[task.name] = task
			r := &heldRun{ref: run.Ref{Task: task.name, Number: tt.number}, home: m.cfg.Self.Ref, work: 3 * s, estimate: 3 * s, startedAt: start}
			if tt.remote {
				r.home = instance.Ref{ID: "n1"}
			}
			if tt.percent > 0 {
				r.progress.observe(start.Add(tt.ran), tt.percent)
			}
			is.Equal(m.usefulElsewhere(start.Add(tt.ran), r), tt.want)
		})
	}
}

// TestTurnover tests which endpoints get a line: the first eight of a wave, then
// summaries, and again after a pause.
func TestTurnover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var v turnover
	lines, summaries := 0, 0
	for range 40 {
		if v.count(now, true) {
			lines++
		}
		if v.summaryDue(now) {
			summaries++
		}
		now = now.Add(300 * time.Millisecond)
	}
	now = now.Add(5 * time.Second)
	if v.summaryDue(now) {
		summaries++
	}
	is.Equal(lines, maxLoggedEndpoints)
	is.Equal(summaries, 3) // after 0.5 s, 5 s later and at the end
	is.Equal(v.draining, 40)
	is.True(!v.summaryDue(now.Add(time.Hour)))
	is.True(v.count(now.Add(time.Minute), false)) // another wave
	is.Equal(v.draining, 0)
}

// TestMoveOfOtherHomesRun answers an endpoint that leaves with the run of another home.
func TestMoveOfOtherHomesRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	var c *callerJob
	e := (*fakeEndpoint)(nil)
	for holder := (*fakeInstance)(nil); holder == nil || holder.index == 0; holder = holderOf(sim, e) {
		c = sim.submit(0, &longQueue, 9*time.Second, step(1, 3*time.Second))
		sim.advance(20 * time.Millisecond)
		e = sim.endpointOf(c)
	}
	e.leave(2*time.Second, 2*time.Second)
	sim.advance(4 * time.Second)
	is.Equal(len(sim.logged(event.RunMoved, taskName(c.job.ID, 0, 0))), 1)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
	is.Equal(e.lostRuns, 0)
}

// TestMovesNeedRoom answers long runs on three endpoints that leave while one slot is
// free on the fourth: no more runs are stopped than can start again.
func TestMovesNeedRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 4)
	sim.advance(2 * time.Second)
	for range 6 {
		sim.submit(0, &longQueue, 30*time.Second, step(1, 8*time.Second))
	}
	sim.advance(100 * time.Millisecond)
	for _, e := range sim.endpoints[:3] {
		e.leave(time.Second, 6*time.Second)
	}
	free := 2 - len(sim.endpoints[3].runs)
	is.True(free > 0)
	sim.advance(3 * time.Second)
	is.Equal(len(sim.logged(event.RunMoved, "")), free)
}

// TestMoveWithoutEffect answers a stop that has no effect while its endpoint leaves:
// the task starts again only when the endpoint's end or the lease proves the end of its
// run (the observer checks that no two runs overlap), and is still served.
func TestMoveWithoutEffect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	c := sim.submit(0, &longQueue, 12*time.Second, step(1, 3*time.Second))
	sim.advance(300 * time.Millisecond)
	e := sim.endpointOf(c)
	e.losesStops = true
	e.leave(2*time.Second, 2*time.Second)
	sim.advance(8 * time.Second)
	is.True(len(sim.logged(event.RunMoved, "")) > 0)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestRunsLostWithEndpoint answers an endpoint that leaves with runs: one line tells
// how many, at the level of what was announced.
func TestRunsLostWithEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 1)
	sim.advance(2 * time.Second)
	sim.submit(0, &longQueue, 12*time.Second, step(2, 3*time.Second))
	sim.advance(100 * time.Millisecond)
	e := sim.endpoints[0]
	e.leave(time.Second, time.Second)
	sim.advance(5 * time.Second)
	is.Equal(sim.logged(event.EndpointLeft, e.info.ID), []string{"2 runs ended with it"})
	is.Equal(len(sim.logged(event.EndpointUnresponsive, "")), 0)
}

// TestShortTasksAvoidColdEndpoints answers a data centre whose endpoints are cold while
// those of the other one are warm and free: a short job that arrives there runs on warm
// ones, and a task that is long against the cold time stays.
func TestShortTasksAvoidColdEndpoints(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		estimate time.Duration
		warm     bool
	}{
		{"short", 60 * time.Millisecond, true},
		{"long", 3 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 2, 8) // one instance in each data centre
			for _, e := range sim.endpoints {
				if e.info.DataCentre == "dc0" {
					e.becomeCold(2 * time.Second)
				}
			}
			sim.listEndpoints()
			sim.submit(0, &longQueue, 9*time.Second, step(2, tt.estimate))
			sim.advance(30 * time.Millisecond)
			onWarm := 0
			for _, e := range sim.endpoints {
				if e.info.DataCentre != "dc0" {
					onWarm += e.startCount
				}
			}
			is.Equal(onWarm == 2, tt.warm)
			is.Equal(onWarm == 0, !tt.warm)
		})
	}
}
