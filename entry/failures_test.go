package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// submitLoad submits a job of n tasks every interval for the given length, in
// turn to the instances that accept connections, as a load balancer would. The
// caller retries under the same id if the result asks for it. submitLoad returns
// the last call of each job.
func (sim *simulation) submitLoad(n int, runTime, interval, length time.Duration) map[string]uint64 {
	final := map[string]uint64{}
	end := sim.now.Add(length)
	index := 0
	var next func()
	var try func(name string)
	try = func(name string) {
		index++
		target := sim.instances[index%len(sim.instances)]
		for target.closed {
			index++
			target = sim.instances[index%len(sim.instances)]
		}
		call := sim.submit(target, job.Job{SubmissionID: name, Class: "urgent", Team: "amplifiers", Tasks: newTasks(n, runTime)})
		final[name] = call
		var poll func()
		poll = func() {
			r, ok := sim.results[call]
			switch {
			case !ok && !target.dead:
				sim.after(10*time.Millisecond, poll)
			case ok && r.Fault != nil && r.Fault.RetryAfter > 0:
				sim.after(r.Fault.RetryAfter, func() { try(name) })
			}
		}
		poll()
	}
	next = func() {
		if sim.now.After(end) {
			return
		}
		try(fmt.Sprintf("job-%d", len(final)))
		sim.after(interval, next)
	}
	next()
	return final
}

// TestDrainingEndpointGetsNoTasks checks at the endpoint that no task starts
// there later than 3 s after the list reports it as draining, and none from an
// instance that the endpoint itself has notified.
func TestDrainingEndpointGetsNoTasks(t *testing.T) {
	const drainingID = "w-0-0"
	tests := []struct {
		name         string
		fromEndpoint bool
	}{{"reported by the list", false}, {"reported by the endpoint", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(4, 1, 2, 4)
			sim.advance(3 * time.Second)
			var drainingSince time.Time
			notifiedAt := map[string]time.Time{}
			before, late := 0, 0
			sim.overrideEnd = func(si *simInstance, s entry.Start, end *entry.End) {
				if s.Endpoint.ID != drainingID {
					return
				}
				if drainingSince.IsZero() {
					before++
					return
				}
				if at, ok := notifiedAt[si.info.ID]; sim.now.Sub(drainingSince) > 3*time.Second || ok && sim.now.After(at) {
					late++
				}
				if tt.fromEndpoint {
					end.Load.Draining = true
					at := sim.now.Add(2*hop + end.RunTime)
					if first, ok := notifiedAt[si.info.ID]; !ok || at.Before(first) {
						notifiedAt[si.info.ID] = at
					}
				}
			}
			sim.submitLoad(12, 40*time.Millisecond, 20*time.Millisecond, 15*time.Second)
			sim.advance(5 * time.Second)
			drainingSince = sim.now
			if !tt.fromEndpoint {
				sim.listed[0].Draining = true
				for _, si := range sim.instances {
					sim.do(si, func(a *entry.Actions) { si.machine.SetEndpoints(sim.now, sim.listed, a) })
				}
			}
			sim.advance(15 * time.Second)
			is.True(before > 0)
			is.Equal(len(notifiedAt) > 0, tt.fromEndpoint)
			is.Equal(late, 0)
			for call, r := range sim.results {
				if r.State != job.Complete {
					t.Fatalf("call %d: %v", call, r.Fault)
				}
			}
		})
	}
}

// TestFailingEndpointIsEjected checks with complete machines that an endpoint
// that fails every task costs its data centre at most 24 tasks.
func TestFailingEndpointIsEjected(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(seed, 1, 2, 13)
			sim.advance(3 * time.Second)
			cost := 0
			began := sim.now
			sim.overrideEnd = func(_ *simInstance, s entry.Start, end *entry.End) {
				if s.Endpoint.ID == "w-0-3" && sim.now.Sub(began) > 5*time.Second {
					cost++
					end.Outcome, end.RunTime = endpoint.Failed, time.Millisecond
				}
			}
			sim.submitLoad(8, 300*time.Millisecond, 30*time.Millisecond, 20*time.Second)
			sim.advance(9 * time.Second) // less than the first backoff after the fault
			ejected := 0
			for _, si := range sim.instances {
				for _, e := range si.machine.View(sim.now).Endpoints {
					if e.Health == endpoint.Ejected {
						is.Equal(e.Info.ID, "w-0-3")
						ejected++
					}
				}
			}
			t.Logf("%d tasks, ejected by %d", cost, ejected)
			is.True(ejected > 0)
			is.True(cost <= 24)
		})
	}
}

// TestRollingReplacement replaces every instance under load. Every job
// completes, if necessary after retries, and no task starts twice.
func TestRollingReplacement(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { rollingReplacement(t, seed) })
	}
}

func rollingReplacement(t *testing.T, seed uint64) {
	is := is.New(t)
	sim := newSimulation(seed, 2, 3, 4)
	sim.advance(3 * time.Second)
	final := sim.submitLoad(6, 80*time.Millisecond, 25*time.Millisecond, 40*time.Second)
	for _, old := range sim.instances[:6] {
		sim.advance(time.Second)
		sim.do(old, func(a *entry.Actions) { old.machine.BeginStop(sim.now, a) })
		sim.advance(500 * time.Millisecond) // the load balancer notices the stop with a delay
		old.closed = true
		for i := 0; !old.machine.Idle(); i++ {
			is.True(i < 100) // stops within ten seconds
			sim.advance(100 * time.Millisecond)
		}
		sim.advance(10 * time.Millisecond) // messages in flight arrive
		old.dead = true
		sim.add(instance.Ref{DataCentre: old.info.DataCentre, ID: old.info.ID + "-new", Incarnation: 2})
		sim.advance(2 * time.Second)
	}
	sim.advance(60 * time.Second)
	is.True(len(final) > 1000)
	failed := 0
	for name, call := range final {
		if r, ok := sim.results[call]; !ok || r.State != job.Complete {
			failed++
			if failed <= 5 {
				t.Logf("%s: answered %v, %v %v", name, ok, r.State, r.Fault)
			}
		}
	}
	is.Equal(failed, 0)
	for ref, n := range sim.starts {
		if n != 1 {
			t.Fatalf("task %v started %d times", ref, n)
		}
	}
}

// TestConfigurationOfMachines changes a target, then restarts an instance while
// the store is down: it has to get the configuration from a peer.
func TestConfigurationOfMachines(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, 2, 2, 2)
	sim.advance(3 * time.Second)
	change := configuration.Change{ID: "faster", SetClasses: []class.Class{{Name: "urgent", Target: 300 * time.Millisecond}}}
	sim.do(sim.instances[0], func(a *entry.Actions) { sim.instances[0].machine.Change(sim.now, change, a) })
	sim.advance(2 * time.Second)
	for _, si := range sim.instances {
		is.Equal(si.machine.View(sim.now).Configuration.Version, uint64(2))
	}
	sim.faults.storeOutcome = storage.NotApplied
	sim.instances[3].dead = true
	again := sim.add(instance.Ref{DataCentre: "dc-1", ID: "i-1-1", Incarnation: 2})
	is.True(again.machine.Ready() != nil) // it has no configuration yet
	sim.advance(3 * time.Second)
	is.True(again.machine.Ready() == nil)
	is.Equal(again.machine.View(sim.now).Configuration.Version, uint64(2))
}
