package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// startsIn returns how many runs have started in a data centre since the last
// call.
func (sim *simulation) startsIn(dataCentre string) int {
	n := sim.observer.startsByDataCentre[dataCentre]
	sim.observer.startsByDataCentre[dataCentre] = 0
	return n
}

// TestEvacuation evacuates one of two data centres under a load that the other
// one can serve, and takes that back. No job is refused for it, runs under way end
// as usual, holders stay, and the endpoints get work again.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 28)
	holders := map[*fakeEndpoint]int64{}
	for _, e := range sim.endpoints {
		holders[e] = e.token
	}
	tallies := sim.generateMixedLoad(12*time.Second, 0.3)
	sim.advance(2 * time.Second)
	sim.setEvacuated("dc0", true)
	sim.advance(maxReadDelay)
	sim.startsIn("dc0")
	sim.advance(3 * time.Second)
	is.Equal(sim.startsIn("dc0"), 0)
	sim.setEvacuated("dc0", false)
	sim.advance(maxReadDelay)
	sim.startsIn("dc0")
	sim.advance(time.Second)
	is.True(sim.startsIn("dc0") > 30) // half of all starts would be about 70
	sim.advance(6 * time.Second)
	sim.checkIdle()
	logTallies(t, tallies)
	refused := 0
	for _, y := range tallies {
		refused += y.refused
		is.Equal(y.failed, 0)
	}
	is.True(refused <= len(sim.observer.jobs)/100) // all 28 slots that are left are busy at times
	for _, e := range sim.endpoints {
		is.Equal(sim.observer.interrupted[e.info.ID], 0)
		is.Equal(e.token, holders[e])
	}
}

// TestRoomOfEvacuated checks that the room of an evacuated data centre leaves the
// admission of every instance, and comes back, within 150 ms of the first read.
// Only one instance reads the store.
func TestRoomOfEvacuated(t *testing.T) {
	t.Parallel()
	for reader := range 4 {
		t.Run(fmt.Sprint(reader), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 4, 12)
			check := func(want int) {
				t.Helper()
				for _, n := range sim.instances {
					is.Equal(sim.slotsSeenBy(n), want)
				}
			}
			sim.submit(0, urgent, 2*time.Second, step(1, 20*time.Millisecond))
			sim.submit(1, urgent, 2*time.Second, step(1, 20*time.Millisecond))
			sim.submit(2, urgent, 2*time.Second, step(1, 20*time.Millisecond))
			sim.submit(3, urgent, 2*time.Second, step(1, 20*time.Millisecond))
			sim.advance(time.Second)
			check(24)
			for i := range sim.instances {
				sim.evacuations.blind[i] = i != reader
			}
			for range 2 {
				sim.setEvacuated("dc1", true)
				sim.readEvacuations(sim.instances[reader])
				sim.advance(150 * time.Millisecond)
				check(12)
				sim.setEvacuated("dc1", false)
				sim.readEvacuations(sim.instances[reader])
				sim.advance(150 * time.Millisecond)
				check(24)
			}
		})
	}
}

// slotsSeenBy returns how many slots the admission of an instance counts.
func (sim *simulation) slotsSeenBy(n *fakeInstance) int {
	j := n.machine.newJob(sim.now, 0, Job{ID: "x", Queue: urgent, Steps: []Step{step(1, time.Second)}})
	return n.machine.load(sim.now, j).Slots
}

// TestRoomAtStart checks that an instance that has just started, and counts on the
// listed endpoints, does not count those of an evacuated data centre.
func TestRoomAtStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	sim.setEvacuated("dc1", true)
	sim.advance(maxReadDelay)
	sim.kill(0, false)
	sim.startInstance(0)
	is.Equal(sim.slotsSeenBy(sim.instances[0]), 6*8) // the size of tasks is not known yet
}

