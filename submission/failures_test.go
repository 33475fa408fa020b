package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
)

// failureCase is a failure from the users' list of expected failures, with the
// guarantee that it threatens most.
type failureCase struct {
	name      string
	guarantee string
	inject    func(sim *simulation)
}

var failureCases = []failureCase{
	{"endpoints crash", "each task starts at most once", func(sim *simulation) { sim.endpointFaultPercent = 50 }},
	{"a process crashes", "each task starts at most once", func(sim *simulation) { sim.replace(0) }},
	{"stragglers", "each caller gets its own answer", func(sim *simulation) { sim.extraRunTime = 20 * time.Second }},
	{"burst", "what is reported as not run never starts", func(sim *simulation) {
		sim.queueFull = true
		for i := range 60 {
			sim.submit(i%3, makeJob(fmt.Sprint("burst-", i), 0, sim.now, sim.now), true)
		}
	}},
	{"job that can never run", "what is reported as not run never starts", func(sim *simulation) {
		j := makeJob("never", 0, sim.now, sim.now)
		j.Class = "impossible"
		sim.submit(1, j, true)
		sim.submit(2, j, true)
	}},
	{"job far longer than declared", "a job ends complete or failed", func(sim *simulation) {
		sim.submit(1, makeJob("late", 0, sim.now.Add(90*time.Millisecond), sim.now), true)
		sim.extraRunTime += time.Second
	}},
	{"mass cancellation", "a job ends complete or failed", func(sim *simulation) {
		for i, id := range sim.ids {
			sim.request(i%3, id, true, true)
		}
	}},
	{"endpoints fail everything", "a job ends complete or failed", func(sim *simulation) { sim.failAllTasks = true }},
	{"store down", "what is reported as not run never starts", func(sim *simulation) { sim.storeMode = storeDown }},
	{"store slow", "each task starts at most once", func(sim *simulation) { sim.storeMode = storeSlow }},
	{"store replies lost", "each task starts at most once", func(sim *simulation) { sim.storeMode = storeLossy }},
	{"instance paused for 30 s", "each task starts at most once", func(sim *simulation) {
		n := sim.nodes[1]
		n.paused = true
		sim.schedule(30*time.Second, func() { sim.resume(n) })
	}},
	{"conflicting class settings", "durable answers", func(sim *simulation) {
		for i, n := range sim.nodes {
			n.manager.SetClasses(sim.now.Add(n.clockSkew), []class.Class{{Name: "plain", DurableAnswers: i == 0}, {Name: "durable", DurableAnswers: true}})
		}
	}},
	{"network cut in one direction", "each task starts at most once", func(sim *simulation) { sim.cutLinks[[2]int{1, 0}] = true }},
	{"instance cut off", "each caller gets its own answer", func(sim *simulation) {
		for i := range sim.nodes {
			sim.cutLinks[[2]int{0, i}] = true
			sim.cutLinks[[2]int{i, 0}] = true
		}
	}},
	{"messages lost and duplicated", "what is reported as not run never starts", func(sim *simulation) { sim.lossPercent = 40 }},
	{"planned stop", "graceful stop", func(sim *simulation) { sim.beginStop(sim.nodes[0]) }},
}

// TestFailures injects each pair of failures, including each failure twice, on
// a virtual clock. Jobs are running when the first failure happens and are
// resubmitted to random instances around the second one. All guarantees are
// checked in every case.
func TestFailures(t *testing.T) {
	const seeds = 3
	for i, first := range failureCases {
		for _, second := range failureCases[i:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(seeds) {
					runFailurePair(t, seed, first, second)
					runFailurePair(t, seed, second, first)
				}
			})
		}
	}
}

// runFailurePair injects two failures and checks all guarantees.
func runFailurePair(t *testing.T, seed uint64, first, second failureCase) {
	t.Helper()
	sim := newSimulation(3, seed)
	for i := range 8 {
		id := fmt.Sprint("c", i)
		sim.addID(id)
		sim.submit(i%3, makeJob(id, 0, sim.now, sim.now), true)
		sim.submit(i%3, makeJob("", 0, sim.now, sim.now), i%2 == 0)
		sim.advance(sim.randomMillis(0, 20))
	}
	first.inject(sim)
	sim.advance(sim.randomMillis(0, 300))
	resubmit(sim)
	second.inject(sim)
	sim.advance(sim.randomMillis(0, 3000))
	resubmit(sim)
	sim.advance(40 * time.Second)
	sim.heal()
	checkViolations(t, sim)
	if call, ok := sim.unansweredCall(); ok {
		t.Fatalf("seed %d: each caller gets its own answer: call %d for %q got no reply (%s, %s)", seed, call, sim.observer.calls[call].id, first.guarantee, second.guarantee)
	}
}

// resubmit submits every known job again to a random instance.
func resubmit(sim *simulation) {
	for _, id := range sim.ids {
		j, ok := sim.issued[id]
		if !ok {
			j = makeJob(id, 0, sim.now, sim.now)
		}
		sim.submit(sim.rng.IntN(len(sim.nodes)), j, true)
	}
}
