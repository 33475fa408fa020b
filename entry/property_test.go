package entry_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// recoveryTime is how long a system without faults needs to answer all pending
// requests.
const recoveryTime = 40 * time.Second

// defaultChecks is the number of checks per property. More would make runs with
// the race detector slow.
const defaultChecks = "40"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", defaultChecks) // a flag of rapid, so it exists
	}
	os.Exit(m.Run())
}

// TestFaults runs complete machines through random sequences of submissions,
// crashes, suspensions, partitions, planned stops and faults of the store, the
// network and the endpoints, and checks the guarantees that callers and
// endpoints can observe. For a longer run:
//
//	go test ./entry -run TestFaults -rapid.checks 10000 -timeout 1h
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 2, 2)
		sim.observer = newObserver()
		sim.advance(3 * time.Second)
		t.Repeat(sim.steps())
		sim.faults = faults{}
		sim.advance(recoveryTime)
		for call := range sim.observer.jobs {
			if sim.observer.replies[call] == 0 && !sim.targetDead(call) {
				sim.observer.reportf("call %d got no reply", call)
			}
		}
		if len(sim.observer.violations) > 0 {
			t.Fatalf("%v", sim.observer.violations)
		}
	})
}

// steps returns the steps of a random sequence, by name.
func (sim *simulation) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if len(sim.observer.violations) > 0 {
				t.Fatalf("%v", sim.observer.violations)
			}
		},
		"submit": sim.drawSubmit,
		// A second entry, so that submissions are drawn twice as often.
		"again":   sim.drawSubmit,
		"kill":    sim.drawRestart,
		"pause":   func(t *rapid.T) { sim.drawInstance(t).suspendedUntil = sim.now.Add(sim.drawTime(t, 30*time.Second)) },
		"stop":    sim.drawStop,
		"network": sim.drawNetwork,
		"store":   sim.drawStore,
		"endpoints": func(t *rapid.T) {
			sim.faults.answerLoss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "lost answers")
			sim.faults.refusing = map[string]bool{"w-0-0": rapid.Bool().Draw(t, "full")}
			sim.faults.failing = map[string]bool{"w-1-0": rapid.Bool().Draw(t, "broken")}
		},
		"wait": func(t *rapid.T) { sim.advance(sim.drawTime(t, 4*time.Second)) },
	}
}

func (sim *simulation) drawTime(t *rapid.T, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(most)).Draw(t, "time"))
}

func (sim *simulation) drawInstance(t *rapid.T) *simInstance {
	return sim.instances[rapid.IntRange(0, len(sim.instances)-1).Draw(t, "node")]
}

func (sim *simulation) drawSubmit(t *rapid.T) {
	// The contents depend only on the id, as in a resubmission.
	number := rapid.IntRange(0, 5).Draw(t, "id")
	j := job.Job{
		SubmissionID: fmt.Sprintf("job-%d", number),
		Class:        []string{"urgent", "sweep"}[number%2],
		Team:         "amplifiers",
		Tasks:        newTasks(1+4*number, time.Duration(50+100*number)*time.Millisecond),
	}
	if rapid.IntRange(0, 2).Draw(t, "issued") == 0 {
		j.SubmissionID = ""
	}
	sim.submit(sim.drawInstance(t), j)
	sim.advance(sim.drawTime(t, 300*time.Millisecond))
}

// drawRestart crashes an instance and starts its successor.
func (sim *simulation) drawRestart(t *rapid.T) {
	si := sim.drawInstance(t)
	if si.dead {
		return
	}
	si.dead = true
	sim.advance(sim.drawTime(t, 3*time.Second))
	ref := si.info.Ref
	ref.Incarnation++
	sim.add(instance.Ref{DataCentre: ref.DataCentre, ID: ref.ID, Incarnation: ref.Incarnation})
}

func (sim *simulation) drawStop(t *rapid.T) {
	si := sim.drawInstance(t)
	sim.do(si, func(a *entry.Actions) { si.machine.BeginStop(sim.now, a) })
	sim.advance(sim.drawTime(t, time.Second))
}

func (sim *simulation) drawNetwork(t *rapid.T) {
	sim.faults.messageLoss = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "lost messages")
	sim.faults.partitioned = map[[2]string]bool{
		{"dc-0", "dc-1"}: rapid.Bool().Draw(t, "cut"),
		{"dc-1", "dc-0"}: rapid.Bool().Draw(t, "cut back"),
	}
	sim.advance(sim.drawTime(t, 3*time.Second))
}

func (sim *simulation) drawStore(t *rapid.T) {
	sim.faults.storeOutcome = rapid.SampledFrom([]storage.Outcome{storage.Done, storage.NotApplied, storage.Unknown}).Draw(t, "fate")
	sim.faults.storeDelay = rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "delay")
	sim.advance(sim.drawTime(t, 3*time.Second))
}

// targetDead reports whether the instance that the call was sent to is dead.
func (sim *simulation) targetDead(call uint64) bool { return sim.targets[call].dead }
