package pool

import (
	"testing"
	"time"
)

// TestMessagesOfManyInstances holds what an instance has to read and write for
// the others where there are many of them: the same load an instance must not
// cost it more the more there are. It is the pattern of the users' grown
// deployments, whose small machines have a fifth of a core.
func TestMessagesOfManyInstances(t *testing.T) {
	perInstance := func(nodes int) float64 {
		w := settled(t, 1, nodes, 8*nodes)
		w.messages = 0
		tallies := w.sheet(4*time.Second, 0.6)
		w.run(4 * time.Second)
		report(t, tallies)
		return float64(w.messages) / 4 / float64(nodes)
	}
	few, many := perInstance(8), perInstance(48)
	t.Logf("messages an instance and second: %.0f with 8 instances, %.0f with 48", few, many)
	if many > 2.5*few {
		t.Errorf("with 48 instances each sends %.0f messages a second, with 8 only %.0f", many, few)
	}
}

// TestUrgentLoadOfManyInstances holds what a job is told of the more urgent ones
// that come: they must be those of the instances whose places it counts. It is
// the pattern of a deployment whose instances know the places of some others
// only: lower classes were refused while a third of all places was free.
func TestUrgentLoadOfManyInstances(t *testing.T) {
	for _, nodes := range []int{4, 48} {
		w := settled(t, 1, nodes, 8*nodes)
		w.sheet(3*time.Second, 0.6)
		w.run(3 * time.Second)
		share := 0.0
		for _, n := range w.nodes {
			l := n.machine.load(w.now, n.machine.newJob(w.now, 0, Job{Queue: routine, Steps: []Step{step(2, 200*time.Millisecond)}}))
			share += l.urgent / float64(l.places) / float64(nodes)
		}
		t.Logf("%d instances: urgent jobs keep %.2f of the places busy", nodes, share)
		if share > 0.25 { // an eighth by the mix
			t.Errorf("%d instances: urgent jobs are taken to keep %.2f of the places busy", nodes, share)
		}
	}
}

// TestMessagesOfATask holds how many messages between instances a task costs
// where all places are taken, so that news of places and of waiting tasks change
// with each. (A first version, which told each of them within 4 ms, had 16.)
func TestMessagesOfATask(t *testing.T) {
	for _, load := range []float64{0.6, 0.85, 1} {
		w := settled(t, 1, 24, 6*24)
		w.messages = 0
		starts := w.watch.starts
		tallies := w.sheet(4*time.Second, load)
		w.run(4 * time.Second)
		report(t, tallies)
		each := float64(w.messages) / float64(w.watch.starts-starts)
		t.Logf("load %.2f: %.1f messages a task", load, each)
		if each > 8 {
			t.Errorf("load %.2f: %.1f messages a task", load, each)
		}
	}
}
