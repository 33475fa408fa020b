package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/route"
)

type (
	// attempt is one request of a caller.
	attempt struct {
		job     *clientJob
		node    int
		machine *Machine
	}

	// clientJob is a job as its caller sees it.
	clientJob struct {
		job      Job
		attempts int
		refused  int
		answers  []*fault.Error
		closed   bool
		// tally counts the answer, against the goal, if it is set.
		tally *tally
		goal  time.Time
		// run is how long the tasks really run.
		run time.Duration
	}
)

// submit hands a new job in at a node.
func (w *world) submit(at int, q *route.Queue, deadline time.Duration, steps ...Step) *clientJob {
	c := w.newJob(q, deadline, steps...)
	w.try(c, at)
	return c
}

// newJob returns a job that was not handed in yet.
func (w *world) newJob(q *route.Queue, deadline time.Duration, steps ...Step) *clientJob {
	w.lastJob++
	c := &clientJob{job: Job{ID: fmt.Sprintf("j%04d", w.lastJob), Queue: q, Spec: "x", Steps: steps, Deadline: w.now.Add(deadline)}}
	w.watch.jobs[c.job.ID] = c
	return c
}

// try sends a job; after a broken connection or an unknown outcome it goes to
// another node.
func (w *world) try(c *clientJob, at int) {
	n := w.nodes[at]
	if c.closed || w.now.After(c.job.Deadline) {
		return
	}
	if !n.alive {
		w.again(c, at)
		return
	}
	w.lastCall++
	call := w.lastCall
	c.attempts++
	w.calls[call] = &attempt{job: c, node: at, machine: n.machine}
	w.input(n, func(m *Machine, out *Output) { m.Submit(w.now, call, c.job, out) })
}

func (w *world) again(c *clientJob, at int) {
	w.after(testResend, func() { w.try(c, (at+1)%len(w.nodes)) })
}

func (w *world) answered(n *node, a Answer) {
	t := w.calls[a.Call]
	if t == nil || t.machine != n.machine {
		w.t.Errorf("%s answers call %d, which is not open", n.self.ID, a.Call)
		return
	}
	delete(w.calls, a.Call)
	w.watch.answered(t.job, a.Fault)
	if a.Fault != nil && !a.Fault.Kind.Row().NotRun && a.Fault.Kind != fault.TaskFailed {
		w.again(t.job, t.node)
	}
}

// openCalls returns the numbers of the open requests in their order.
func (w *world) openCalls() []uint64 { return slices.Sorted(maps.Keys(w.calls)) }

// leave ends a caller's connections.
func (w *world) leave(c *clientJob) {
	c.closed = true
	for _, call := range w.openCalls() {
		t := w.calls[call]
		if t.job == c {
			n := w.nodes[t.node]
			if n.machine == t.machine {
				w.input(n, func(m *Machine, out *Output) { m.CallerLeft(w.now, call, out) })
			}
		}
	}
}
