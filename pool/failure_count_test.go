package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/route"
	"github.com/lovagecrank/lovagecrank/run"
)

// countTime is how long the load of these tests takes.
const countTime = 3 * time.Second

var (
	// countedQueues are queues that allow 2, 3 and 4 failures.
	countedQueues = []*route.Queue{
		{Name: "two", Service: "s", Priority: 1, Attempts: 2, SlackFactor: 1.6, Target: 60 * time.Millisecond},
		{Name: "three", Service: "s", Priority: 2, Attempts: 3, SlackFactor: 1.6, Target: 60 * time.Millisecond},
		{Name: "four", Service: "s", Priority: 0, Attempts: 4, SlackFactor: 1.6, Target: 60 * time.Millisecond},
	}

	// countTroubles are what happens beside endpoints that fail a share of their runs.
	countTroubles = []failure{
		{"nothing else", func(*simulation) {}},
		{"lost and late orders", func(sim *simulation) {
			for i := range 3 {
				sim.after(time.Duration(i)*time.Second, func() {
					sim.addTrouble(time.Second, trouble{problem: problems[sim.rng.IntN(len(problems))], share: 0.2})
				})
			}
		}},
		{"lost answers of endpoints", func(sim *simulation) { sim.addTrouble(countTime, trouble{problem: answerLost, share: 0.2}) }},
		{"orders are carried out late", func(sim *simulation) {
			sim.lateShare = 0.1
			sim.after(countTime, func() { sim.lateShare = 0 })
		}},
		{"lost streams", func(sim *simulation) { sim.repeat(300*time.Millisecond, sim.resetStreams) }},
		{"endpoints change hands", func(sim *simulation) { sim.repeat(100*time.Millisecond, sim.claimElsewhere) }},
		{"homes are killed", func(sim *simulation) { sim.repeat(900*time.Millisecond, func() { sim.killRandom(false) }) }},
		{"homes lose power", func(sim *simulation) { sim.repeat(900*time.Millisecond, func() { sim.killRandom(true) }) }},
		{"homes are suspended", func(sim *simulation) {
			sim.repeat(700*time.Millisecond, func() {
				sim.suspend(sim.rng.IntN(len(sim.instances)), 300*time.Millisecond+randomTime(sim.rng, 2*time.Second))
			})
		}},
		{"callers ask elsewhere", func(sim *simulation) { sim.repeat(60*time.Millisecond, sim.askElsewhere) }},
		{"endpoints restart under their IDs", func(sim *simulation) {
			sim.repeat(200*time.Millisecond, func() { sim.randomEndpoint().crash(300 * time.Millisecond) })
		}},
		{"many ends are not acknowledged", func(sim *simulation) { sim.repeat(500*time.Millisecond, sim.listOldEnds) }},
	}
)

// repeat calls do in each interval while the load lasts.
func (sim *simulation) repeat(interval time.Duration, do func()) {
	end := sim.now.Add(countTime)
	var next func()
	next = func() {
		if sim.now.After(end) {
			return
		}
		do()
		sim.after(interval, next)
	}
	sim.after(interval, next)
}

// claimElsewhere makes a random instance claim an endpoint that it does not hold.
func (sim *simulation) claimElsewhere() {
	id := sim.randomEndpoint().info.ID
	sim.input(sim.instances[sim.rng.IntN(len(sim.instances))], func(m *Machine, out *Output) {
		if e := m.endpoints[id]; e != nil && !slices.Contains(m.held, e) {
			m.claim(sim.now, e, out)
		}
	})
}

// askElsewhere ends a random request, which its caller repeats at another instance.
func (sim *simulation) askElsewhere() {
	calls := sim.openCalls()
	if len(calls) == 0 {
		return
	}
	call := calls[sim.rng.IntN(len(calls))]
	t := sim.calls[call]
	n := sim.instances[t.instance]
	if !n.alive || n.suspended || n.machine != t.machine {
		return
	}
	sim.input(n, func(m *Machine, out *Output) { m.CallerLeft(sim.now, call, out) })
}

// listOldEnds makes an endpoint list 600 ends, more than fit into one reply, of failed runs
// that its holder does not know.
func (sim *simulation) listOldEnds() {
	e := sim.randomEndpoint()
	for i := range 600 {
		e.lastEnd++
		ref := run.Ref{Task: fmt.Sprintf("old%d.0.0.0", i), Number: 1}
		e.ended = append(e.ended, End{Number: e.lastEnd, Run: ref, Status: run.Failed})
	}
}

// startFailing returns a simulation in which half of the endpoints fail a share of their
// runs and one fails all, with jobs of the queues for countTime.
func startFailing(t *testing.T, seed uint64) *simulation {
	sim := startSimulation(t, seed, 4, 10)
	for i, e := range sim.endpoints {
		if i%2 == 0 {
			e.failShare = 0.7
		}
	}
	sim.endpoints[1].fails = true
	sim.repeat(40*time.Millisecond, func() {
		q := countedQueues[sim.rng.IntN(len(countedQueues))]
		sim.submit(sim.rng.IntN(len(sim.instances)), q, 3*time.Second, step(1+sim.rng.IntN(3), 30*time.Millisecond+randomTime(sim.rng, 200*time.Millisecond)))
	})
	return sim
}

// checkCounted checks that the homes have counted no failure that no endpoint has listed,
// and returns how many jobs were answered as failed.
func (sim *simulation) checkCounted() (failed int) {
	counted := map[string]int{}
	for _, r := range sim.log {
		if r.Kind == event.FailureCounted {
			counted[r.Subject]++
		}
	}
	for name, n := range counted {
		if sim.observer.failedEnds[name] == 0 {
			sim.t.Errorf("%d failures of task %s are counted, and no run of it has failed", n, name)
		}
	}
	for _, c := range sim.observer.jobs {
		for _, f := range c.answers {
			if f != nil && f.Kind == fault.TaskFailed {
				failed++
			}
		}
	}
	return failed
}

// TestFailuresAreCountedOnce guards against a job that is answered as failed though none of
// its tasks has failed as often as its queue allows: an end that is counted twice, or one
// of another run, endpoint, boot or home.
func TestFailuresAreCountedOnce(t *testing.T) {
	t.Parallel()
	for _, tt := range countTroubles {
		for seed := *firstScenario; seed < *firstScenario+uint64(*scenarios/200); seed++ {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sim := startFailing(t, seed)
				tt.inject(sim)
				sim.advance(countTime)
				sim.checkIdle()
				is.True(sim.checkCounted() > 0)
			})
		}
	}
}

// TestFailuresAreCountedOnceTogether guards against the same beside three troubles at once.
func TestFailuresAreCountedOnceTogether(t *testing.T) {
	t.Parallel()
	for seed := *firstScenario; seed < *firstScenario+uint64(*scenarios/100); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := startFailing(t, seed)
			for range 3 {
				f := countTroubles[sim.rng.IntN(len(countTroubles))]
				t.Log(f.name)
				f.inject(sim)
			}
			sim.advance(countTime)
			sim.checkIdle()
			t.Logf("%d answered as failed", sim.checkCounted())
		})
	}
}
