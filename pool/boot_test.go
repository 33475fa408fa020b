package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReplyFromEarlierBoot guards against a late reply of an earlier boot, whose
// clock would end the leases of the present one.
func TestReplyFromEarlierBoot(t *testing.T) {
	t.Parallel()
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

// TestNewBootIsFencedBesideImmediatePoll tests that a new boot is told the new token at
// once, also if an immediate poll with the earlier token is pending: no run is left
// there that would send another poll.
func TestNewBootIsFencedBesideImmediatePoll(t *testing.T) {
	t.Parallel()
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

// TestStartedRunOfEarlierBoot guards against counting a run that an endpoint's
// earlier boot started, without an answer, as one that never began, after which its
// job could be refused as not run.
func TestStartedRunOfEarlierBoot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 1)
	sim.addTrouble(50*time.Millisecond, trouble{problem: answerReset, kinds: []orderKind{startOrder}, share: 1})
	sim.addTrouble(400*time.Millisecond, trouble{problem: orderReset, kinds: []orderKind{stopOrder}, share: 1})
	c := sim.submit(0, routine, 4*time.Second, step(1, time.Second))
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 1)
	sim.endpoints[0].crash(100 * time.Millisecond)
	home := sim.instances[0].machine.tasks[taskName(c.job.ID, 0, 0)]
	for range 1000 {
		sim.advance(time.Millisecond)
		is.True(home.number == 1 && home.state == placed || home.job.possiblyStarted) // run 1 did start
	}
}

// TestLateStartInNextBoot tests that a start that is carried out seconds later, by
// the next boot of the endpoint under the same ID, does not begin a second run of its
// task: its deadline is on the clock of the earlier boot. The observer fails the test
// if it does.
func TestLateStartInNextBoot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	sim.advance(20 * time.Second) // the clocks are far ahead of those of a new boot
	// Other runs keep the instance in touch with both endpoints.
	sim.submit(0, &longQueue, 30*time.Second, Step{Tasks: 4, Needs: needs(4), Estimate: 8 * time.Second})
	sim.advance(100 * time.Millisecond)
	late := problem{"late", func(f *fate, _ *rand.Rand) { f.answerLost, f.orderDelay = true, 3*time.Second }}
	sim.addTrouble(time.Millisecond, trouble{problem: late, kinds: []orderKind{startOrder}, share: 1})
	c := sim.submit(0, &longQueue, 30*time.Second, step(1, 6*time.Second))
	name := taskName(c.job.ID, 0, 0)
	m := sim.instances[0].machine
	first := sim.byID[m.tasks[name].endpoint]
	m.endpoints[first.info.ID].health.backOff(sim.now) // the task starts elsewhere
	sim.advance(time.Second)
	is.True(m.tasks[name].endpoint != first.info.ID)
	is.Equal(sim.observer.startsByJob[c.job.ID], 1)
	first.crash(200 * time.Millisecond)
	sim.advance(4 * time.Second)
	is.Equal(sim.observer.startsByJob[c.job.ID], 1)
}

// TestLateStartOnNewBoot guards against a start that was given up and reaches the endpoint's next boot, where the holder used the token of that start again.
func TestLateStartOnNewBoot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	first, second := sim.endpoints[0], sim.endpoints[1]
	late := problem{"the start is 5 s late", func(f *fate, _ *rand.Rand) { f.answerLost, f.orderDelay = true, 5*time.Second }}
	sim.addTrouble(time.Millisecond, trouble{problem: late, kinds: []orderKind{startOrder}, endpoint: first, share: 1})
	sim.submit(0, &longQueue, 20*time.Second, step(1, 6*time.Second))
	sim.advance(20 * time.Millisecond)
	sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(12), Estimate: 8 * time.Millisecond}) // on second
	sim.advance(5 * time.Millisecond)
	sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(9), Estimate: 500 * time.Millisecond}) // on first
	sim.advance(time.Second)
	is.Equal(len(first.runs), 0)
	is.Equal(len(second.runs), 1) // run 2 of the task
	first.crash(300 * time.Millisecond)
	sim.advance(400 * time.Millisecond)
	sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(10), Estimate: 100 * time.Millisecond}) // on the new boot
	sim.advance(200 * time.Millisecond)
	sim.listEndpoints()
	sim.advance(8 * time.Second)
	sim.checkIdle()
}
