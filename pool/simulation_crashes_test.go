package pool

import (
	"time"
)

const (
	// crashingSpec is the spec of jobs whose first task crashes each endpoint that
	// starts it.
	crashingSpec = "crashes"
	// crashDelay is the time from the start of such a task to the crash, and
	// crashDowntime the time until the endpoint is back.
	crashDelay    = 5 * time.Millisecond
	crashDowntime = 3 * time.Second
	// maxCrashes is the number of crashes after which a task may be started fewer than
	// three times more, by the platform's specification.
	maxCrashes = 3
)

// crashAfterStart crashes the endpoint if the task is one that does.
func (e *fakeEndpoint) crashAfterStart(name string) {
	sim, startedAt := e.sim, e.startedAt
	if sim.observer.jobs[jobIDOf(name)].job.Spec != crashingSpec || name != taskName(jobIDOf(name), 0, 0) {
		return
	}
	sim.after(crashDelay, func() {
		if !e.up || e.startedAt != startedAt {
			return
		}
		sim.observer.crashes[name]++
		e.crashAndReturn(sim.crashedReturnSame)
	})
}

// crashAndReturn crashes the endpoint, which comes back under its ID or another one.
func (e *fakeEndpoint) crashAndReturn(same bool) {
	sim := e.sim
	if same {
		e.crash(crashDowntime)
		sim.after(crashDowntime+randomTime(sim.rng, listDelay), sim.listEndpoints)
		return
	}
	e.down()
	sim.after(crashDowntime, func() { e.returnAsAnother() })
}

// returnAsAnother boots the crashed endpoint under another ID at the same address.
func (e *fakeEndpoint) returnAsAnother() {
	sim := e.sim
	n := newFakeEndpoint(sim, len(sim.endpoints))
	n.info.DataCentre, n.info.Rack, n.info.Labels, n.info.Address = e.info.DataCentre, e.info.Rack, e.info.Labels, e.info.Address
	n.startedAt = sim.now.Truncate(time.Millisecond)
	n.info.StartedAt, n.predecessor = n.startedAt, e
	sim.endpoints = append(sim.endpoints, n)
	sim.byID[n.info.ID] = n
	sim.after(randomTime(sim.rng, listDelay), sim.listEndpoints)
}

// checkCrashes checks that a task is not started three times more after it has
// crashed three endpoints.
func (o *observer) checkCrashes(name string) {
	if o.crashes[name] < maxCrashes {
		return
	}
	o.startsAfter[name]++
	if n := o.startsAfter[name]; n == 3 {
		o.sim.t.Errorf("%s: task %s starts for the third time after it has crashed %d endpoints", o.sim.now.Format("05.000"), name, o.crashes[name])
	}
}

// submitCrashing submits a job of which one task crashes each endpoint.
func (sim *simulation) submitCrashing(at, tasks int, estimate, deadline time.Duration) *callerJob {
	c := sim.newJob(urgent, deadline, step(tasks, estimate))
	c.job.Spec = crashingSpec
	sim.sendJob(c, at)
	return c
}

// crashEndpoints crashes a number of endpoints that are up, which no task causes.
func (sim *simulation) crashEndpoints(count int, same bool) {
	for range count {
		if e := sim.randomEndpoint(); e.up {
			e.crashAndReturn(same)
		}
	}
}