// TestEvacuationKnownToHalf evacuates a data centre while the store answers only
// half of the instances: those of one data centre, or one in each.
func TestEvacuationKnownToHalf(t *testing.T) {
	t.Parallel()
	for _, blind := range [][]int{{0, 2}, {1, 3}, {0, 1}, {2, 3}} {
		t.Run(fmt.Sprint(blind), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 4, 12)
			for _, i := range blind {
				sim.evacuations.blind[i] = true
			}
			sim.generateLoad(4 * time.Second)
			sim.advance(time.Second)
			sim.setEvacuated("dc0", true)
			sim.advance(maxReadDelay)
			sim.startsIn("dc0")
			sim.advance(2 * time.Second)
			is.Equal(sim.startsIn("dc0"), 0)
			sim.checkIdle()
		})
	}
}

// TestStoreDownAfterEvacuation restarts instances while the store answers nobody.
// Their peers tell them of the evacuation.
func TestStoreDownAfterEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	sim.generateLoad(9 * time.Second)
	sim.setEvacuated("dc0", true)
	sim.advance(maxReadDelay)
	for i := range sim.instances {
		sim.evacuations.blind[i] = true
	}
	for i := range sim.instances {
		sim.kill(i, false)
		sim.advance(300 * time.Millisecond)
		sim.startInstance(i)
		sim.advance(1500 * time.Millisecond)
	}
	is.Equal(sim.startsIn("dc0") > 0, true) // before the evacuation
	sim.advance(time.Second)
	is.Equal(sim.startsIn("dc0"), 0)
	is.True(sim.startsIn("dc1") > 0)
}

// TestUnknownEvacuations starts all instances without the store, so that nobody
// knows whether there is an evacuation. They use no endpoint for evacuationWait,
// and then work as if there were none.
func TestUnknownEvacuations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t, 1, 4, 12)
	for i := range sim.instances {
		sim.kill(i, false)
		sim.evacuations.blind[i] = true
	}
	for i := range sim.instances {
		sim.startInstance(i)
	}
	c := sim.submit(0, &longQueue, 8*time.Second, step(2, 100*time.Millisecond))
	sim.advance(evacuationWait - time.Millisecond)
	is.Equal(sim.observer.starts, 0)
	sim.advance(500 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// TestEvacuationAndFullRestart loses all instances for 1.7 s under a load beyond
// what is left beside an evacuation, as in a burst.
func TestEvacuationAndFullRestart(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newFleet(t, seed, 4, 9, 48)
			sim.advance(2 * time.Second)
			sim.generateMixedLoad(6*time.Second, 0.9)
			sim.advance(time.Second)
			sim.setEvacuated("dc2", true)
			sim.advance(500 * time.Millisecond)
			for i := range sim.instances {
				sim.kill(i, false)
			}
			sim.advance(1700 * time.Millisecond)
			sim.startsIn("dc2")
			for i := range sim.instances {
				sim.startInstance(i)
			}
			sim.advance(6 * time.Second)
			is.Equal(sim.startsIn("dc2"), 0)
			served, all := sim.served()
			is.True(served > all/2)
			sim.checkIdle()
		})
	}
}

// TestLateStartsIntoEvacuated evacuates a data centre while a third of all orders
// are not answered and are carried out 2 to 12 s later. The observer checks that
// none of them starts a run there after the bound.
func TestLateStartsIntoEvacuated(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := startSimulation(t, seed, 4, 20)
			sim.addTrouble(4*time.Second, trouble{problem: late, share: 0.33})
			sim.generateLoad(4 * time.Second)
			sim.advance(time.Second)
			sim.setEvacuated("dc1", true)
			sim.advance(4 * time.Second)
			sim.checkIdle()
		})
	}
}

