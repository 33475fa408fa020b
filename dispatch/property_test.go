package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

// testCluster runs several Schedulers whose messages are delayed, reordered and
// lost. During the run it checks only their inputs and outputs; checkEmpty checks
// their state at the end.
type testCluster struct {
	t          *rapid.T
	now        time.Time
	infos      []instance.Info
	schedulers []*Scheduler
	inTransit  []message.Message
	running    []observedTask
	// started counts the starts of each task, without refused ones.
	started map[task.Ref]int
	jobs    map[string]*job.Job
	// jobIDs are the IDs of jobs; the first digit is the index of the home.
	jobIDs  []string
	removed map[string]bool
	// atEndpoint counts the running tasks of each instance on each endpoint.
	atEndpoint map[string]int
}

type observedTask struct {
	node  int
	start Start
}

func newTestCluster(t *rapid.T) *testCluster {
	c := &testCluster{
		t:          t,
		now:        time.Unix(1000, 0),
		infos:      instanceInfos(3),
		started:    map[task.Ref]int{},
		jobs:       map[string]*job.Job{},
		removed:    map[string]bool{},
		atEndpoint: map[string]int{},
	}
	for i, info := range c.infos {
		s := New(Settings{Self: info.Ref}, c.now)
		c.schedulers = append(c.schedulers, s)
		c.step(i, func(out *Output) {
			s.SetConfiguration(c.now, simDocument(nil), out)
			s.SetEndpoints(c.now, endpointInfos(3), out)
			s.SetInstances(c.now, c.infos, out)
		})
	}
	return c
}

func (c *testCluster) step(n int, call func(out *Output)) {
	var out Output
	call(&out)
	c.inTransit = append(c.inTransit, out.Messages...)
	for _, st := range out.Starts {
		key := fmt.Sprintf("%d at %s", n, st.Endpoint)
		c.atEndpoint[key]++
		if c.atEndpoint[key] > slotsPerEndpoint {
			c.t.Fatalf("instance %s uses more slots than there are", key)
		}
		c.started[st.Ref]++
		if c.started[st.Ref] > 1 {
			c.t.Fatalf("task %v started twice", st.Ref)
		}
		if c.removed[st.Ref.Submission] {
			c.t.Fatalf("task %v started after its job was removed", st.Ref)
		}
		c.running = append(c.running, observedTask{node: n, start: st})
	}
}

func (c *testCluster) submit(*rapid.T) {
	n := rapid.IntRange(0, 2).Draw(c.t, "node")
	j := &job.Job{
		SubmissionID: fmt.Sprintf("%d-%d", n, len(c.jobs)),
		Class:        simClasses[rapid.IntRange(0, 2).Draw(c.t, "class")].Name,
		Team:         rapid.SampledFrom([]string{"a", "b"}).Draw(c.t, "team"),
		Tasks:        make([]task.Task, rapid.IntRange(1, 30).Draw(c.t, "tasks")),
	}
	c.jobs[j.SubmissionID] = j
	c.jobIDs = append(c.jobIDs, j.SubmissionID)
	c.step(n, func(out *Output) { c.schedulers[n].Enqueue(c.now, j, c.now, indexesOf(j), out) })
}

func (c *testCluster) remove(*rapid.T) {
	if len(c.jobIDs) == 0 {
		return
	}
	id := rapid.SampledFrom(c.jobIDs).Draw(c.t, "job")
	n := int(id[0] - '0')
	c.removed[id] = true
	c.step(n, func(out *Output) { c.schedulers[n].Remove(c.now, id, out) })
}

func (c *testCluster) finish(*rapid.T) {
	if len(c.running) == 0 {
		return
	}
	o := rapid.SampledFrom([]endpoint.Outcome{endpoint.Answered, endpoint.Answered, endpoint.Failed, endpoint.Refused, endpoint.Lost}).Draw(c.t, "outcome")
	c.end(rapid.IntRange(0, len(c.running)-1).Draw(c.t, "task"), o)
}

