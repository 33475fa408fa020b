package submission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

// The modes of the fake store.
const (
	storeUp storeMode = iota
	storeDown
	storeSlow
	storeLossy
	storeModeCount
)

type (
	storeMode int

	// node is one incarnation of an instance with its task queue.
	node struct {
		ref       instance.Ref
		manager   *Manager
		clockSkew time.Duration
		alive     bool
		paused    bool
		// draining is true after a planned stop has begun.
		draining bool
		// deferredInputs arrived while the node was paused.
		deferredInputs []func()
		// queue holds every task that was ever enqueued. Drop is not applied to
		// it, so BeginAttempt alone must prevent a start.
		queue  []task.Ref
		jobs   map[string]*job.Job
		wakeAt time.Time
	}

	// scheduledEvent is a function to run at a virtual time. Events of one time
	// run in the order of seq.
	scheduledEvent struct {
		at  time.Time
		seq int
		run func()
	}

	// simulation runs several instances with a network, a store and endpoints
	// on a virtual clock. Random numbers from a seed decide what happens to
	// messages, store calls and tasks.
	simulation struct {
		now   time.Time
		rng   *rand.Rand
		nodes []*node
		// replacedNodes are replaced incarnations that still run. They get no
		// messages, but they still send messages, call the store and start
		// tasks.
		replacedNodes   []*node
		lastIncarnation uint64
		events          []scheduledEvent
		seq             int
		// cutLinks holds the pairs of sender and receiver that cannot
		// communicate, by index in nodes.
		cutLinks map[[2]int]bool
		// lossPercent is the share of messages that are lost. Half that share
		// is sent twice, and delays increase with it.
		lossPercent int
		storeMode   storeMode
		rows        map[string]storage.Row
		// endpointFaultPercent is the share of attempts to run a task that do
		// not end with a good answer.
		endpointFaultPercent int
		// failAllTasks makes endpoints fail every task that they start.
		failAllTasks bool
		// extraRunTime is added to the run time of every task.
		extraRunTime time.Duration
		// queueFull makes admission refuse half of all jobs.
		queueFull bool
		lastCall  uint64
		// ids are the submission ids known to callers.
		ids []string
		// issued holds the jobs that were submitted without an id, by the id
		// they got.
		issued   map[string]job.Job
		observer *observer
	}
)

// Admit implements Admission. It refuses jobs of the class "impossible" and,
// with queueFull, half of the others.
func (sim *simulation) Admit(_ time.Time, j *job.Job) *fault.Error {
	if j.Class == "impossible" {
		return fault.New(fault.NoEndpointFits, "")
	}
	if sim.queueFull && sim.rng.IntN(2) == 0 {
		return fault.New(fault.QueueFull, "").WithRetryAfter(time.Second)
	}
	return nil
}

func newSimulation(nodes int, seed uint64) *simulation {
	sim := &simulation{
		now:      start,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		cutLinks: map[[2]int]bool{},
		rows:     map[string]storage.Row{},
		issued:   map[string]job.Job{},
		observer: newObserver(),
	}
	sim.observer.isStored = func(id string) bool { return sim.rows[resultKey(id)].Version > 0 }
	for i := range nodes {
		sim.nodes = append(sim.nodes, sim.boot(i))
	}
	sim.broadcastInstances()
	return sim
}

func (sim *simulation) boot(i int) *node {
	sim.lastIncarnation++
	n := &node{
		ref:       instance.Ref{DataCentre: "dc", ID: fmt.Sprint("i", i), Incarnation: sim.lastIncarnation},
		alive:     true,
		clockSkew: time.Duration(sim.rng.IntN(20)-10) * time.Second,
		jobs:      map[string]*job.Job{},
	}
	n.manager = New(Settings{
		Self:           n.ref,
		StartWindow:    40 * time.Second,
		Retention:      8 * time.Second,
		MaxRefusals:    4,
		MaxAnswerBytes: 4000,
		Seed:           sim.lastIncarnation,
	}, sim, sim.now.Add(n.clockSkew))
	n.manager.SetClasses(sim.now, []class.Class{{Name: "plain"}, {Name: "durable", DurableAnswers: true}})
	return n
}

