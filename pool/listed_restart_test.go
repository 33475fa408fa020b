package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/message"
)

// TestLossAfterListedRestart guards against a caller that waits for the proof of a crash
// until its deadline: the list showed the restart of a peer's endpoint before the peer
// reported the loss.
func TestLossAfterListedRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 2)
	e := sim.endpoints[0]
	var holder, other *fakeInstance
	for _, n := range sim.instances {
		if s := n.machine.endpoints[e.info.ID]; s != nil && s.active {
			holder = n
			continue
		}
		other = n
	}
	is.True(holder != nil && other != nil)
	loss := message.EndpointLoss{Endpoint: e.info.ID, Address: e.info.Address, StartedAt: e.listed().StartedAt, Runs: []crash.Run{{Task: "t", Queue: "q"}}}
	e.crash(100 * time.Millisecond)
	sim.advance(time.Second)
	sim.listEndpoints()
	sim.input(other, func(m *Machine, out *Output) {
		m.Receive(sim.now, message.Message{From: holder.self.Ref, To: other.self.Ref, Body: message.EndpointLosses{Losses: []message.EndpointLoss{loss}}}, out)
	})
	is.Equal(other.machine.losses.History("t").Proved, 1)
}
