package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/run"
)

// rebootTime is how long an endpoint that crashes behind a cut takes to start again.
const rebootTime = 300 * time.Millisecond

// crashBehindCut cuts the endpoint off from all instances for the given time. It crashes
// meanwhile, after its lease has ended, and starts again under its ID.
func (e *fakeEndpoint) crashBehindCut(d time.Duration) {
	sim := e.sim
	for n := range sim.instances {
		sim.partitionEndpoint(n, e.index, d)
	}
	sim.after(testLeaseTime+randomTime(sim.rng, d-testLeaseTime-rebootTime), func() {
		if e.up {
			e.crash(rebootTime)
		}
	})
	sim.after(d, sim.listEndpoints)
}

// afterEachStart calls do with the endpoint of each run of the task, some time after its
// start, as long as the run is under way.
func (sim *simulation) afterEachStart(name string, d time.Duration, do func(e *fakeEndpoint)) {
	called := map[run.Ref]bool{}
	var check func()
	check = func() {
		for _, e := range slices.Clone(sim.endpoints) {
			for _, r := range e.sortedRuns() {
				if r.ref.Task == name && !called[r.ref] && sim.now.Sub(r.startedAt) >= d {
					called[r.ref] = true
					do(e)
				}
			}
		}
		sim.after(10*time.Millisecond, check)
	}
	check()
}

// isolate cuts an instance off from all others for the given time.
func (sim *simulation) isolate(i int, d time.Duration) {
	for o := range sim.instances {
		if o != i {
			sim.partitionInstances(i, o, d)
		}
	}
}

// soundTaskCase is what happens to a sound task whose endpoint is lost during each of its
// runs, at low load, so that it runs alone.
type soundTaskCase struct {
	name string
	// begin is called with the job's home; nil for nothing.
	begin func(sim *simulation, home int)
	// lose is called with the endpoint of each run.
	lose func(e *fakeEndpoint)
}

// play fails the test if the job, or another one, is answered as failed.
func (tt soundTaskCase) play(t *testing.T, seed uint64) {
	is := is.New(t)
	sim := startSimulation(t, seed, 4, 48)
	sim.crashedReturnSame = true
	c := sim.submit(int(seed)%4, &longQueue, 40*time.Second, step(1, 900*time.Millisecond))
	name := taskName(c.job.ID, 0, 0)
	if tt.begin != nil {
		tt.begin(sim, sim.homeOf(c))
	}
	sim.afterEachStart(name, 300*time.Millisecond, tt.lose)
	sim.advance(41 * time.Second)
	t.Logf("%d endpoints lost with runs, %d crashes proved, %d crashes during runs of the task, answers %v",
		len(sim.logged(event.EndpointLost, "")), len(sim.logged(event.EndpointCrashProved, "")), sim.observer.crashesDuring[name], c.answers)
	is.True(len(c.answers) > 0)
	for _, o := range sim.observer.jobs {
		for _, f := range o.answers {
			is.True(f == nil || f.Kind != fault.TaskFailed)
		}
	}
}

// TestCrashAfterLeaseAccusesNobody guards against a sound job that is answered as failed
// because endpoints crashed after the lease had ended its task's runs, behind a cut.
func TestCrashAfterLeaseAccusesNobody(t *testing.T) {
	t.Parallel()
	tt := soundTaskCase{lose: func(e *fakeEndpoint) { e.crashBehindCut(3 * time.Second) }}
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { tt.play(t, seed) })
	}
}

// TestUnknownOnceNothingIsTried guards against a caller that waits until its deadline for a
// task that will not start again before it: the outcome is unknown once that is decided.
func TestUnknownOnceNothingIsTried(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, seed, 4, 48)
			c := sim.submit(int(seed)%4, &longQueue, 40*time.Second, step(1, 900*time.Millisecond))
			name := taskName(c.job.ID, 0, 0)
			sim.afterEachStart(name, 300*time.Millisecond, func(e *fakeEndpoint) { e.crashBehindCut(3 * time.Second) })
			for len(sim.logged(event.EndpointCrashProved, "")) < 3 && sim.now.Before(c.job.Deadline) {
				sim.advance(10 * time.Millisecond)
			}
			starts := sim.observer.starts
			sim.advance(100 * time.Millisecond)
			is.Equal(len(c.answers), 1)
			is.Equal(c.answers[0].Kind, fault.OutcomeUnknown)
			sim.advance(39 * time.Second) // the caller asks elsewhere
			is.Equal(sim.observer.starts, starts)
			for _, f := range c.answers {
				is.True(f.Kind == fault.OutcomeUnknown || f.Kind == fault.DeadlineTooNear) // the last try is too late
			}
		})
	}
}

// TestCrashesElsewhereAreCounted guards against a sound job that is answered as failed
// because its home does not know that endpoints crash without its task too: idle ones, or
// those of instances from which it is cut off.
func TestCrashesElsewhereAreCounted(t *testing.T) {
	t.Parallel()
	crash := func(e *fakeEndpoint) {
		e.crashAndReturn(e.sim.crashedReturnSame)
		e.sim.crashEndpoints(4, e.sim.crashedReturnSame)
	}
	// cutOff cuts the home off from its peers, which have tasks of their own.
	cutOff := func(sim *simulation, home int) {
		sim.isolate(home, time.Minute)
		for i := range 100 {
			sim.after(time.Duration(300*i)*time.Millisecond, func() {
				at := (home + 1 + sim.rng.IntN(len(sim.instances)-1)) % len(sim.instances)
				sim.submit(at, &longQueue, 12*time.Second, step(2, 900*time.Millisecond))
			})
		}
	}
	tests := []soundTaskCase{
		{"idle endpoints", nil, crash},
		{"idle endpoints, for which others return", func(sim *simulation, _ int) { sim.crashedReturnSame = false }, crash},
		{"endpoints of peers from which the home is cut off", cutOff, crash},
		{"the home is cut off from the list too", func(sim *simulation, home int) {
			sim.instances[home].blind = true
			cutOff(sim, home)
		}, crash},
	}
	for _, tt := range tests {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) { tt.play(t, seed) })
		}
	}
}

// TestRunOfNextBootIsNotLost guards against a run that the next boot of an endpoint has
// started and that counts as lost with the boot before it, which crashed while it was idle:
// the reply to its start came before the poll reply that shows the restart, so that two
// crashes count though one came during a run.
func TestRunOfNextBootIsNotLost(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, seed, 1, 1)
			e := sim.endpoints[0]
			e.crash(100 * time.Millisecond) // idle, and not noticed
			sim.advance(600 * time.Millisecond)
			c := sim.submit(0, &longQueue, 20*time.Second, step(1, 900*time.Millisecond))
			name := taskName(c.job.ID, 0, 0)
			sim.advance(400 * time.Millisecond)
			is.Equal(len(e.runs), 1)
			t.Logf("while the only run is under way: %+v", sim.instances[0].machine.losses.History(name))
			e.crash(rebootTime) // during the run, once
			sim.advance(19 * time.Second)
			is.Equal(sim.observer.crashesDuring[name], 1)
			is.True(len(c.answers) > 0)
			for _, f := range c.answers {
				is.True(f == nil || f.Kind != fault.TaskFailed)
			}
		})
	}
}
