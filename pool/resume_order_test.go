package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTickAfterResumingInput tests that the first tick after a suspension stops no run
// whose answer still waits unread, also if another input noticed the suspension just
// before.
func TestTickAfterResumingInput(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	m := sim.instances[0].machine
	sim.submit(0, &longQueue, 20*time.Second, step(1, 2*time.Second))
	out := &Output{} // the answer to the start is not read yet
	resumed := sim.now.Add(700 * time.Millisecond)
	m.SetVersion(resumed, 1, out)
	m.Tick(resumed.Add(time.Millisecond), out)
	is.Equal(len(out.Stops), 0)
}
