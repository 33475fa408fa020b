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
// an id of the caller's own is submitted to both and runs once.
func Example() {
	w := newWorld(1, 1, 2, 3)
	w.run(3 * time.Second)
	j := job.Job{SubmissionID: "corner-7", Class: "urgent", Team: "amplifiers", Tasks: tasks(5, 80*time.Millisecond)}
	first := w.submit(w.nodes[0], j)
	second := w.submit(w.nodes[1], j)
	w.run(time.Second)
	fmt.Println(w.results[first].State, w.results[second].State, len(w.starts))
	// Output: complete complete 5
}

func TestJobs(t *testing.T) {
	tests := []struct {
		name  string
		job   job.Job
		state job.State
		kind  fault.Kind
	}{
		{"issued id", job.Job{Class: "urgent", Team: "amplifiers", Tasks: tasks(40, 100*time.Millisecond)}, job.Complete, 0},
		{"chosen id", job.Job{SubmissionID: "fee-9", Class: "sweep", Team: "amplifiers", Tasks: tasks(1, time.Second)}, job.Complete, 0},
		{"no class", job.Job{Class: "none", Team: "amplifiers", Tasks: tasks(1, time.Second)}, job.NotRun, fault.UnknownClass},
		{"no team", job.Job{Class: "urgent", Team: "none", Tasks: tasks(1, time.Second)}, job.NotRun, fault.UnknownTeam},
		{"no tasks", job.Job{Class: "urgent", Team: "amplifiers"}, job.NotRun, fault.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, 2, 2, 2)
			w.run(3 * time.Second)
			call := w.submit(w.nodes[0], tt.job)
			w.run(5 * time.Second)
			r := w.results[call]
			is.Equal(r.State, tt.state)
			if r.Fault != nil {
				is.Equal(r.Fault.Kind, tt.kind)
			}
			for ref, n := range w.starts {
				if n != 1 {
					t.Fatalf("task %v started %d times", ref, n)
				}
			}
		})
	}
}

// The home of a job dies while it runs: its caller elsewhere is told so within
// 2 s, and a resubmission to the home's successor starts nothing.
func TestHomeDies(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 1, 2, 2)
	w.run(3 * time.Second)
	j := job.Job{SubmissionID: "fee-1", Class: "urgent", Team: "amplifiers", Tasks: tasks(4, 5*time.Second)}
	w.submit(w.nodes[0], j)
	w.run(200 * time.Millisecond)
	elsewhere := w.submit(w.nodes[1], j)
	w.run(200 * time.Millisecond)
	is.Equal(len(w.starts), 4)
	w.nodes[0].dead = true
	w.run(2 * time.Second)
	r, answered := w.results[elsewhere]
	is.True(answered)
	is.Equal(r.State, job.Failed)
	w.add(instance.Ref{DataCentre: "dc-0", ID: "i-0-0", Incarnation: 2})
	w.run(3 * time.Second)
	again := w.submit(w.nodes[2], j)
	w.run(10 * time.Second)
	is.Equal(w.results[again].State, job.Failed)
	is.Equal(w.results[again].Fault.Kind, fault.OutcomeUnknown)
	for _, n := range w.starts {
		is.Equal(n, 1)
	}
}

// A planned stop finishes what was accepted and refuses new jobs as not run.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 1, 2, 1)
	w.run(3 * time.Second)
	n := w.nodes[0]
	j := job.Job{Class: "urgent", Team: "amplifiers", Tasks: tasks(30, 300*time.Millisecond)}
	before := w.submit(n, j)
	w.run(50 * time.Millisecond)
	w.do(n, func(a *entry.Actions) { n.machine.BeginStop(w.now, a) })
	is.Equal(n.machine.Idle(), false)
	after := w.submit(n, j)
	w.run(10 * time.Second)
	is.Equal(w.results[before].State, job.Complete)
	is.Equal(w.results[after].State, job.NotRun)
	is.Equal(w.results[after].Fault.Kind, fault.Stopping)
	is.True(n.machine.Idle())
}

// All callers of the store share one circuit: the reads of the configuration
// open it, and while it is open few calls leave the instance.
func TestCircuitIsShared(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 1, 1, 1)
	w.run(3 * time.Second)
	w.faults.storeFate = storage.NotApplied
	w.run(10 * time.Second)
	n := w.nodes[0]
	is.Equal(n.machine.View(w.now).StoreReachable, false)
	call := w.submit(n, job.Job{SubmissionID: "fee-1", Class: "urgent", Team: "amplifiers", Tasks: tasks(1, time.Second)})
	w.run(50 * time.Millisecond) // it may be the probe
	is.Equal(w.results[call].Fault.Kind, fault.SubmissionUnchecked)
	before := w.storeCalls
	w.run(time.Minute)
	is.True(w.storeCalls-before <= 30) // a probe each 4 s, with jitter, and no more
	w.faults.storeFate = storage.Done
	w.run(8 * time.Second)
	is.True(n.machine.View(w.now).StoreReachable)
}

// An instance that knows no endpoint is not ready, so that the balancer keeps
// callers away, and refuses jobs as not run.
func TestNotReadyWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 1, 1, 0)
	w.run(3 * time.Second)
	n := w.nodes[0]
	is.Equal(n.machine.Ready().Kind, fault.NotReady)
	call := w.submit(n, job.Job{Class: "urgent", Team: "amplifiers", Tasks: tasks(1, time.Second)})
	is.Equal(w.results[call].State, job.NotRun)
	is.Equal(w.results[call].Fault.Kind, fault.NotReady)
	w.listed = append(w.listed, newWorld(5, 1, 1, 1).listed...)
	w.do(n, func(a *entry.Actions) { n.machine.Endpoints(w.now, w.listed, a) })
	is.True(n.machine.Ready() == nil)
}

// A machine whose submissions are all forgotten does not ask for one Tick after
// the other.
func TestIdleMachineRests(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 1, 1, 1)
	w.run(3 * time.Second)
	w.submit(w.nodes[0], job.Job{Class: "urgent", Team: "amplifiers", Tasks: tasks(1, time.Second)})
	ticks := 0
	w.spent = func(string, time.Duration) {
		ticks++
		if ticks > 20_000 {
			t.Fatal("a machine with nothing to do ticks without end")
		}
	}
	w.run(20 * time.Minute)
	is.True(ticks < 20_000) // the queue alone looks at its endpoints 4,800 times
	is.Equal(w.nodes[0].machine.Next().After(w.now), true)
}
