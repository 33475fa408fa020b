package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// Example runs two instances of one data centre on a virtual clock. A job with
// an id chosen by the caller is submitted to both and runs once.
func Example() {
	sim := newSimulation(1, 1, 2, 3)
	sim.advance(3 * time.Second)
	j := job.Job{SubmissionID: "corner-7", Class: "urgent", Team: "amplifiers", Tasks: newTasks(5, 80*time.Millisecond)}
	first := sim.submit(sim.instances[0], j)
	second := sim.submit(sim.instances[1], j)
	sim.advance(time.Second)
	fmt.Println(sim.results[first].State, sim.results[second].State, len(sim.starts))
	// Output: complete complete 5
}

func TestJobs(t *testing.T) {
	tests := []struct {
		name  string
		job   job.Job
		state job.State
		kind  fault.Kind
	}{
		{"issued id", job.Job{Class: "urgent", Team: "amplifiers", Tasks: newTasks(40, 100*time.Millisecond)}, job.Complete, 0},
		{"chosen id", job.Job{SubmissionID: "fee-9", Class: "sweep", Team: "amplifiers", Tasks: newTasks(1, time.Second)}, job.Complete, 0},
		{"unknown class", job.Job{Class: "none", Team: "amplifiers", Tasks: newTasks(1, time.Second)}, job.NotRun, fault.UnknownClass},
		{"unknown team", job.Job{Class: "urgent", Team: "none", Tasks: newTasks(1, time.Second)}, job.NotRun, fault.UnknownTeam},
		{"no tasks", job.Job{Class: "urgent", Team: "amplifiers"}, job.NotRun, fault.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 2, 2, 2)
			sim.advance(3 * time.Second)
			call := sim.submit(sim.instances[0], tt.job)
			sim.advance(5 * time.Second)
			r := sim.results[call]
			is.Equal(r.State, tt.state)
			if r.Fault != nil {
				is.Equal(r.Fault.Kind, tt.kind)
			}
			for ref, n := range sim.starts {
				if n != 1 {
					t.Fatalf("task %v started %d times", ref, n)
				}
			}
		})
	}
}

// TestHomeDies stops a job's home while the job runs. A caller at another
// instance must get a failed result within 2 s, and a resubmission to the home's
// successor must not start any task.
func TestHomeDies(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 1, 2, 2)
	sim.advance(3 * time.Second)
	j := job.Job{SubmissionID: "fee-1", Class: "urgent", Team: "amplifiers", Tasks: newTasks(4, 5*time.Second)}
	sim.submit(sim.instances[0], j)
	sim.advance(200 * time.Millisecond)
	elsewhere := sim.submit(sim.instances[1], j)
	sim.advance(200 * time.Millisecond)
	is.Equal(len(sim.starts), 4)
	sim.instances[0].dead = true
	sim.advance(2 * time.Second)
	r, answered := sim.results[elsewhere]
	is.True(answered)
	is.Equal(r.State, job.Failed)
	sim.add(instance.Ref{DataCentre: "dc-0", ID: "i-0-0", Incarnation: 2})
	sim.advance(3 * time.Second)
	again := sim.submit(sim.instances[2], j)
	sim.advance(10 * time.Second)
	is.Equal(sim.results[again].State, job.Failed)
	is.Equal(sim.results[again].Fault.Kind, fault.OutcomeUnknown)
	for _, n := range sim.starts {
		is.Equal(n, 1)
	}
}

// TestPlannedStop checks that an instance finishes accepted jobs during a
// planned stop and refuses new ones as not run.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3, 1, 2, 1)
	sim.advance(3 * time.Second)
	si := sim.instances[0]
	j := job.Job{Class: "urgent", Team: "amplifiers", Tasks: newTasks(30, 300*time.Millisecond)}
	before := sim.submit(si, j)
	sim.advance(50 * time.Millisecond)
	sim.do(si, func(a *entry.Actions) { si.machine.BeginStop(sim.now, a) })
	is.Equal(si.machine.Idle(), false)
	after := sim.submit(si, j)
	sim.advance(10 * time.Second)
	is.Equal(sim.results[before].State, job.Complete)
	is.Equal(sim.results[after].State, job.NotRun)
	is.Equal(sim.results[after].Fault.Kind, fault.Stopping)
	is.True(si.machine.Idle())
}

// TestCircuitIsShared checks that all users of the store share one circuit
// breaker: failed configuration reads open it, and while it is open the instance
// makes few calls.
func TestCircuitIsShared(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(4, 1, 1, 1)
	sim.advance(3 * time.Second)
	sim.faults.storeOutcome = storage.NotApplied
	sim.advance(10 * time.Second)
	si := sim.instances[0]
	is.Equal(si.machine.View(sim.now).StoreReachable, false)
	call := sim.submit(si, job.Job{SubmissionID: "fee-1", Class: "urgent", Team: "amplifiers", Tasks: newTasks(1, time.Second)})
	sim.advance(50 * time.Millisecond) // the call may be the probe
	is.Equal(sim.results[call].Fault.Kind, fault.SubmissionUnchecked)
	before := sim.storeCalls
	sim.advance(time.Minute)
	is.True(sim.storeCalls-before <= 30) // one probe every 4 s, with jitter
	sim.faults.storeOutcome = storage.Done
	sim.advance(8 * time.Second)
	is.True(si.machine.View(sim.now).StoreReachable)
}

// TestNotReadyWithoutEndpoints checks that an instance without endpoints isn't
// ready, so that the load balancer sends it no callers, and that it refuses jobs
// as not run.
func TestNotReadyWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(5, 1, 1, 0)
	sim.advance(3 * time.Second)
	si := sim.instances[0]
	is.Equal(si.machine.Ready().Kind, fault.NotReady)
	call := sim.submit(si, job.Job{Class: "urgent", Team: "amplifiers", Tasks: newTasks(1, time.Second)})
	is.Equal(sim.results[call].State, job.NotRun)
	is.Equal(sim.results[call].Fault.Kind, fault.NotReady)
	sim.listed = append(sim.listed, newSimulation(5, 1, 1, 1).listed...)
	sim.do(si, func(a *entry.Actions) { si.machine.SetEndpoints(sim.now, sim.listed, a) })
	is.True(si.machine.Ready() == nil)
}

// TestIdleMachineTicksRarely guards against a machine that requests one Tick
// after another although all its submissions were removed.
func TestIdleMachineTicksRarely(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, 1, 1, 1)
	sim.advance(3 * time.Second)
	sim.submit(sim.instances[0], job.Job{Class: "urgent", Team: "amplifiers", Tasks: newTasks(1, time.Second)})
	inputs := 0
	sim.onInput = func(string, time.Duration) {
		inputs++
		if inputs > 20_000 {
			t.Fatal("an idle machine ticks continuously")
		}
	}
	sim.advance(20 * time.Minute)
	is.True(inputs < 20_000) // the scheduler alone checks its endpoints 4,800 times
	is.Equal(sim.instances[0].machine.Next().After(sim.now), true)
}
