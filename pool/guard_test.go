package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/run"
)

// TestNoStartExtendsLeaseOfOrphan guards against starts that extend the lease of an
// orphaned run whose stops are refused: one start shortly after the stop would end
// before the caller asks elsewhere, later ones would not.
func TestNoStartExtendsLeaseOfOrphan(t *testing.T) {
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

// TestRunEndsLongAfterSuspension guards against a task that starts again when its run
// ends without success some time after a suspension that was noticed before.
func TestRunEndsLongAfterSuspension(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 1)
	sim.advance(2 * time.Second)
	n := sim.instances[0]
	c := sim.submit(0, &longQueue, 8*time.Second, step(1, 2*time.Second))
	sim.advance(20 * time.Millisecond)
	sim.input(n, func(m *Machine, _ *Output) { m.RecordSuspension(2 * time.Second) })
	sim.advance(500 * time.Millisecond)
	is.Equal(len(c.answers), 0) // its run goes on
	ref := run.Ref{Task: taskName(c.job.ID, 0, 0), Number: 1}
	sim.input(n, func(m *Machine, out *Output) {
		m.finishRun(sim.now, m.held[0], ref, run.Expired, out)
		m.advance(sim.now, out)
	})
	sim.advance(10 * time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	is.Equal(len(c.answers), 1)
	is.Equal(c.answers[0].Kind, fault.OutcomeUnknown)
}
