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
	sim.isolateEndpoint(e.index, d)
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
	t.Logf("%d endpoints lost with runs, %d crashes proved, answers %v", len(sim.logged(event.EndpointLost, "")), len(sim.logged(event.EndpointCrashProved, "")), c.answers)
	is.True(len(c.answers) > 0)
	for _, o := range sim.observer.jobs {
		for _, f := range o.answers {
			is.True(f == nil || f.Kind != fault.TaskFailed)
		}
	}
}

// crashAfterEnd cuts the endpoint off from all instances while its run ends, and crashes it
// 20 ms later, before its lease has ended.
func (e *fakeEndpoint) crashAfterEnd() {
	const cut = 60 * time.Millisecond
	sim, r := e.sim, e.sortedRuns()[0]
	end := r.startedAt.Add(r.duration).Sub(sim.now)
	sim.after(end-cut/3, func() { sim.isolateEndpoint(e.index, cut) })
	sim.after(end+cut/3, func() { e.crash(rebootTime) })
}

// playAll plays the cases with six seeds each.
func playAll(t *testing.T, tests []soundTaskCase) {
	t.Parallel()
	for _, tt := range tests {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) { tt.play(t, seed) })
		}
	}
}

// TestCrashAfterRunAccusesNobody guards against a sound job that is answered as failed
// because endpoints crashed after its task's runs had ended there: by the lease, behind a
// cut, or without that the end was listed.
func TestCrashAfterRunAccusesNobody(t *testing.T) {
	behindCut := func(e *fakeEndpoint) { e.crashBehindCut(3 * time.Second) }
	playAll(t, []soundTaskCase{
		{"behind a cut", nil, behindCut},
		{"behind a cut that refuses connections", func(sim *simulation, _ int) { sim.refuseConnections = true }, behindCut},
		{"after an end that was not listed", nil, (*fakeEndpoint).crashAfterEnd},
	})
}

// TestUnknownCrashesElsewhere guards against a sound job that is answered as failed because
// its home does not know that endpoints crash without its task too: idle ones, or those of
// instances from which it is cut off.
func TestUnknownCrashesElsewhere(t *testing.T) {
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
	playAll(t, []soundTaskCase{
		{"idle endpoints", nil, crash},
		{"idle endpoints, for which others return", func(sim *simulation, _ int) { sim.crashedReturnSame = false }, crash},
		{"endpoints of peers from which the home is cut off", cutOff, crash},
		{"the home is cut off from the list too", func(sim *simulation, home int) {
			sim.instances[home].blind = true
			cutOff(sim, home)
		}, crash},
	})
}

// TestRunOfNextBootIsNotLost guards against a run that the next boot of an endpoint has
// started and that counts as lost with the boot before it, which crashed while it was idle:
// the reply to its start came before the poll reply that shows the restart.
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
			is.Equal(sim.instances[0].machine.losses.History(name).Losses, 0) // while it is working
			e.crash(rebootTime)
			sim.advance(19 * time.Second)
			is.Equal(len(c.answers), 1)
			is.True(c.answers[0] == nil) // complete
		})
	}
}
