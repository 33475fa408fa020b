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

// settleTime is how long a sound system needs to answer whatever is open.
const settleTime = 40 * time.Second

// defaultChecks keeps the run with the race detector short.
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

// TestFaults runs whole machines through random histories of submissions,
// deaths, pauses, cuts, stops and faults of the store, the network and the
// endpoints, and checks the promises from outside. A longer run is
// go test ./entry -run TestFaults -rapid.checks 10000 -timeout 1h
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 2, 2)
		w.observer = newObserver()
		w.run(3 * time.Second)
		t.Repeat(w.steps())
		w.faults = faults{}
		w.run(settleTime)
		for call := range w.observer.jobs {
			if w.observer.replies[call] == 0 && !w.gone(call) {
				w.observer.fail("call %d got no reply", call)
			}
		}
		if len(w.observer.broken) > 0 {
			t.Fatalf("%v", w.observer.broken)
		}
	})
}

// steps are the moves of a random history; each lets some time pass.
func (w *world) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if len(w.observer.broken) > 0 {
				t.Fatalf("%v", w.observer.broken)
			}
		},
		"submit":  w.drawSubmit,
		"again":   w.drawSubmit,
		"kill":    w.drawDeath,
		"pause":   func(t *rapid.T) { w.drawNode(t).pausedUntil = w.now.Add(w.drawTime(t, 30*time.Second)) },
		"stop":    w.drawStop,
		"network": w.drawNetwork,
		"store":   w.drawStore,
		"endpoints": func(t *rapid.T) {
			w.faults.lostAnswers = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "lost answers")
			w.faults.full = map[string]bool{"w-0-0": rapid.Bool().Draw(t, "full")}
			w.faults.broken = map[string]bool{"w-1-0": rapid.Bool().Draw(t, "broken")}
		},
		"wait": func(t *rapid.T) { w.run(w.drawTime(t, 4*time.Second)) },
	}
}

func (w *world) drawTime(t *rapid.T, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(most)).Draw(t, "time"))
}

func (w *world) drawNode(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

func (w *world) drawSubmit(t *rapid.T) {
	// The contents follow from the id, as those of a resubmission do.
	number := rapid.IntRange(0, 5).Draw(t, "id")
	j := job.Job{
		SubmissionID: fmt.Sprintf("job-%d", number),
		Class:        []string{"urgent", "sweep"}[number%2],
		Team:         "amplifiers",
		Tasks:        tasks(1+4*number, time.Duration(50+100*number)*time.Millisecond),
	}
	if rapid.IntRange(0, 2).Draw(t, "issued") == 0 {
		j.SubmissionID = ""
	}
	w.submit(w.drawNode(t), j)
	w.run(w.drawTime(t, 300*time.Millisecond))
}

// drawDeath ends an instance and starts its successor.
func (w *world) drawDeath(t *rapid.T) {
	n := w.drawNode(t)
	if n.dead {
		return
	}
	n.dead = true
	w.run(w.drawTime(t, 3*time.Second))
	ref := n.info.Ref
	ref.Incarnation++
	w.add(instance.Ref{DataCentre: ref.DataCentre, ID: ref.ID, Incarnation: ref.Incarnation})
}

func (w *world) drawStop(t *rapid.T) {
	n := w.drawNode(t)
	w.do(n, func(a *entry.Actions) { n.machine.BeginStop(w.now, a) })
	w.run(w.drawTime(t, time.Second))
}

func (w *world) drawNetwork(t *rapid.T) {
	w.faults.lostMessages = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "lost messages")
	w.faults.cut = map[[2]string]bool{
		{"dc-0", "dc-1"}: rapid.Bool().Draw(t, "cut"),
		{"dc-1", "dc-0"}: rapid.Bool().Draw(t, "cut back"),
	}
	w.run(w.drawTime(t, 3*time.Second))
}

func (w *world) drawStore(t *rapid.T) {
	w.faults.storeFate = rapid.SampledFrom([]storage.Fate{storage.Done, storage.NotApplied, storage.Doubtful}).Draw(t, "fate")
	w.faults.storeDelay = rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "delay")
	w.run(w.drawTime(t, 3*time.Second))
}

// gone reports whether the instance that took the call is dead.
func (w *world) gone(call uint64) bool { return w.takers[call].dead }
