package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/run"
)

// TestRefusedStopKeepsRun guards against counting a refused stop as accepted, after which the task started again next to its run.
func TestRefusedStopKeepsRun(t *testing.T) {
	t.Parallel()
	for _, refusal := range []Outcome{Unhealthy, Invalid, Full, Late, Old} {
		t.Run(refusal.String(), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 1, 2)
			refuse := problem{refusal.String(), func(f *fate, _ *rand.Rand) { f.refused, f.refusal = true, refusal }}
			sim.addTrouble(600*time.Millisecond, trouble{problem: answerReset, kinds: []orderKind{startOrder}, share: 1})
			sim.addTrouble(600*time.Millisecond, trouble{problem: refuse, kinds: []orderKind{stopOrder}, share: 1})
			c := sim.submit(0, routine, 4*time.Second, step(1, time.Second))
			sim.advance(600 * time.Millisecond)
			is.Equal(sim.observer.starts, 1) // the first run is still on
			sim.advance(2 * time.Second)
			is.Equal(len(c.answers), 1)
			is.True(c.answers[0] == nil)
			sim.checkIdle()
		})
	}
}

// TestLostStartWithRefusedStops guards against a task that waits for the stop of
// a run that never began.
func TestLostStartWithRefusedStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	sim.addTrouble(2*time.Second, trouble{problem: refused, kinds: []orderKind{stopOrder}, share: 1})
	sim.lateShare = 1
	c := sim.submit(0, routine, 4*time.Second, step(1, 500*time.Millisecond))
	sim.lateShare = 0
	sim.advance(2 * time.Second) // a lease and a run
	is.Equal(sim.observer.ends[run.Done], 1)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
	sim.checkIdle()
}

// TestLeaseEndsOrphanWithRefusedStops guards against renewing the lease of a run
// that nothing waits for and whose stops are refused: its caller may have
// submitted the job elsewhere.
func TestLeaseEndsOrphanWithRefusedStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	abandoned := sim.submit(0, routine, 5*time.Second, step(1, 4*time.Second))
	sim.submit(0, routine, 5*time.Second, step(1, time.Second))
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 2)
	sim.addTrouble(testRetryDelay, trouble{problem: refused, kinds: []orderKind{stopOrder}, share: 1})
	sim.disconnectCaller(abandoned)
	sim.advance(100 * time.Millisecond)
	sim.submit(0, routine, 5*time.Second, step(1, time.Second)) // would extend the lease
	sim.advance(testRetryDelay - 100*time.Millisecond)
	is.Equal(len(sim.observer.running[taskName(abandoned.job.ID, 0, 0)]), 0)
	sim.checkIdle()
}

// TestTaskOnEndpointThatRefusesAll tests that a task does not wait for ever for an
// endpoint that refuses all orders, polls included: its run ends with its lease, and
// the task starts elsewhere.
func TestTaskOnEndpointThatRefusesAll(t *testing.T) {
	t.Parallel()
	for _, refusal := range []problem{refused, invalid} {
		t.Run(refusal.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 1, 2)
			c := sim.submit(0, &longQueue, 20*time.Second, step(1, 2*time.Second))
			sim.advance(300 * time.Millisecond)
			is.Equal(sim.observer.starts, 1)
			at := sim.instances[0].machine.tasks[taskName(c.job.ID, 0, 0)].endpoint
			sim.addTrouble(15*time.Second, trouble{problem: refusal, endpoint: sim.byID[at], share: 1})
			sim.advance(6 * time.Second)                                     // a lease, a stall and a run
			is.Equal(len(sim.observer.running[taskName(c.job.ID, 0, 0)]), 0) // the lease has ended the run
			is.Equal(sim.observer.starts, 2)                                 // the task starts elsewhere
			is.Equal(len(c.answers), 1)
		})
	}
}

// TestHungRunWithRefusedStops tests that a task whose run hangs starts elsewhere in
// time, though the endpoint refuses the run's stops.
func TestHungRunWithRefusedStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	for _, e := range sim.endpoints {
		e.hangs = true
	}
	c := sim.submit(0, &longQueue, 20*time.Second, step(1, 500*time.Millisecond))
	sim.advance(300 * time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	at := sim.instances[0].machine.tasks[taskName(c.job.ID, 0, 0)].endpoint
	for _, e := range sim.endpoints {
		e.hangs = e.info.ID == at
	}
	sim.addTrouble(15*time.Second, trouble{problem: refused, kinds: []orderKind{stopOrder}, endpoint: sim.byID[at], share: 1})
	sim.advance(6 * time.Second)
	is.Equal(sim.observer.starts, 2)
	is.Equal(len(c.answers), 1)
}