func (sim *simulation) randomMillis(low, high int) time.Duration {
	return time.Duration(low+sim.rng.IntN(high-low+1)) * time.Millisecond
}

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	sim.events = append(sim.events, scheduledEvent{sim.now.Add(d), sim.seq, run})
}

// input passes an input to a node and performs its output. A paused node
// handles it after it resumes, a dead node never.
func (sim *simulation) input(n *node, f func(now time.Time, out *Output)) {
	if !n.alive {
		return
	}
	if n.paused {
		n.deferredInputs = append(n.deferredInputs, func() { sim.input(n, f) })
		return
	}
	out := &Output{}
	f(sim.now.Add(n.clockSkew), out)
	sim.performOutput(n, out)
}

func (sim *simulation) performOutput(n *node, out *Output) {
	n.wakeAt = time.Time{}
	if !out.Wake.IsZero() {
		n.wakeAt = out.Wake.Add(-n.clockSkew)
	}
	for _, b := range out.Enqueue {
		n.jobs[b.Job.SubmissionID] = b.Job
		for _, i := range b.Indexes {
			n.queue = append(n.queue, task.Ref{Submission: b.Job.SubmissionID, Index: i})
		}
		sim.schedule(sim.randomMillis(0, 40), func() { sim.startRandomTasks(n, 1+len(b.Indexes)) })
	}
	for _, m := range out.Messages {
		sim.deliver(n, m)
	}
	for _, c := range out.StoreCalls {
		sim.callStore(n, c)
	}
	for _, r := range out.Replies {
		if r.Result.SubmissionID != "" && IsIssued(r.Result.SubmissionID) {
			sim.addID(r.Result.SubmissionID)
		}
		sim.observer.recordReply(r.Call, r.Result, sim.now)
	}
}

func (sim *simulation) addID(id string) {
	if !slices.Contains(sim.ids, id) {
		sim.ids = append(sim.ids, id)
	}
}

// advance moves the clock forward by d and runs everything that is due.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for steps := 0; ; steps++ {
		if steps > 100_000 {
			sim.observer.addViolation("bounded work", "the instances request Tick without end")
			return
		}
		i := sim.nextEvent()
		n := sim.nextWake()
		if n != nil && !n.wakeAt.After(end) && (i < 0 || n.wakeAt.Before(sim.events[i].at)) {
			sim.advanceTo(n.wakeAt)
			n.wakeAt = time.Time{}
			sim.input(n, func(now time.Time, out *Output) { n.manager.Tick(now, out) })
			continue
		}
		if i < 0 || sim.events[i].at.After(end) {
			break
		}
		e := sim.events[i]
		sim.events = slices.Delete(sim.events, i, i+1)
		sim.advanceTo(e.at)
		e.run()
	}
	sim.advanceTo(end)
}

func (sim *simulation) advanceTo(t time.Time) {
	if t.After(sim.now) {
		sim.now = t
	}
}

func (sim *simulation) nextEvent() int {
	first := -1
	for i := range sim.events {
		if first < 0 || cmp.Or(sim.events[i].at.Compare(sim.events[first].at), cmp.Compare(sim.events[i].seq, sim.events[first].seq)) < 0 {
			first = i
		}
	}
	return first
}

func (sim *simulation) nextWake() *node {
	var first *node
	for _, list := range [...][]*node{sim.nodes, sim.replacedNodes} {
		for _, n := range list {
			if n.alive && !n.paused && !n.wakeAt.IsZero() && (first == nil || n.wakeAt.Before(first.wakeAt)) {
				first = n
			}
		}
	}
	return first
}

