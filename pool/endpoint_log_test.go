package pool

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// linesAboutEndpoints returns the number of lines about claims, releases and
// lost and regained endpoints.
func (sim *simulation) linesAboutEndpoints() int {
	n := 0
	for _, k := range []event.Kind{event.EndpointAdded, event.EndpointsClaimed, event.EndpointsReleased, event.EndpointUnresponsive, event.EndpointAnswers} {
		n += len(sim.logged(k, ""))
	}
	return n
}

// TestFewLinesOfLargeFleet tests that a fleet writes few lines about its
// endpoints when it starts and when an instance stops.
func TestFewLinesOfLargeFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startLargeFleet(t, 1)
	lines := sim.linesAboutEndpoints()
	t.Logf("%d instances, %d endpoints, %d lines after the start", len(sim.instances), len(sim.endpoints), lines)
	is.True(lines <= 6*len(sim.instances))
	sim.input(sim.instances[0], func(m *Machine, out *Output) { m.BeginStop(sim.now, sim.now.Add(5*time.Second), out) })
	sim.advance(4 * time.Second)
	stopped := sim.linesAboutEndpoints() - lines
	t.Logf("%d lines after a planned stop", stopped)
	is.True(stopped <= 2*len(sim.instances))
}

// TestDeadEndpointIsLoggedOnce tests that an endpoint that is claimed again and
// again without an answer is logged as lost once, and as regained once.
func TestDeadEndpointIsLoggedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 2)
	sim.advance(2 * time.Second)
	sim.submit(0, &longQueue, 4*time.Second, step(4, time.Second))
	sim.partitionEndpoint(0, 0, 20*time.Second)
	sim.advance(30 * time.Second)
	id := sim.endpoints[0].info.ID
	is.Equal(len(sim.logged(event.EndpointUnresponsive, id)), 1)
	is.Equal(len(sim.logged(event.EndpointAnswers, id)), 1)
	is.True(strings.HasPrefix(sim.logged(event.EndpointAnswers, id)[0], "last answer 20."))
}

// TestReconnectedPeerIsLogged tests that the line about a stream that was opened
// again says so.
func TestReconnectedPeerIsLogged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 2, 2)
	sim.advance(2 * time.Second)
	a, b := sim.instances[0], sim.instances[1]
	sim.disconnect(a, b)
	sim.after(100*time.Millisecond, func() { sim.connect(a, b) })
	sim.advance(time.Second)
	lines := sim.logged(event.PeerJoined, b.self.ID)
	is.True(strings.HasSuffix(lines[len(lines)-1], ", again after 100ms"))
}
