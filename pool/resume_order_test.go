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
	tests := []struct {
		name  string
		input func(now time.Time, m *Machine, e *endpointState, out *Output)
	}{
		{"a version", func(now time.Time, m *Machine, _ *endpointState, out *Output) { m.SetVersion(now, 1, out) }},
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