// broadcastInstances passes the list of live instances to every node.
func (sim *simulation) broadcastInstances() {
	var list []instance.Info
	for _, n := range sim.nodes {
		if n.alive {
			list = append(list, instance.Info{Ref: n.ref})
		}
	}
	for _, n := range sim.nodes {
		sim.input(n, func(now time.Time, out *Output) { n.manager.SetInstances(now, list, out) })
	}
}

// replace starts a new incarnation in place of a node. The old one is usually
// killed, but sometimes still runs.
func (sim *simulation) replace(i int) {
	replaced := sim.nodes[i]
	if sim.chance(20) {
		sim.replacedNodes = append(sim.replacedNodes, replaced)
		sim.observer.replacedRunning = true
	} else {
		replaced.alive = false
	}
	for _, c := range sim.observer.calls {
		if c.node == replaced {
			c.noReplyExpected = true
		}
	}
	sim.nodes[i] = sim.boot(i)
	sim.schedule(sim.randomMillis(10, 3000), sim.broadcastInstances)
	if sim.chance(70) {
		sim.schedule(sim.randomMillis(10, 1500), func() { sim.notifyPeerLost(replaced.ref) })
	}
}

func (sim *simulation) notifyPeerLost(ref instance.Ref) {
	for _, n := range sim.nodes {
		if n.ref != ref {
			sim.input(n, func(now time.Time, out *Output) { n.manager.PeerLost(now, ref, out) })
		}
	}
}

func (sim *simulation) resume(n *node) {
	if !n.paused {
		return
	}
	n.paused = false
	inputs := n.deferredInputs
	n.deferredInputs = nil
	if sim.chance(50) { // handle timers first
		sim.input(n, func(now time.Time, out *Output) { n.manager.Tick(now, out) })
	}
	for _, f := range inputs {
		f()
	}
	sim.startRandomTasks(n, 4)
}

// beginStop begins a planned stop. A new incarnation replaces the instance as
// soon as it reports that it is idle.
func (sim *simulation) beginStop(n *node) {
	if n.draining || !n.alive {
		return
	}
	n.draining = true
	sim.input(n, func(now time.Time, out *Output) { n.manager.BeginStop(now, out) })
	sim.finishStop(n)
}

func (sim *simulation) finishStop(n *node) {
	at := slices.Index(sim.nodes, n)
	if at < 0 || !n.alive {
		return
	}
	if n.paused || !n.manager.Idle() {
		sim.schedule(100*time.Millisecond, func() { sim.finishStop(n) })
		return
	}
	for call, c := range sim.observer.calls {
		if c.node == n && c.replies == 0 && !c.noReplyExpected {
			sim.observer.addViolation("graceful stop", "call %d for %q is unanswered on an instance that reports that it is idle", call, c.id)
		}
	}
	sim.replace(at)
}

// heal ends all faults and runs until all work is done.
func (sim *simulation) heal() {
	sim.storeMode, sim.lossPercent, sim.endpointFaultPercent, sim.queueFull = storeUp, 0, 0, false
	sim.failAllTasks, sim.extraRunTime = false, 0
	clear(sim.cutLinks)
	for _, n := range slices.Concat(sim.nodes, sim.replacedNodes) {
		sim.resume(n)
	}
	sim.broadcastInstances()
	for range 90 {
		sim.advance(time.Second)
		for _, n := range slices.Concat(sim.nodes, sim.replacedNodes) {
			sim.startRandomTasks(n, 3)
			sim.startAllTasks(n)
		}
	}
}

func (sim *simulation) startAllTasks(n *node) {
	for _, ref := range slices.Clone(n.queue) {
		sim.sendTask(n, ref)
	}
}

// unansweredCall returns the first call without a reply whose instance was not
// replaced and whose caller still waits.
func (sim *simulation) unansweredCall() (uint64, bool) {
	for call := uint64(1); call <= sim.lastCall; call++ {
		if c := sim.observer.calls[call]; c.replies == 0 && !c.noReplyExpected {
			return call, true
		}
	}
	return 0, false
}
