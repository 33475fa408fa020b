package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/run"
)

// TestInputBeforeTickAfterSuspension tests that an instance that was suspended
// starts no waiting task, whichever input it handles first: the callers may have
// sent their jobs again elsewhere.
func TestInputBeforeTickAfterSuspension(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 1)
	sim.advance(2 * time.Second)
	n := sim.instances[0]
	first := sim.submit(0, &longQueue, 8*time.Second, Step{Tasks: 1, Needs: needs(16), Estimate: 500 * time.Millisecond})
	sim.advance(20 * time.Millisecond)
	second := sim.submit(0, &longQueue, 8*time.Second, Step{Tasks: 1, Needs: needs(16), Estimate: 500 * time.Millisecond})
	is.Equal(len(n.machine.queue), 1) // the second job waits
	resumedAt := sim.now.Add(2 * time.Second)
	e := n.machine.held[0]
	out := &Output{}
	n.machine.HandlePollReply(resumedAt, PollReply{
		Reply:     Reply{Endpoint: e.info.ID, Token: e.token, Outcome: Accepted, Clock: 5 * time.Second, Sent: resumedAt},
		StartedAt: e.info.StartedAt,
		Ended:     []End{{Number: e.lastEnd + 1, Run: run.Ref{Task: taskName(first.job.ID, 0, 0), Number: 1}, Status: run.Done}},
	}, out)
	is.Equal(len(out.Starts), 0) // of the second job
	_ = second
}
