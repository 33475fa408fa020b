package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/run"
)

// coldFleet returns a simulation of one instance, of whose endpoints the first is cold
// for the given time.
func coldFleet(t *testing.T, endpoints int, cold time.Duration) (*simulation, *endpointState) {
	sim := newFleet(t, 1, 1, 1, endpoints)
	sim.advance(2 * time.Second)
	sim.endpoints[0].becomeCold(cold)
	sim.listEndpoints()
	return sim, sim.instances[0].machine.endpoints[sim.endpoints[0].info.ID]
}

// TestColdRunsAreNotJudged answers slow runs on a cold endpoint: they say nothing about
// its speed, and one that stalls causes no backoff.
func TestColdRunsAreNotJudged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, e := coldFleet(t, 1, 5*time.Second)
	c := sim.submit(0, &longQueue, 9*time.Second, step(12, 10*time.Millisecond)) // enough runs to learn a speed
	sim.advance(1200 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.Equal(c.answers[0], nil)
	speeds := sim.instances[0].machine.judge.speeds
	_, samples := speeds.Speed(e.info.ID)
	is.Equal(samples, 0)
	_, _, samples = speeds.Ratios(longQueue.Name)
	is.Equal(samples, 0) // unknown as before

	sim.endpoints[0].hangs = true
	sim.submit(0, &longQueue, 9*time.Second, step(1, 100*time.Millisecond))
	sim.advance(2 * time.Second)
	is.True(len(sim.logged(event.RunStalled, "")) > 0) // it is still noticed
	is.Equal(e.health.backoffs, 0)
}

// TestRunBeforeColdTime answers an endpoint that becomes cold while a task of 0.1 s runs
// there: the run may take four times as long before it counts as stalled.
func TestRunBeforeColdTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 2)
	sim.advance(2 * time.Second)
	c := sim.newJob(&longQueue, 9*time.Second, step(1, 100*time.Millisecond))
	c.runTime, c.tally = 900*time.Millisecond, &tally{}
	sim.sendJob(c, 0)
	sim.advance(50 * time.Millisecond)
	for _, e := range sim.endpoints {
		e.becomeCold(5 * time.Second)
	}
	sim.listEndpoints()
	sim.advance(time.Second)
	is.Equal(len(sim.logged(event.RunStalled, "")), 0)
	is.Equal(len(c.answers), 1)
	is.Equal(sim.observer.starts, 1)
}

// TestColdEndpointGetsLess answers two tasks for one endpoint that can run both: while
// it is cold it runs one at first, and reports no room of that size.
func TestColdEndpointGetsLess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, _ := coldFleet(t, 1, 8*time.Second)
	m := sim.instances[0].machine
	sim.submit(0, &longQueue, 9*time.Second, step(2, time.Second))
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.endpoints[0].startCount, 1)
	is.True(m.largestFree(sim.now, "s").Cores < 6.8)
	sim.advance(6 * time.Second)
	is.Equal(sim.endpoints[0].startCount, 2)
}

// TestWarmEndpointFirst answers a short task while a cold endpoint is idle and a warm
// one runs something: it starts on the warm one.
func TestWarmEndpointFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, _ := coldFleet(t, 2, 5*time.Second)
	sim.submit(0, &longQueue, 9*time.Second, step(1, time.Second))
	sim.submit(0, urgent, time.Second, step(1, 60*time.Millisecond))
	sim.advance(20 * time.Millisecond)
	is.Equal(sim.endpoints[0].startCount, 0)
	is.Equal(sim.endpoints[1].startCount, 2)
}

// TestWithdrawnNotice answers an endpoint that drains by its polls and by the list, and
// then takes work again in the same boot: it gets work once the list says so.
func TestWithdrawnNotice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 1)
	sim.advance(2 * time.Second)
	e := sim.endpoints[0]
	sim.submit(0, &longQueue, 9*time.Second, step(1, 900*time.Millisecond))
	e.leaving.at = sim.now.Add(5 * time.Second)
	sim.listEndpoints()
	sim.advance(time.Second)
	e.leaving = fakeLeaving{}
	sim.listEndpoints()
	sim.submit(0, &longQueue, 9*time.Second, step(1, 100*time.Millisecond))
	sim.advance(500 * time.Millisecond)
	is.Equal(e.startCount, 2)
}

// TestNoticeOfBoot tests that what one boot said of its end does not hold for the next
// one, which drains too but reports a time that can't be right, and that a notice that
// is withdrawn moves nothing.
func TestNoticeOfBoot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	m := New(now, Config{Self: instance.Info{Ref: instance.Ref{ID: "n0"}}, LeaseTime: testLeaseTime, StopTime: testStopTime})
	e := newEndpointState(newSimulation(t, 1, 1, 1).endpoints[0].info)
	var out Output
	notice := func(boot time.Time, draining bool, remaining time.Duration) {
		now = now.Add(200 * time.Millisecond)
		m.applyRemaining(now, e, PollReply{Reply: Reply{Sent: now}, StartedAt: boot, Draining: draining, Remaining: remaining}, &out)
	}
	first, second := now, now.Add(time.Second)
	notice(first, true, time.Second)
	is.True(e.lifetime.leaving())
	notice(first, false, 0)
	is.True(!e.lifetime.leaving())
	notice(first, true, time.Second)
	notice(second, true, -1)
	is.True(!e.lifetime.leaving())
	is.True(e.lifetime.draining)
	r := &heldRun{ref: run.Ref{Task: "j.0.0.0", Number: 1}, startedAt: now, estimate: time.Hour, work: time.Hour}
	is.True(!e.outlasts(now, r))
}
