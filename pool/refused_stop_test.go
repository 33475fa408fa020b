package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusedStopKeepsRun guards against counting a refused stop as accepted, after which the task started again next to its run.
func TestRefusedStopKeepsRun(t *testing.T) {
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
