package pool

import (
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
			sim.troubles = []trouble{
				{startOrder, fate{answerLost: true}},
				{stopOrder, fate{refused: true, refusal: refusal}},
			}
			c := sim.submit(0, routine, 4*time.Second, step(1, time.Second))
			sim.advance(600 * time.Millisecond)
			is.Equal(sim.observer.starts, 1) // the first run is still on
			sim.troubles = nil
			sim.advance(2 * time.Second)
			is.Equal(len(c.answers), 1)
			is.True(c.answers[0] == nil)
			sim.checkIdle()
		})
	}
}