// TestEvacuationOfAll evacuates both data centres one after the other, and takes
// them back. In between, jobs are refused as not run at once, also those that wait;
// runs under way end as usual.
func TestEvacuationOfAll(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 4)
	running := sim.submit(0, &longQueue, 8*time.Second, step(8, 1500*time.Millisecond))
	sim.advance(100 * time.Millisecond)
	waits := sim.submit(1, &longQueue, 8*time.Second, step(8, 900*time.Millisecond))
	sim.advance(100 * time.Millisecond)
	sim.setEvacuated("dc0", true)
	sim.advance(300 * time.Millisecond)
	sim.setEvacuated("dc1", true)
	sim.advance(maxReadDelay)
	later := sim.submit(2, urgent, 2*time.Second, step(1, 60*time.Millisecond))
	sim.advance(time.Second)
	is.Equal(len(running.answers), 1)
	is.True(running.answers[0] == nil)
	for _, c := range []*callerJob{waits, later} {
		is.Equal(len(c.answers), 1)
		is.Equal(c.answers[0].Kind, fault.EndpointsUnavailable)
		is.True(strings.Contains(c.answers[0].Detail, "dc0, dc1"))
		is.True(c.answers[0].RetryAfter > 0)
	}
	is.Equal(sim.observer.startsByJob[waits.job.ID], 0)
	sim.setEvacuated("dc0", false)
	sim.setEvacuated("dc1", false)
	sim.advance(maxReadDelay)
	c := sim.submit(2, urgent, 2*time.Second, step(1, 60*time.Millisecond))
	sim.advance(200 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
	sim.checkIdle()
}

// TestLargeJobBesideEvacuation refuses a job that fits only on evacuated
// endpoints, and serves the others.
func TestLargeJobBesideEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(t, 1, 4, 12)
	for _, e := range sim.endpoints {
		if e.info.DataCentre == "dc1" {
			e.info.Size.Cores = 8
		}
	}
	sim.listEndpoints()
	sim.advance(2 * time.Second)
	sim.setEvacuated("dc0", true)
	sim.advance(maxReadDelay)
	large, small := sim.submit(1, urgent, 2*time.Second, bigStep(60*time.Millisecond)), sim.submit(1, urgent, 2*time.Second, step(1, 60*time.Millisecond))
	sim.advance(200 * time.Millisecond)
	is.Equal(len(large.answers), 1)
	is.Equal(large.answers[0].Kind, fault.EndpointsUnavailable)
	is.Equal(len(small.answers), 1)
	is.True(small.answers[0] == nil)
}

// TestOffersOfEvacuated withdraws the offers of an evacuated data centre. A start
// for such an offer is declined as not run.
func TestOffersOfEvacuated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 4)
	holder, home := sim.instances[0], sim.instances[1]
	sim.submit(1, &longQueue, 8*time.Second, step(12, 200*time.Millisecond))
	for len(holder.machine.offers) == 0 {
		sim.advance(500 * time.Microsecond)
	}
	number := holder.machine.offerNumbers()[0]
	e := holder.machine.offers[number].endpoint
	sim.input(holder, func(m *Machine, out *Output) {
		m.SetEvacuations(sim.now, message.Evacuations{Version: 9, DataCentres: []string{"dc0"}}, out)
		is.Equal(len(m.offers), 0)
		is.Equal(e.reserved, 0)
		out.Messages = nil
		s := message.StartRun{Run: run.Ref{Task: "t.0.0.0", Number: 1}, Service: "s", Needs: needs(6.8), Offer: number}
		m.Receive(sim.now, message.Message{From: home.self.Ref, To: m.cfg.Self.Ref, Body: s}, out)
		u, ok := out.Messages[len(out.Messages)-1].Body.(message.RunUpdate)
		is.True(ok)
		is.Equal(u.Status, run.NotRun)
		is.Equal(len(out.Starts), 0)
		out.Messages = nil // the home knows nothing of this task
	})
}

// TestPeersOfFormerRelease runs the instances of the evacuated data centre with
// a release that knows no evacuations. The others send no task there.
func TestPeersOfFormerRelease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	sim.evacuations.former = map[int]bool{0: true, 2: true}
	sim.setEvacuated("dc0", true)
	sim.advance(maxReadDelay)
	c := sim.submit(1, &longQueue, 8*time.Second, step(40, 100*time.Millisecond))
	sim.advance(3 * time.Second)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
	is.Equal(sim.startsIn("dc0"), 0)
	sim.submit(3, urgent, 2*time.Second, step(1, 20*time.Millisecond)) // shows it the size of tasks
	sim.advance(time.Second)
	is.Equal(sim.slotsSeenBy(sim.instances[1]), 12) // those of dc1
	is.Equal(len(sim.instances[0].machine.evacuations.inForce.DataCentres), 0)
}