// TestNoStartExtendsLeaseOfOrphan guards against starts that extend the lease of an
// orphaned run whose stops are refused: one start shortly after the stop would end
// before the caller asks elsewhere, later ones would not.
func TestNoStartExtendsLeaseOfOrphan(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	small := Step{Tasks: 1, Needs: needs(1), Estimate: 4 * time.Second}
	abandoned := sim.submit(0, &longQueue, 20*time.Second, small)
	sim.submit(0, &longQueue, 20*time.Second, small)
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 2)
	sim.addTrouble(testRetryDelay, trouble{problem: refused, kinds: []orderKind{stopOrder}, share: 1})
	sim.disconnectCaller(abandoned)
	for range 6 {
		sim.advance(100 * time.Millisecond)
		sim.submit(0, &longQueue, 20*time.Second, small)
	}
	sim.advance(testRetryDelay - 600*time.Millisecond)
	is.Equal(len(sim.observer.running[taskName(abandoned.job.ID, 0, 0)]), 0)
}

// TestLeaseUnderCancellations tests that callers that leave one after another do not
// end the lease of other runs on the endpoint, though no stop is refused.
func TestLeaseUnderCancellations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	sim.submit(0, &longQueue, 20*time.Second, step(1, 4*time.Second))
	sim.advance(50 * time.Millisecond)
	sim.addTrouble(5*time.Second, trouble{problem: replyDelay, kinds: []orderKind{stopOrder}, share: 1})
	for i := range 150 {
		sim.after(time.Duration(i)*20*time.Millisecond, func() {
			c := sim.submit(0, &longQueue, 20*time.Second, step(1, 4*time.Second))
			sim.after(60*time.Millisecond, func() { sim.disconnectCaller(c) })
		})
	}
	sim.advance(4 * time.Second)
	is.Equal(sim.observer.ends[run.Expired], 0)
}

// homeGoneTest is a failure of a job's home. Its endpoints have other runs, and
// lose all stops if stopsLost is set.
type homeGoneTest struct {
	name      string
	fail      func(sim *simulation)
	stopsLost bool
	otherRuns int
}

// TestHomeGoneWhileStopsAreLost tests that a task whose home is cut off from the
// holder, or is gone, does not start again while its run is on the endpoint. The
// holder can't stop the run if its stops have no effect, and it renews the lease
// for the other runs of the endpoint. The observer fails the test if a second run
// starts.
func TestHomeGoneWhileStopsAreLost(t *testing.T) {
	t.Parallel()
	cutOff := func(sim *simulation) { sim.partitionInstances(0, 1, 4*time.Second) }
	killed := func(sim *simulation) { sim.kill(0, false) }
	tests := []homeGoneTest{
		{"cut off, stops arrive", cutOff, false, 12},
		{"cut off, stops are lost, no other runs", cutOff, true, 0},
		{"cut off, stops are lost, other runs keep the lease", cutOff, true, 12},
		{"killed, stops arrive", killed, false, 12},
		{"killed, stops are lost, no other runs", killed, true, 0},
		{"killed, stops are lost, other runs keep the lease", killed, true, 12},
		{"power loss, stops arrive", losePower, false, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

// TestPowerLossWhileStopsAreLost is like TestHomeGoneWhileStopsAreLost for a home
// whose loss the holder notices only by its silence.
func TestPowerLossWhileStopsAreLost(t *testing.T) {
	t.Parallel()
	tests := []homeGoneTest{
		{"no other runs", losePower, true, 0},
		{"other runs keep the lease", losePower, true, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

func losePower(sim *simulation) { sim.kill(0, true) }

// run fails the home of a job, with or without stops that have an effect.
func (tt homeGoneTest) run(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 1, 1, 3, 6)
	sim.advance(2 * time.Second)
	if tt.otherRuns > 0 {
		sim.submit(1, &longQueue, 20*time.Second, Step{Tasks: tt.otherRuns, Needs: needs(1), Estimate: 5 * time.Second})
	}
	sim.advance(100 * time.Millisecond)
	c := sim.submit(0, &longQueue, 20*time.Second, Step{Tasks: 30, Needs: needs(1), Estimate: 5 * time.Second})
	sim.advance(100 * time.Millisecond)
	for _, e := range sim.endpoints {
		e.losesStops = tt.stopsLost
	}
	tt.fail(sim)
	sim.advance(4 * time.Second)
	is.True(sim.observer.startsByJob[c.job.ID] > 30) // tasks did start again
}
