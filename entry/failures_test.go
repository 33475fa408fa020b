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

// load submits a job of n tasks to a live instance every interval, as a
// balancer would. A caller that is told to ask again does so under the same id.
// It returns the calls that each job ended with.
func (w *world) load(n int, ran, interval, length time.Duration) map[string]uint64 {
	final := map[string]uint64{}
	end := w.now.Add(length)
	turn := 0
	var next func()
	var try func(name string)
	try = func(name string) {
		turn++
		at := w.nodes[turn%len(w.nodes)]
		for at.closed {
			turn++
			at = w.nodes[turn%len(w.nodes)]
		}
		call := w.submit(at, job.Job{SubmissionID: name, Class: "urgent", Team: "amplifiers", Tasks: tasks(n, ran)})
		final[name] = call
		var look func()
		look = func() {
			r, ok := w.results[call]
			switch {
			case !ok && !at.dead:
				w.after(10*time.Millisecond, look)
			case ok && r.Fault != nil && r.Fault.RetryAfter > 0:
				w.after(r.Fault.RetryAfter, func() { try(name) })
			}
		}
		look()
	}
	next = func() {
		if w.now.After(end) {
			return
		}
		try(fmt.Sprintf("job-%d", len(final)))
		w.after(interval, next)
	}
	next()
	return final
}

// TestLeavingEndpointGetsNothingNew checks the promise with an observer at the
// endpoint: nothing after 3 s of the list saying so, nothing from an instance
// that the endpoint told itself.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	const leaver = "w-0-0"
	tests := []struct {
		name string
		self bool
	}{{"the list says so", false}, {"it says so itself", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4, 1, 2, 4)
			w.run(3 * time.Second)
			var leaves time.Time
			told := map[string]time.Time{}
			before, late := 0, 0
			w.behave = func(n *node, s entry.Start, end *entry.End) {
				if s.Endpoint.ID != leaver {
					return
				}
				if leaves.IsZero() {
					before++
					return
				}
				if at, ok := told[n.info.ID]; w.now.Sub(leaves) > 3*time.Second || ok && w.now.After(at) {
					late++
				}
				if tt.self {
					end.Load.Leaving = true
					at := w.now.Add(2*hop + end.Ran)
					if first, ok := told[n.info.ID]; !ok || at.Before(first) {
						told[n.info.ID] = at
					}
				}
			}
			w.load(12, 40*time.Millisecond, 20*time.Millisecond, 15*time.Second)
			w.run(5 * time.Second)
			leaves = w.now
			if !tt.self {
				w.listed[0].Leaving = true
				for _, n := range w.nodes {
					w.do(n, func(a *entry.Actions) { n.machine.Endpoints(w.now, w.listed, a) })
				}
			}
			w.run(15 * time.Second)
			is.True(before > 0)
			is.Equal(len(told) > 0, tt.self)
			is.Equal(late, 0)
			for call, r := range w.results {
				if r.State != job.Complete {
					t.Fatalf("call %d: %v", call, r.Fault)
				}
			}
		})
	}
}

// TestFailingEndpointCostsLittle checks through whole machines that an endpoint
// that fails everything costs its data centre at most 24 tasks.
func TestFailingEndpointCostsLittle(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(seed, 1, 2, 13)
			w.run(3 * time.Second)
			cost := 0
			began := w.now
			w.behave = func(_ *node, s entry.Start, end *entry.End) {
				if s.Endpoint.ID == "w-0-3" && w.now.Sub(began) > 5*time.Second {
					cost++
					end.Outcome, end.Ran = endpoint.Failed, time.Millisecond
				}
			}
			w.load(8, 300*time.Millisecond, 30*time.Millisecond, 20*time.Second)
			w.run(9 * time.Second) // less than the first backoff after the fault
			ejected := 0
			for _, n := range w.nodes {
				for _, e := range n.machine.View(w.now).Endpoints {
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

// TestRollingReplacement replaces every instance under load. No request fails
// and no task starts twice.
func TestRollingReplacement(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { rollingReplacement(t, seed) })
	}
}

func rollingReplacement(t *testing.T, seed uint64) {
	is := is.New(t)
	w := newWorld(seed, 2, 3, 4)
	w.run(3 * time.Second)
	final := w.load(6, 80*time.Millisecond, 25*time.Millisecond, 40*time.Second)
	for _, old := range w.nodes[:6] {
		w.run(time.Second)
		w.do(old, func(a *entry.Actions) { old.machine.BeginStop(w.now, a) })
		w.run(500 * time.Millisecond) // the balancer learns of it late
		old.closed = true
		for i := 0; !old.machine.Idle(); i++ {
			is.True(i < 100) // stops within ten seconds
			w.run(100 * time.Millisecond)
		}
		w.run(10 * time.Millisecond) // messages are on their way
		old.dead = true
		w.add(instance.Ref{DataCentre: old.info.DataCentre, ID: old.info.ID + "-new", Incarnation: 2})
		w.run(2 * time.Second)
	}
	w.run(60 * time.Second)
	is.True(len(final) > 1000)
	failed := 0
	for name, call := range final {
		if r, ok := w.results[call]; !ok || r.State != job.Complete {
			failed++
			if failed <= 5 {
				t.Logf("%s: answered %v, %v %v", name, ok, r.State, r.Fault)
			}
		}
	}
	is.Equal(failed, 0)
	for ref, n := range w.starts {
		if n != 1 {
			t.Fatalf("task %v started %d times", ref, n)
		}
	}
}

// TestConfigurationOfMachines changes a target, then restarts an instance while
// the store is down.
func TestConfigurationOfMachines(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 2, 2, 2)
	w.run(3 * time.Second)
	change := configuration.Change{ID: "faster", SetClasses: []class.Class{{Name: "urgent", Target: 300 * time.Millisecond}}}
	w.do(w.nodes[0], func(a *entry.Actions) { w.nodes[0].machine.Change(w.now, change, a) })
	w.run(2 * time.Second)
	for _, n := range w.nodes {
		is.Equal(n.machine.View(w.now).Configuration.Version, uint64(2))
	}
	w.faults.storeFate = storage.NotApplied
	w.nodes[3].dead = true
	again := w.add(instance.Ref{DataCentre: "dc-1", ID: "i-1-1", Incarnation: 2})
	is.True(again.machine.Ready() != nil) // it knows nothing yet
	w.run(3 * time.Second)
	is.True(again.machine.Ready() == nil)
	is.Equal(again.machine.View(w.now).Configuration.Version, uint64(2))
}
