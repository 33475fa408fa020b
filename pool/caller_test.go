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
		job      *callerJob
		instance int
		machine  *Machine
	}

	// callerJob is a job as its caller sees it.
	callerJob struct {
		job          Job
		sentAt       time.Time // first
		attempts     int
		refused      int
		answers      []*fault.Error
		answeredAt   time.Time
		disconnected bool
		// tally counts the answer against the goal; nil if the job is not
		// counted.
		tally *tally
		goal  time.Time
		// runTime is the actual run time of each task; it replaces the estimate
		// if tally is set.
		runTime time.Duration
	}
)

// submit submits a new job to the instance with index at.
func (sim *simulation) submit(at int, q *route.Queue, deadline time.Duration, steps ...Step) *callerJob {
	c := sim.newJob(q, deadline, steps...)
	sim.sendJob(c, at)
	return c
}

// newJob returns a job that has not been submitted.
func (sim *simulation) newJob(q *route.Queue, deadline time.Duration, steps ...Step) *callerJob {
	sim.lastJob++
	c := &callerJob{sentAt: sim.now, job: Job{ID: fmt.Sprintf("j%04d", sim.lastJob), Queue: q, Spec: "x", Steps: steps, Deadline: sim.now.Add(deadline)}}
	sim.observer.jobs[c.job.ID] = c
	return c
}

// sendJob sends a job to an instance. If the instance is down or the outcome is
// unknown, the job is sent to another instance.
func (sim *simulation) sendJob(c *callerJob, at int) {
	n := sim.instances[at]
	if c.disconnected || sim.now.After(c.job.Deadline) {
		return
	}
	if !n.alive {
		sim.retry(c, at)
		return
	}
	sim.lastCall++
	call := sim.lastCall
	c.attempts++
	sim.calls[call] = &attempt{job: c, instance: at, machine: n.machine}
	sim.input(n, func(m *Machine, out *Output) { m.Submit(sim.now, call, c.job, out) })
}

func (sim *simulation) retry(c *callerJob, at int) {
	sim.after(testRetryDelay, func() { sim.sendJob(c, (at+1)%len(sim.instances)) })
}

func (sim *simulation) handleAnswer(n *fakeInstance, a Answer) {
	t := sim.calls[a.Call]
	if t == nil || t.machine != n.machine {
		sim.t.Errorf("%s answers call %d, which is not open", n.self.ID, a.Call)
		return
	}
	delete(sim.calls, a.Call)
	sim.observer.jobAnswered(t.job, a.Fault)
	if sim.onRefusal != nil && a.Fault != nil && a.Fault.Kind.Row().NotRun {
		sim.onRefusal(t.job, a.Fault)
	}
	if a.Fault != nil && !a.Fault.Kind.Row().NotRun && a.Fault.Kind != fault.TaskFailed {
		sim.retry(t.job, t.instance)
	}
}

// openCalls returns the numbers of the open requests in ascending order.
func (sim *simulation) openCalls() []uint64 { return slices.Sorted(maps.Keys(sim.calls)) }

// disconnectCaller ends a caller's connections.
func (sim *simulation) disconnectCaller(c *callerJob) {
	c.disconnected = true
	for _, call := range sim.openCalls() {
		t := sim.calls[call]
		if t.job == c {
			n := sim.instances[t.instance]
			if n.machine == t.machine {
				sim.input(n, func(m *Machine, out *Output) { m.CallerLeft(sim.now, call, out) })
			}
		}
	}
}
