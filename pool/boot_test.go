package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReplyFromEarlierBoot guards against a late reply of an earlier boot, whose
// clock would end the leases of the present one.
func TestReplyFromEarlierBoot(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	n := sim.instances[0]
	e, fake := n.machine.held[0], sim.endpoints[0]
	sim.advance(10 * time.Second)
	late := PollReply{Reply: Reply{Endpoint: e.info.ID, Token: e.token, Clock: fake.clock(), Sent: sim.now}, StartedAt: fake.startedAt}
	fake.crash(300 * time.Millisecond)
	sim.advance(time.Second)
	sim.submit(0, routine, 4*time.Second, step(1, time.Second))
	sim.advance(500 * time.Millisecond)
	is.Equal(e.info.StartedAt, fake.startedAt)
	sim.input(n, func(m *Machine, out *Output) {
		m.HandlePollReply(sim.now, late, out)
		m.HandleStopReply(sim.now, StopReply{Reply: late.Reply}, out)
	})
	is.Equal(e.info.StartedAt, fake.startedAt)
	is.True(e.clock.reading < 5*time.Second)
}
