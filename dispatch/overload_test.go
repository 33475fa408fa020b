package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	routine = 1
	bulk    = 2
)

// newAdmittingSimulation returns a simulation whose instances call Admit for
// each job.
func newAdmittingSimulation(dc dataCentre, maxWait time.Duration) *simulation {
	s := newSimulation(seeds[0], dc.endpoints)
	s.addSchedulers(dc.instances, Settings{MaxWait: maxWait}, nil)
	for _, n := range s.nodes {
		n.(*schedulerNode).admits = true
	}
	return s
}

// tooLongWhenHot reports whether the job's longest task alone misses the target
// on an endpoint with 60 % of its speed.
func tooLongWhenHot(j *simJob, target time.Duration) bool {
	return time.Duration(float64(j.longest)/0.6)+2*(clientHop+localHop) > target
}

// heatRacksWithin slows down one rack after the other, until the data centre has
// 60 % of its capacity.
func (s *simulation) heatRacksWithin(within time.Duration) {
	infos := endpointInfos(len(s.endpoints))
	racks := (len(infos) + 5) / 6
	for i, info := range infos {
		s.after(within*time.Duration(1+i/6)/time.Duration(racks), func() { s.endpoints[info.ID].slowdown = 1 / 0.6 }) // endpoint i is in rack i/6
	}
}

func TestUrgentKeepsItsTargetUnderOverload(t *testing.T) {
	tests := []struct {
		name      string
		loads     [3]float64
		slowRacks bool
	}{
		{"130 % load", [3]float64{0.8, 0.3, 0.2}, false},
		{"40 % of capacity lost within 60 s", [3]float64{0.48, 0.15, 0.15}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newAdmittingSimulation(dataCentre13, 10*time.Second)
			if test.slowRacks {
				s.heatRacksWithin(time.Minute)
				s.infeasible = tooLongWhenHot
			}
			r := s.runMix([]arrivals{
				{class: urgent, min: 1, max: 8, load: test.loads[0]},
				{class: routine, min: 10, max: 100, load: test.loads[1]},
				{class: bulk, min: 50, max: 410, load: test.loads[2]},
			}, 110*time.Second)
			feasible := len(r.ratios[urgent]) - r.infeasible
			share := float64(r.withinTarget[urgent]) / float64(feasible)
			t.Logf("urgent within target %.4f of the feasible jobs, %.4f of all %d, refused by class %v", share, r.withinTargetShare(urgent), len(r.ratios[urgent]), r.refusedByClass)
			is.True(share >= 0.99)
			is.Equal(r.refusedByClass[urgent], 0)
			s.runUntil(s.now.Add(10 * time.Minute))
			is.Equal(len(s.jobs), 0) // all admitted jobs are answered
		})
	}
}

func TestUrgentKeepsItsTargetInBurst(t *testing.T) {
	is := is.New(t)
	s := newAdmittingSimulation(dataCentre13, 10*time.Second)
	mix := usualMix(0.7)
	mix[urgent].factor = 10
	mix[urgent].from = 20 * time.Second
	mix[urgent].to = 22 * time.Second
	r := s.runMix(mix, 30*time.Second)
	t.Logf("urgent within target %.4f of %d, refused by class %v", r.withinTargetShare(urgent), len(r.ratios[urgent]), r.refusedByClass)
	is.True(r.withinTargetShare(urgent) >= 0.99)
	is.Equal(r.refusedByClass[urgent], 0)
}

// trackedNode is a Scheduler with an endpoint.Tracker, which ejects failing
// endpoints.
type trackedNode struct {
	*schedulerNode
	tracker       *endpoint.Tracker
	trackerOutput endpoint.Output
}

func (n *trackedNode) finished(now time.Time, ref task.Ref, o endpoint.Outcome, ran time.Duration, load endpoint.Load, out *Output) {
	r := n.running[ref]
	n.tracker.Finished(now, r.endpoint.info.ID, o, ran, r.expected, load, &n.trackerOutput)
	n.schedulerNode.finished(now, ref, o, ran, load, out)
	n.syncTracker(now, out)
}

func (n *trackedNode) submit(now time.Time, j *job.Job, out *Output) {
	n.schedulerNode.submit(now, j, out)
	n.syncTracker(now, out)
}

func (n *trackedNode) tick(now time.Time, out *Output) {
	n.tracker.Tick(now, &n.trackerOutput)
	n.schedulerNode.tick(now, out)
	n.syncTracker(now, out)
}

// syncTracker passes the starts to the tracker and the endpoints with changed
// health to the Scheduler.
func (n *trackedNode) syncTracker(now time.Time, out *Output) {
	changed := n.trackerOutput.Changed
	n.trackerOutput = endpoint.Output{}
	if len(changed) > 0 {
		n.Refresh(now, changed, out)
	}
	for _, st := range out.Starts {
		n.tracker.Sent(now, st.Endpoint)
	}
}

func (s *simulation) addTracked(n int) {
	infos := instanceInfos(n)
	endpoints := endpointInfos(len(s.endpoints))
	for i, info := range infos {
		tracker := endpoint.New(endpoint.Settings{DataCentre: dataCentreName, Seed: uint64(i)}, s.now)
		node := &trackedNode{tracker: tracker}
		tracker.Update(s.now, endpoints, &node.trackerOutput)
		sched := New(Settings{Self: info.Ref, Health: tracker}, s.now)
		node.schedulerNode = &schedulerNode{Scheduler: sched, sim: s, self: i, onRefused: s.recordRefusal}
		s.addNode(node)
		s.step(i, func(out *Output) {
			sched.SetConfiguration(s.now, simDocument(nil), out)
			sched.SetEndpoints(s.now, endpoints, out)
			sched.SetInstances(s.now, infos, out)
		})
	}
}

// An endpoint that fails every task at once looks idle and attracts tasks until
// it is ejected.
func TestFailingEndpointCostsFewTasks(t *testing.T) {
	for _, dc := range []dataCentre{dataCentre13, dataCentre17} {
		t.Run(dc.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(seeds[0], dc.endpoints)
			s.addTracked(dc.instances)
			failingEndpoint := s.endpoints[endpointInfos(dc.endpoints)[3].ID]
			s.after(15*time.Second, func() { failingEndpoint.failing = true })
			failed := 0
			s.after(19*time.Second, func() { failed = failingEndpoint.failedTasks })
			s.runMix(usualMix(0.9), 15*time.Second)
			t.Logf("%d tasks failed in the first 4 s, %d in 10 s", failed, failingEndpoint.failedTasks)
			is.True(failed > 0)
			is.True(failed <= 24) // tasks that one failing endpoint costs
		})
	}
}
