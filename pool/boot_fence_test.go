package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewBootIsFencedBesideImmediatePoll tests that a new boot is told the new token at
// once, also if an immediate poll with the earlier token is pending: no run is left
// there that would send another poll.
func TestNewBootIsFencedBesideImmediatePoll(t *testing.T) {
	for _, pending := range []bool{false, true} {
		is := is.New(t)
		sim := startSimulation(t, 1, 1, 2)
		m := sim.instances[0].machine
		c := sim.submit(0, &longQueue, 8*time.Second, step(1, 4*time.Second))
		sim.advance(100 * time.Millisecond)
		e := m.endpoints[m.tasks[taskName(c.job.ID, 0, 0)].endpoint]
		e.health.backOff(sim.now) // the task starts elsewhere
		earlier := e.token
		e.immediatePolling = pending
		out := &Output{}
		r := Reply{Endpoint: e.info.ID, Token: e.token, Outcome: Accepted, Clock: time.Millisecond, Sent: sim.now}
		m.HandlePollReply(sim.now.Add(time.Millisecond), PollReply{Reply: r, StartedAt: e.info.StartedAt.Add(time.Second)}, out)
		is.True(e.token > earlier)
		fencing := 0
		for _, p := range out.Polls {
			if p.Endpoint.ID == e.info.ID && p.Token == e.token {
				fencing++
			}
		}
		t.Logf("pending %t: %d polls with the new token", pending, fencing)
		is.True(fencing > 0)
	}
}
