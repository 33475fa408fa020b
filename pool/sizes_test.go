package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// TestUnguardedEndpointsKeepTheirSize guards against starts that bring an endpoint over
// its size where endpoints don't refuse what doesn't fit. The observer checks each
// start beside endpoints that become smaller or restart smaller and eight random
// failures.
func TestUnguardedEndpointsKeepTheirSize(t *testing.T) {
	t.Parallel()
	for seed := *firstScenario; seed < *firstScenario+uint64(*scenarios/2); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := startSimulation(t, seed, 4, 10)
			sim.unguard()
			sizes := sizeFailures()
			for range 6 {
				f := sizes[sim.rng.IntN(len(sizes))]
				sim.after(time.Duration(sim.rng.Int64N(int64(9*time.Second))), func() { f.inject(sim) })
			}
			sim.generateLoad(10 * time.Second)
			sim.injectTogether()
			sim.advance(10 * time.Second)
			sim.checkIdle()
		})
	}
}

// TestSizeChangesAlone is like TestUnguardedEndpointsKeepTheirSize with each kind of
// size change alone.
func TestSizeChangesAlone(t *testing.T) {
	t.Parallel()
	for _, f := range sizeFailures() {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				sim := startSimulation(t, seed, 4, 10)
				sim.unguard()
				sim.generateLoad(10 * time.Second)
				for i := range 6 {
					sim.after(time.Duration(1+i)*time.Second, func() { f.inject(sim) })
				}
				sim.advance(10 * time.Second)
				sim.checkIdle()
			})
		}
	}
}

// TestUnguardedEndpointsServeAsMuch checks that what protects endpoints that don't
// guard their size costs next to nothing, also beside sizes that go up and down each
// second.
func TestUnguardedEndpointsServeAsMuch(t *testing.T) {
	t.Parallel()
	play := func(unguarded bool) float64 {
		sim := startSimulation(t, 1, 4, 28)
		if unguarded {
			sim.unguard()
		}
		for i, e := range sim.endpoints[:4] {
			for k := range 10 {
				sim.after(time.Duration(k)*time.Second, func() { e.resize(float64(16 - 9*((i+k)%2))) })
			}
		}
		tallies := sim.generateMixedLoad(10*time.Second, 0.7)
		sim.advance(14 * time.Second)
		logTallies(t, tallies)
		return goalShare(tallies)
	}
	guarded, unguarded := play(false), play(true)
	t.Logf("in goal %.3f, unguarded %.3f", guarded, unguarded)
	if unguarded < guarded-0.02 {
		t.Errorf("%.3f of the jobs are within their goal, %.3f if endpoints guard their size", unguarded, guarded)
	}
}

// TestReportedSize checks which size of an endpoint counts if the list and the endpoint
// itself differ.
func TestReportedSize(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	boot, next := now.Add(-time.Hour), now.Add(-time.Second)
	listed := func(boot time.Time, cores float64) endpoint.Info {
		return endpoint.Info{ID: "e", Slots: 8, Size: needs(cores), StartedAt: boot}
	}
	tests := []struct {
		name  string
		apply func(e *endpointState)
		want  float64
	}{
		{"the list alone", func(e *endpointState) { e.setInfo(now, listed(boot, 8)) }, 8},
		{"the endpoint reports less", func(e *endpointState) {
			e.applyReportedSize(now, PollReply{StartedAt: boot, Size: needs(4)})
			e.setInfo(now.Add(time.Second), listed(boot, 16))
		}, 4},
		{"the report is old", func(e *endpointState) {
			e.applyReportedSize(now, PollReply{StartedAt: boot, Size: needs(4)})
			e.setInfo(now.Add(3*time.Second), listed(boot, 16))
		}, 16},
		{"an entry of an earlier boot comes late", func(e *endpointState) {
			e.setInfo(now, listed(next, 4))
			e.setInfo(now, listed(boot, 16))
		}, 4},
		{"no report", func(e *endpointState) { e.applyReportedSize(now, PollReply{StartedAt: boot}) }, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpointState(listed(boot, 16))
			tt.apply(e)
			is.Equal(e.info.Size.Cores, tt.want)
		})
	}
}

// TestLabelOfEarlierBoot guards against a task that requires a label on an endpoint
// that has restarted as another kind, by the list's entry of its earlier boot.
func TestLabelOfEarlierBoot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	e := sim.endpoints[0]
	listed := e.info
	e.crash(100 * time.Millisecond)
	sim.after(101*time.Millisecond, func() {
		e.info.Labels = []string{"b", "r0"}
		e.staleEntry = &listed
	})
	sim.advance(2 * time.Second)
	labelled := Step{Tasks: 1, Needs: needs(1), Estimate: 50 * time.Millisecond, Requires: "a"}
	sim.submit(0, urgent, time.Second, labelled)
	sim.submit(0, urgent, time.Second, labelled)
	sim.advance(300 * time.Millisecond) // the answer of a first start tells the new boot
	before := e.startCount
	sim.submit(0, urgent, time.Second, labelled)
	sim.advance(300 * time.Millisecond)
	is.Equal(e.startCount, before)
	e.staleEntry = nil
	sim.listEndpoints()
	c := sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(1), Estimate: 50 * time.Millisecond, Requires: "b"})
	sim.advance(300 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestEndpointWithUnknownRunIsUsedAgain guards against an endpoint that gets no work any
// more after a run was found there that its holder does not know of, and whose stop had
// no effect.
func TestEndpointWithUnknownRunIsUsedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	n, e := sim.instances[0], sim.endpoints[0]
	first := sim.submit(0, urgent, 2*time.Second, step(1, 600*time.Millisecond))
	sim.advance(800 * time.Millisecond)
	is.Equal(len(first.answers), 1)
	sim.submit(0, urgent, 2*time.Second, step(1, 100*time.Millisecond))
	sim.advance(10 * time.Millisecond)
	late := Start{Order: Order{Token: e.token}, Run: run.Ref{Task: taskName(first.job.ID, 0, 0), Number: 9}, Until: e.clock() + time.Second}
	is.Equal(e.start(late).Outcome, Accepted) // an order that was given up is carried out
	e.losesStops = true
	sim.advance(500 * time.Millisecond)
	is.Equal(n.machine.endpoints[e.info.ID].unknownRuns, 1)
	sim.advance(500 * time.Millisecond)
	is.Equal(n.machine.endpoints[e.info.ID].unknownRuns, 0)
	c := sim.submit(0, urgent, 2*time.Second, step(1, 20*time.Millisecond))
	sim.advance(200 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestUnansweredPollKeepsSlots guards against jobs that are refused because endpoints that
// don't guard their size have left a poll unanswered: they get no further run until they
// answer, but their slots count.
func TestUnansweredPollKeepsSlots(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	sim.unguard()
	sim.submit(0, &longQueue, 4*time.Second, step(1, 2*time.Second))
	sim.advance(300 * time.Millisecond)
	m := sim.instances[0].machine
	before, _ := m.slotTotals(sim.now, "s")
	is.True(before > 0)
	sim.addTrouble(500*time.Millisecond, trouble{problem: orderLost, kinds: []orderKind{pollOrder}, share: 1})
	sim.advance(450 * time.Millisecond)
	is.True(m.held[0].answerIsOld(sim.now))
	slots, _ := m.slotTotals(sim.now, "s")
	is.Equal(slots, before)
	is.True(!m.held[0].accepts(sim.now, message.StartRun{Service: "s", Needs: needs(1)}))
}
