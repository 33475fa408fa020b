package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// TestInputBeforeTickAfterSuspension tests that an instance that was suspended
// starts no waiting task, whichever input it handles first: the callers may have
// sent their jobs again elsewhere.
func TestInputBeforeTickAfterSuspension(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 1)
	sim.advance(2 * time.Second)
	n := sim.instances[0]
	first := sim.submit(0, &longQueue, 8*time.Second, Step{Tasks: 1, Needs: needs(16), Estimate: 500 * time.Millisecond})
	sim.advance(20 * time.Millisecond)
	sim.submit(0, &longQueue, 8*time.Second, Step{Tasks: 1, Needs: needs(16), Estimate: 500 * time.Millisecond})
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
}

// TestUncountedSuspension guards against a start after a suspension that the
// steady clock does not count: neither a task that waited nor one whose run ended
// starts here, since its caller may have submitted the job elsewhere.
func TestUncountedSuspension(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 1)
	sim.advance(2 * time.Second)
	n := sim.instances[0]
	running := sim.submit(0, &longQueue, 8*time.Second, Step{Tasks: 1, Needs: needs(16), Estimate: 500 * time.Millisecond})
	sim.advance(20 * time.Millisecond)
	waiting := sim.submit(0, &longQueue, 8*time.Second, Step{Tasks: 1, Needs: needs(16), Estimate: 500 * time.Millisecond})
	sim.input(n, func(m *Machine, _ *Output) { m.RecordSuspension(2 * time.Second) })
	ref := run.Ref{Task: taskName(running.job.ID, 0, 0), Number: 1}
	sim.input(n, func(m *Machine, out *Output) {
		m.finishRun(sim.now, m.held[0], ref, run.Expired, out)
		m.advance(sim.now, out)
	})
	sim.advance(time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	is.Equal(len(waiting.answers), 1)
	is.Equal(waiting.answers[0].Kind, fault.NotReady)
	is.Equal(len(running.answers), 1)
	is.Equal(running.answers[0].Kind, fault.OutcomeUnknown)
}

// TestStartReadAfterSuspension tests that a holder that was suspended does not
// carry out a start that waited on its stream meanwhile: its home counts it as
// lost and may have started the task elsewhere.
func TestStartReadAfterSuspension(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, m, a, _ := newHolder(t, 6)
	out := &Output{}
	resumed := sim.now.Add(2500 * time.Millisecond)
	for range 2 {
		m.Receive(resumed, message.Message{From: a, To: m.cfg.Self.Ref, Body: startOf(sameRef)}, out)
	}
	is.Equal(len(out.Starts), 0)
}

// TestSubmitAfterSuspension tests that a request that may have waited unread during
// a suspension is refused, since its caller may have submitted the job elsewhere,
// and that later ones are served.
func TestSubmitAfterSuspension(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	n := sim.instances[0]
	sim.input(n, func(m *Machine, _ *Output) { m.RecordSuspension(2 * time.Second) })
	for range 2 {
		c := sim.submit(0, routine, 4*time.Second, step(1, 100*time.Millisecond))
		is.Equal(len(c.answers), 1)
		is.Equal(c.answers[0].Kind, fault.NotReady)
	}
	sim.advance(resumeTime)
	is.Equal(sim.observer.starts, 0)
	c := sim.submit(0, routine, 4*time.Second, step(1, 100*time.Millisecond))
	sim.advance(200 * time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestStartsInFlightAfterSuspension tests that an instance that stood still does not
// stop the runs whose answers wait unread: the missing answers are its own fault.
func TestStartsInFlightAfterSuspension(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	c := sim.submit(0, &longQueue, 20*time.Second, step(1, 2*time.Second))
	sim.suspend(0, 700*time.Millisecond) // before the answer is read
	sim.advance(2500 * time.Millisecond)
	is.Equal(sim.observer.ends[run.Stopped], 0)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestTickAfterResumingInput tests that the first tick after a suspension stops no run
// whose answer still waits unread, also if another input noticed the suspension just
// before.
func TestTickAfterResumingInput(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		input func(now time.Time, m *Machine, e *endpointState, out *Output)
	}{
		{"a version", func(now time.Time, m *Machine, _ *endpointState, out *Output) { m.SetConfiguration(now, 1, nil, out) }},
		{"a poll's reply", func(now time.Time, m *Machine, e *endpointState, out *Output) {
			reply := Reply{Endpoint: e.info.ID, Token: e.token, Clock: 3 * time.Second, Sent: now}
			m.HandlePollReply(now, PollReply{Reply: reply, StartedAt: e.info.StartedAt}, out)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 1, 2)
			m := sim.instances[0].machine
			c := sim.submit(0, &longQueue, 20*time.Second, step(1, 2*time.Second))
			e := m.endpoints[m.tasks[taskName(c.job.ID, 0, 0)].endpoint]
			out := &Output{} // the answer to the start is not read yet
			resumed := sim.now.Add(700 * time.Millisecond)
			tt.input(resumed, m, e, out)
			m.Tick(resumed.Add(time.Millisecond), out)
			is.Equal(len(out.Stops), 0)
		})
	}
}

// TestRunEndsLongAfterSuspension guards against a task that starts again when its run
// ends without success some time after a suspension that was noticed before.
func TestRunEndsLongAfterSuspension(t *testing.T) {
	t.Parallel()
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
