package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
)

// TestLeavingIsReported answers the notice of an endpoint whose runs outlast it: from
// the moment that the holder knows, its slots are not counted there nor, within 0.1 s,
// at the other instances, and the slots that its runs will take are reported as about
// to be lost. An endpoint that is claimed, or cold, is reported as joining.
func TestLeavingIsReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 2, 4)
	sim.advance(2 * time.Second)
	for _, n := range sim.instances {
		n.machine.countSize("s", needs(6.8), 1)
	}
	for range 4 { // all slots but two
		sim.submit(0, &longQueue, 30*time.Second, step(1, 8*time.Second))
	}
	sim.submit(0, &longQueue, 30*time.Second, step(2, 8*time.Second))
	sim.advance(300 * time.Millisecond)
	capacities := func() (slots, leaving, joining float64) {
		for _, n := range sim.instances {
			for _, c := range n.machine.ownFreeSlots(sim.now).Capacities {
				slots += float64(c.Slots)
				leaving += c.Leaving
				joining += c.Joining
			}
		}
		return slots, leaving, joining
	}
	slots, leaving, joining := capacities()
	is.Equal([]float64{slots, leaving, joining}, []float64{8, 0, 0})

	e := sim.endpoints[0]
	runs := len(e.runs)
	is.True(runs > 0)
	e.losesStops = true // the runs stay until their endpoint leaves
	e.leaving.at = sim.now.Add(time.Second)
	sim.listEndpoints()
	slots, _, _ = capacities()
	is.Equal(slots, 6.0)                // at once
	sim.advance(300 * time.Millisecond) // the next poll
	_, leaving, _ = capacities()
	is.Equal(leaving, float64(runs))
	told := 0.0
	sim.advance(200 * time.Millisecond)
	for _, n := range sim.instances {
		for _, p := range n.machine.sortedPeers {
			if c := p.capacity("s"); c != nil {
				told += c.Leaving
			}
		}
	}
	is.Equal(told, float64(runs))
	for _, n := range sim.instances {
		others := 0
		for _, p := range n.machine.sortedPeers {
			if c := p.capacity("s"); c != nil {
				others += c.Slots
			}
		}
		own, _ := n.machine.slotTotals(sim.now, "s")
		is.Equal(own+others, 6) // at both instances
	}

	sim.endpoints[1].becomeCold(4 * time.Second)
	sim.listEndpoints()
	slots, _, joining = capacities()
	is.Equal([]float64{slots, joining}, []float64{5, 1})
}

// TestClaimedEndpointIsJoining answers replacements that are listed: until their claim
// is answered, their slots are reported as joining.
func TestClaimedEndpointIsJoining(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	m := New(now, Config{Self: instance.Info{Ref: instance.Ref{DataCentre: "a", ID: "n0"}}, LeaseTime: testLeaseTime, StopTime: testStopTime})
	var out Output
	m.SetInstances(now, nil, &out)
	m.countSize("s", needs(8), 1)
	m.SetEndpoints(now, []endpoint.Info{{ID: "e", Address: address, DataCentre: "a", Slots: 8, Size: needs(16), Service: "s"}}, &out)
	m.endpoints["e"].info.Size.MemoryBytes = 64 << 30
	now = now.Add(700 * time.Millisecond)
	m.Tick(now, &out)
	is.Equal(len(out.Polls), 1) // the claim
	c := m.ownFreeSlots(now).Capacities[0]
	is.Equal(float64(c.Slots), 0.0)
	is.Equal(c.Joining, 2.0)
}

// TestViewOfLifetimes tests the numbers behind the metric of held endpoints.
func TestViewOfLifetimes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 1, 4)
	sim.advance(2 * time.Second)
	sim.endpoints[0].becomeCold(time.Second)
	sim.endpoints[1].leave(time.Second, 2*time.Second)
	sim.advance(700 * time.Millisecond)
	v := sim.instances[0].machine.View(sim.now)
	is.Equal([]int{v.Held, v.Active, v.Draining, v.Cold}, []int{4, 4, 1, 1})
	sim.advance(time.Second)
	is.Equal(sim.instances[0].machine.View(sim.now).Cold, 0)
}
