package pool

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// TestExpectedRunOfAnotherHome tests that a home that expects a run hears that its
// start was lost with the stream, also if another home has a run of the same name
// here.
func TestExpectedRunOfAnotherHome(t *testing.T) {
	is := is.New(t)
	sim, m, a, b := newHolder(t, 6)
	acceptStart(t, sim, m, receive(sim, m, a, startOf(sameRef)))
	out := receive(sim, m, b, message.Runs{Runs: []run.Ref{sameRef}})
	informed := 0
	for _, msg := range out.Messages {
		if u, ok := msg.Body.(message.RunUpdate); ok && msg.To == b && u.Run == sameRef {
			informed++
		}
	}
	is.Equal(informed, 1) // b hears of its run
}

// TestStartBesideRunOfAnotherHome tests that a holder does not start a task while it
// has a run of the same task for another home, whatever the numbers of the two runs:
// the second home waits for a lease and then asks with the next number.
func TestStartBesideRunOfAnotherHome(t *testing.T) {
	is := is.New(t)
	sim, m, a, b := newHolder(t, 6)
	acceptStart(t, sim, m, receive(sim, m, a, startOf(sameRef)))
	is.Equal(len(receive(sim, m, b, startOf(sameRef)).Starts), 0)
	next := run.Ref{Task: sameRef.Task, Number: sameRef.Number + 1}
	is.Equal(len(receive(sim, m, b, startOf(next)).Starts), 0) // a's run is still on
}