func (c *testCluster) end(i int, o endpoint.Outcome) {
	r := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	ref := r.start.Ref
	c.atEndpoint[fmt.Sprintf("%d at %s", r.node, r.start.Endpoint)]--
	if o == endpoint.Refused {
		c.started[ref]--
	}
	c.step(r.node, func(out *Output) {
		c.schedulers[r.node].Finished(c.now, ref, o, time.Second, endpoint.Load{}, out)
		if o == endpoint.Refused && !c.removed[ref.Submission] {
			c.schedulers[r.node].Enqueue(c.now, c.jobs[ref.Submission], c.now, []int{ref.Index}, out)
		}
	})
}

func (c *testCluster) deliver(*rapid.T) {
	if len(c.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.inTransit)-1).Draw(c.t, "message")
	lost := rapid.IntRange(0, 9).Draw(c.t, "lost") == 0
	c.deliverMessage(i, lost)
}

func (c *testCluster) deliverMessage(i int, lost bool) {
	m := c.inTransit[i]
	c.inTransit = append(c.inTransit[:i], c.inTransit[i+1:]...)
	for n, info := range c.infos {
		if info.Ref == m.To && !lost {
			c.step(n, func(out *Output) { c.schedulers[n].Receive(c.now, m, out) })
		}
	}
}

func (c *testCluster) wait(*rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 300, 3000, 8000}).Draw(c.t, "ms")) * time.Millisecond)
	c.tick()
}

func (c *testCluster) tick() {
	for n, s := range c.schedulers {
		c.step(n, func(out *Output) { s.Tick(c.now, out) })
	}
}

// changeMembership changes the list of live instances at one instance.
func (c *testCluster) changeMembership(*rapid.T) {
	n := rapid.IntRange(0, 2).Draw(c.t, "node")
	without := rapid.IntRange(0, 3).Draw(c.t, "without")
	var seen []instance.Info
	for i, info := range c.infos {
		if i != without || i == n {
			seen = append(seen, info)
		}
	}
	c.step(n, func(out *Output) { c.schedulers[n].SetInstances(c.now, seen, out) })
}

// finishAll delivers all messages, completes all tasks, and checks that every
// task of a job that was not removed started once.
func (c *testCluster) finishAll() {
	for n, s := range c.schedulers {
		c.step(n, func(out *Output) { s.SetInstances(c.now, c.infos, out) })
	}
	for range 400 {
		c.now = c.now.Add(100 * time.Millisecond)
		for len(c.inTransit) > 0 {
			c.deliverMessage(0, false)
		}
		for len(c.running) > 0 {
			c.end(0, endpoint.Answered)
		}
		c.tick()
	}
	for id, j := range c.jobs {
		for i := range j.Tasks {
			if !c.removed[id] && c.started[task.Ref{Submission: id, Index: i}] != 1 {
				c.t.Fatalf("task %d of job %s did not start", i, id)
			}
		}
	}
	c.checkEmpty()
}

// checkEmpty checks that no task waits or runs and that no slot is lent, at
// holders and borrowers.
func (c *testCluster) checkEmpty() {
	for _, s := range c.schedulers {
		if s.waiting != 0 || s.bytes != 0 || len(s.jobs) != 0 {
			c.t.Fatalf("%d tasks wait in %d jobs of %d bytes", s.waiting, len(s.jobs), s.bytes)
		}
		for _, e := range s.endpoints {
			if e.lent != 0 || e.borrowed != 0 || e.running != 0 {
				c.t.Fatalf("%s has %d slots lent, %d borrowed, %d running at %s", e.info.ID, e.lent, e.borrowed, e.running, s.settings.Self.ID)
			}
		}
	}
}

func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  c.submit,
			"remove":  c.remove,
			"finish":  c.finish,
			"finish2": c.finish, // again, to make it twice as likely
			"deliver": c.deliver,
			"more":    c.deliver, // likewise
			"wait":    c.wait,
			"view":    c.changeMembership, // changes the list of live instances
		})
		c.finishAll()
	})
}
