package pool

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/route"
	"github.com/lovagecrank/lovagecrank/run"
)

// urgent and routine are queues like those of the users.
var (
	urgent  = &route.Queue{Name: "urgent", Service: "s", Priority: 0, Attempts: 4, SlackFactor: 1.6, Target: 60 * time.Millisecond}
	routine = &route.Queue{Name: "routine", Service: "s", Priority: 1, Attempts: 2, SlackFactor: 1.6, Target: 60 * time.Millisecond}
)

func step(tasks int, estimate time.Duration) Step {
	return Step{Tasks: tasks, Needs: needs(6.8), Estimate: estimate}
}

// startSimulation returns a simulation in which all endpoints have a holder.
func startSimulation(t testing.TB, seed uint64, instances, endpoints int) *simulation {
	sim := newSimulation(t, seed, instances, endpoints)
	sim.advance(2 * time.Second)
	return sim
}

func TestEveryEndpointHasOneHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	holders := map[string]int{}
	for _, n := range sim.instances {
		for id, e := range n.machine.endpoints {
			if e.active {
				holders[id]++
				is.Equal(e.info.DataCentre, n.self.DataCentre)
			}
		}
	}
	is.Equal(len(holders), 12)
	for _, n := range holders {
		is.Equal(n, 1)
	}
}

func TestJobCompletes(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		steps []Step
		want  time.Duration
	}{
		{"one task", []Step{step(1, 100*time.Millisecond)}, 120 * time.Millisecond},
		{"more tasks than the home's slots", []Step{step(20, 100*time.Millisecond)}, 130 * time.Millisecond},
		{"a step after another", []Step{step(2, 50*time.Millisecond), {Tasks: 1, Needs: needs(1), Estimate: 50 * time.Millisecond, After: []int{0}}}, 130 * time.Millisecond},
		{"spread over endpoints", []Step{{Tasks: 4, Needs: needs(1), Estimate: 50 * time.Millisecond, Spread: 1}}, 120 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 4, 12)
			c := sim.submit(0, urgent, 2*time.Second, tt.steps...)
			sim.advance(tt.want)
			is.Equal(len(c.answers), 1) // answered in time
			is.True(c.answers[0] == nil)
		})
	}
}

func TestJobThatAlwaysFails(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 4)
	sim.lastJob++
	c := &callerJob{job: Job{ID: "bad", Queue: routine, Spec: "fails", Steps: []Step{step(1, 20*time.Millisecond)}, Deadline: sim.now.Add(2 * time.Second)}}
	sim.observer.jobs["bad"] = c
	sim.sendJob(c, 0)
	sim.advance(time.Second)
	is.Equal(len(c.answers), 1)
	is.Equal(c.answers[0].Kind, fault.TaskFailed)
	is.Equal(sim.observer.ends[run.Failed], routine.Attempts)
}

func TestTooLargeJobIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 4)
	c := sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(17), Estimate: 20 * time.Millisecond})
	is.Equal(len(c.answers), 1)
	is.Equal(c.answers[0].Kind, fault.NoEndpointFits)
}

// TestLongRunEnds tests that a task that runs many times longer than its
// estimate completes: it is restarted elsewhere once and then left running.
func TestLongRunEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 4)
	c := sim.newJob(routine, 4*time.Second, step(1, 100*time.Millisecond))
	c.runTime, c.tally = 2*time.Second, &tally{}
	sim.sendJob(c, 0)
	sim.advance(4 * time.Second)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
	is.True(sim.observer.starts <= 2)
}

// TestTooLargeJobKeepsTypicalNeeds tests that a job that fits on no endpoint
// does not change the typical needs.
func TestTooLargeJobKeepsTypicalNeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 4)
	sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(99), Estimate: 20 * time.Millisecond})
	c := sim.submit(0, urgent, time.Second, step(2, 20*time.Millisecond))
	sim.advance(100 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestCallerDisconnects tests that the runs of a caller are stopped at once
// when it disconnects.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	c := sim.submit(0, urgent, 4*time.Second, step(20, 2*time.Second))
	sim.advance(50 * time.Millisecond)
	sim.disconnectCaller(c)
	sim.advance(testStopTime + 20*time.Millisecond)
	is.Equal(sim.observer.ends[run.Stopped], 20)
}

// TestResubmittedJob tests that a job that is sent to its home again, while the
// first request is still open, does not run twice at the same time.
func TestResubmittedJob(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	c := sim.submit(0, urgent, 4*time.Second, step(8, 300*time.Millisecond))
	sim.advance(20 * time.Millisecond)
	sim.sendJob(c, 0)
	sim.advance(time.Second)
	is.Equal(c.answers[len(c.answers)-1], nil)
}

// TestOverloadIsRefusedAtOnce tests that jobs that can't be served in time are
// refused at once, with a retry delay. The delays differ, so that jobs refused
// together are not retried together.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 4)
	var refused []*callerJob
	for range 60 {
		c := sim.submit(0, routine, 2*time.Second, step(2, 200*time.Millisecond))
		if len(c.answers) == 1 {
			refused = append(refused, c)
		}
	}
	is.True(len(refused) > 20)
	hints := map[time.Duration]bool{}
	for _, c := range refused {
		is.True(c.answers[0].Kind.Row().NotRun)
		is.True(c.answers[0].RetryAfter > 0)
		hints[c.answers[0].RetryAfter] = true
	}
	is.True(len(hints) > 10)
}

// TestUrgentJobStartsFirst tests that an urgent job submitted to a full system
// starts before the routine jobs that wait, here or at peers.
func TestUrgentJobStartsFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 4)
	for i := range 8 {
		sim.submit(i%2, routine, 4*time.Second, step(2, 300*time.Millisecond))
	}
	sim.advance(10 * time.Millisecond)
	c := sim.submit(0, urgent, 4*time.Second, step(4, 60*time.Millisecond))
	sim.advance(370 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestAddressChangeIsNoRestart tests that a changed address does not count as
// proof of a restart. An instance that got the list from a peer while the store
// was unavailable may get another address from the store (platform/soak, seed
// 24).
func TestAddressChangeIsNoRestart(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name           string
		change         func(e *fakeEndpoint, i *endpoint.Info)
		wantSecondRuns bool
	}{
		{"the same boot", func(e *fakeEndpoint, i *endpoint.Info) { i.StartedAt = e.startedAt }, false},
		{"the boot time is not reported", func(_ *fakeEndpoint, i *endpoint.Info) { i.StartedAt = time.Time{} }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 2, 6)
			c := sim.submit(0, &longQueue, 8*time.Second, step(9, 600*time.Millisecond))
			sim.advance(200 * time.Millisecond)
			for _, n := range sim.instances {
				list := sim.listedEndpoints()
				for i := range 2 { // one of each data centre
					list[i].Address = netip.MustParseAddrPort("10.0.0.2:2")
					tt.change(sim.endpoints[i], &list[i])
				}
				sim.input(n, func(m *Machine, out *Output) { m.SetEndpoints(sim.now, list, out) })
			}
			sim.advance(6 * time.Second)
			is.Equal(len(c.answers), 1)
			is.True(c.answers[0] == nil)
			// The observer fails the test if a second run starts while the first
			// one is alive.
			is.Equal(sim.observer.starts > 9, tt.wantSecondRuns)
		})
	}
}
