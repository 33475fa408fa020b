package submission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

// shards is the number of parallel runs. Each runs rapid.checks histories.
const shards = 4

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", "2500") // a flag of rapid, so it exists
	}
	os.Exit(m.Run())
}

// TestHistories checks the guarantees over random histories. For a longer run:
//
//	go test ./submission -run TestHistories -rapid.checks 250000 -timeout 3h
func TestHistories(t *testing.T) {
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, runHistory)
		})
	}
}

func runHistory(t *rapid.T) {
	sim := newSimulation(3, rapid.Uint64().Draw(t, "seed"))
	node := rapid.IntRange(0, len(sim.nodes)-1)
	percent := rapid.SampledFrom([]int{0, 10, 50})
	submit := func(t *rapid.T) {
		sim.submit(node.Draw(t, "node"), drawJob(t, sim), rapid.IntRange(0, 9).Draw(t, "no wait") < 8)
	}
	known := func(t *rapid.T) string {
		if len(sim.ids) == 0 {
			return "c0"
		}
		return rapid.SampledFrom(sim.ids).Draw(t, "id")
	}
	t.Repeat(map[string]func(*rapid.T){
		"submit":   submit,
		"resubmit": submit,
		"show":     func(t *rapid.T) { sim.request(node.Draw(t, "node"), known(t), false, rapid.Bool().Draw(t, "wait")) },
		"cancel":   func(t *rapid.T) { sim.request(node.Draw(t, "node"), known(t), true, true) },
		"abandon": func(t *rapid.T) {
			if sim.lastCall > 0 {
				sim.disconnect(rapid.Uint64Range(1, sim.lastCall).Draw(t, "call"))
			}
		},
		"a while":   func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond) },
		"seconds":   func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 15).Draw(t, "s")) * time.Second) },
		"minute":    func(*rapid.T) { sim.advance(50 * time.Second) }, // beyond the start window
		"replace":   func(t *rapid.T) { sim.replace(node.Draw(t, "node")) },
		"pause":     func(t *rapid.T) { sim.nodes[node.Draw(t, "node")].paused = true },
		"resume":    func(t *rapid.T) { sim.resume(sim.nodes[node.Draw(t, "node")]) },
		"cut":       func(t *rapid.T) { sim.cutLinks[[2]int{node.Draw(t, "from"), node.Draw(t, "to")}] = true },
		"join":      func(*rapid.T) { clear(sim.cutLinks) }, // reconnects all cut links
		"loss":      func(t *rapid.T) { sim.lossPercent = percent.Draw(t, "percent") },
		"store":     func(t *rapid.T) { sim.storeMode = storeMode(rapid.IntRange(0, int(storeModeCount)-1).Draw(t, "mode")) },
		"endpoints": func(t *rapid.T) { sim.endpointFaultPercent = percent.Draw(t, "percent") },
		"busy":      func(t *rapid.T) { sim.queueFull = rapid.Bool().Draw(t, "busy") },
		"fail job": func(t *rapid.T) {
			n, id := sim.nodes[node.Draw(t, "node")], known(t)
			sim.input(n, func(now time.Time, out *Output) {
				n.manager.Fail(now, id, fault.New(fault.EndpointsUnavailable, "").WithRetryAfter(time.Second), out)
			})
		},
		"instances": func(*rapid.T) { sim.broadcastInstances() },
		"peer lost": func(t *rapid.T) { sim.notifyPeerLost(sim.nodes[node.Draw(t, "node")].ref) },
		"stop":      func(t *rapid.T) { sim.beginStop(sim.nodes[node.Draw(t, "node")]) },
		"":          func(t *rapid.T) { checkViolations(t, sim) },
	})
	sim.heal()
	checkViolations(t, sim)
	if call, ok := sim.unansweredCall(); ok {
		t.Fatalf("each caller gets its own answer: call %d for %q got no reply", call, sim.observer.calls[call].id)
	}
	for _, n := range sim.nodes {
		if !n.manager.Idle() {
			t.Fatalf("graceful stop: %v is not idle: %+v", n.ref, n.manager.Unfinished())
		}
	}
}

type fataler interface{ Fatalf(string, ...any) }

// checkViolations fails the test if the observer has recorded a violation.
func checkViolations(t fataler, sim *simulation) {
	if len(sim.observer.violations) > 0 {
		t.Fatalf("%s", sim.observer.violations[0])
	}
}

// drawJob returns a job with a new or a used id. Most jobs with the same id
// have the same contents.
func drawJob(t *rapid.T, sim *simulation) job.Job {
	choice := rapid.IntRange(0, 9).Draw(t, "id")
	var id string
	switch {
	case choice == 0:
		ids, f := sim.nodes[0].manager.IssueIDs(sim.now.Add(sim.nodes[0].clockSkew), 2)
		if f == nil {
			id = ids[0]
			sim.addID(id)
		}
	case choice < 3:
	case choice < 6 && len(sim.ids) > 0:
		id = rapid.SampledFrom(sim.ids).Draw(t, "used")
	default:
		id = fmt.Sprint("c", rapid.IntRange(0, 5).Draw(t, "chosen"))
		sim.addID(id)
	}
	variant := 0
	if rapid.IntRange(0, 19).Draw(t, "variant") == 0 {
		variant = 1
	}
	if j, ok := sim.issued[id]; ok && variant == 0 {
		return j
	}
	return makeJob(id, variant, sim.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 300, 9000}).Draw(t, "deadline"))*time.Millisecond), sim.now)
}

// makeJob returns a job whose contents depend only on its id and variant. A
// deadline that is not after now means none.
func makeJob(id string, variant int, deadline, now time.Time) job.Job {
	j := job.Job{SubmissionID: id, Class: "plain", Team: "t"}
	if len(id)%2 == 0 && id != "" && id[len(id)-1]%2 == 0 {
		j.Class = "durable"
	}
	if deadline.After(now) {
		j.Deadline = deadline
	}
	for i := range 1 + len(id)%3 {
		payload := fmt.Sprintf(`{"of":%q,"task":%d,"variant":%d}`, id, i, variant)
		j.Tasks = append(j.Tasks, task.Task{ID: fmt.Sprint("t", i), Payload: []byte(payload), Idempotent: i%2 == 0})
	}
	return j
}
