package pool

import (
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/task"
)

// maxStartDelay is how long an urgent task may wait before less urgent starts elsewhere
// count as out of order: a round trip for the end of a run and the next start, and one
// for an offer.
const maxStartDelay = 4 * testOneWayDelay

// urgencyOrder counts the starts of less urgent tasks, and those of them that an urgent
// task could have had. It measures how long urgent jobs wait for the start of their last
// task.
type urgencyOrder struct {
	sim               *simulation
	lower, outOfOrder int
	jobs              int
	lastStarts        time.Duration
	// unstarted is the number of tasks that have not started, by job ID.
	unstarted map[string]int
}

// measureUrgencyOrder observes all starts from now on.
func (sim *simulation) measureUrgencyOrder() *urgencyOrder {
	o := &urgencyOrder{sim: sim, unstarted: map[string]int{}}
	sim.onStart = o.started
	return o
}

func (o *urgencyOrder) started(e *fakeEndpoint, s Start) {
	c := o.sim.observer.jobs[jobIDOf(s.Run.Task)]
	if c.tally == nil {
		return
	}
	if c.job.Queue == urgent {
		o.urgentStarted(c)
		return
	}
	o.lower++
	if o.urgentTaskFits(e) {
		o.outOfOrder++
	}
}

func (o *urgencyOrder) urgentStarted(c *callerJob) {
	id := c.job.ID
	if _, ok := o.unstarted[id]; !ok {
		o.unstarted[id] = c.job.Steps[0].Tasks
	}
	if o.unstarted[id]--; o.unstarted[id] == 0 {
		o.jobs++
		o.lastStarts += o.sim.now.Sub(c.sentAt)
	}
}

// urgentTaskFits reports whether a task of an urgent job that has waited for too long
// fits into the room that the endpoint has.
func (o *urgencyOrder) urgentTaskFits(e *fakeEndpoint) bool {
	var used task.Needs
	for _, r := range e.runs {
		used = addScaled(used, r.needs, 1)
	}
	room := addScaled(e.info.Size, used, -1)
	for _, n := range o.sim.instances {
		for _, j := range n.machine.queue {
			if j.Queue == urgent && o.sim.now.Sub(j.arrived) > maxStartDelay && fitsWithin(j.Steps[0].Needs, room) {
				return true
			}
		}
	}
	return false
}

// meanLastStart returns the mean time from the arrival of an urgent job to the start of
// its last task.
func (o *urgencyOrder) meanLastStart() time.Duration {
	return o.lastStarts / time.Duration(max(o.jobs, 1))
}

// fullInstallation has demand a little above what 48 endpoints can serve, with tasks of
// which two mostly fit an endpoint.
func fullInstallation(t *testing.T, seed uint64, dataCentres, instances int, inputTime time.Duration) (*urgencyOrder, map[string]*tally) {
	sim := newFleetOfSize(t, seed, dataCentres, instances, 48, 0.4)
	sim.advance(2500 * time.Millisecond)
	sim.inputTime = inputTime
	sim.taskCores = func() float64 { return min(max(6.8+1.36*sim.loadRNG.NormFloat64(), 2), 10) }
	o, before := sim.measureUrgencyOrder(), sim.offerCounts()
	messages, starts := sim.messages, sim.observer.starts
	idle := sim.measureIdle(4 * time.Second)
	tallies := sim.generateMixedLoad(4*time.Second, 1.05)
	sim.advance(4 * time.Second)
	c := sim.offerCounts().plus(before, -1)
	t.Logf("%d instances: last start after %s, %.3f of %d starts out of order, %.2f %% of the slot time idle, %.2f offers for each taken one, %.1f messages a start",
		instances, milliseconds(o.meanLastStart()), float64(o.outOfOrder)/float64(o.lower), o.lower, 100*idle.share(), c.offersPerTaken(), float64(sim.messages-messages)/float64(sim.observer.starts-starts))
	sim.advance(4 * time.Second)
	return o, tallies
}

// TestWideUrgentJobsInFullInstallation guards against urgent jobs whose last tasks wait
// while other holders start less urgent ones: 0.920 of them were in their goal, 0.988
// where one instance holds all endpoints.
func TestWideUrgentJobsInFullInstallation(t *testing.T) {
	t.Parallel()
	var inGoal, reference, submitted int
	for seed := range uint64(6) {
		_, shared := fullInstallation(t, seed+1, 4, 9, 30*time.Microsecond)
		_, alone := fullInstallation(t, seed+1, 1, 1, 0)
		inGoal += shared[urgent.Name].inGoal
		reference += alone[urgent.Name].inGoal
		submitted += shared[urgent.Name].submitted
	}
	share, of := float64(inGoal)/float64(submitted), float64(reference)/float64(submitted)
	t.Logf("%.3f of %d urgent jobs are in their goal, %.3f with one holder", share, submitted, of)
	if share < of-maxLossOfSharing {
		t.Errorf("%.3f of the urgent jobs are in their goal, %.3f with one holder", share, of)
	}
}
