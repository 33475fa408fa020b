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
	storeCrawls
	storeLossy
	storeModes
)

type (
	storeMode int

	// node is one incarnation of an instance with its queue.
	node struct {
		ref     instance.Ref
		manager *Manager
		skew    time.Duration
		alive   bool
		paused  bool
		// stopped tells that a planned stop has begun.
		stopped bool
		held    []func()
		// queue holds every task that was ever handed out: the fake queue
		// does not honour Drop, so Sent alone must prevent a start.
		queue []task.Ref
		jobs  map[string]*job.Job
		wake  time.Time
	}

	occurrence struct {
		at  time.Time
		seq int
		run func()
	}

	// world is some instances, a network, a store and endpoints on a virtual
	// clock. Its dice decide the fates of messages, calls and tasks.
	world struct {
		now   time.Time
		dice  *rand.Rand
		nodes []*node
		// ghosts are replaced incarnations that live on: nobody reaches them
		// any more, but they reach the store and the endpoints.
		ghosts      []*node
		incarnation uint64
		events      []occurrence
		seq         int
		cuts        map[[2]int]bool
		loss        int // percent of messages
		store       storeMode
		table       map[string]storage.Row
		// endpoints tells in percent how often a send does not end well.
		endpointFaults int
		// failing tells that endpoints fail everything they start.
		failing bool
		// straggle is added to the run time of every task.
		straggle time.Duration
		busy     bool
		call     uint64
		ids      []string
		// issued are the jobs that came without an id, by the id they got.
		issued map[string]job.Job
		seen   *observer
	}
)

// Admit refuses what the test says.
func (w *world) Admit(_ time.Time, j *job.Job) *fault.Error {
	if j.Class == "impossible" {
		return fault.New(fault.NoEndpointFits, "")
	}
	if w.busy && w.dice.IntN(2) == 0 {
		return fault.New(fault.QueueFull, "").WithRetryAfter(time.Second)
	}
	return nil
}

func newWorld(nodes int, seed uint64) *world {
	w := &world{
		now:    start,
		dice:   rand.New(rand.NewPCG(seed, 1)),
		cuts:   map[[2]int]bool{},
		table:  map[string]storage.Row{},
		issued: map[string]job.Job{},
		seen:   newObserver(),
	}
	w.seen.stored = func(id string) bool { return w.table[resultKey(id)].Version > 0 }
	for i := range nodes {
		w.nodes = append(w.nodes, w.boot(i))
	}
	w.tellInstances()
	return w
}

func (w *world) boot(i int) *node {
	w.incarnation++
	n := &node{
		ref:   instance.Ref{DataCentre: "dc", ID: fmt.Sprint("i", i), Incarnation: w.incarnation},
		alive: true,
		skew:  time.Duration(w.dice.IntN(20)-10) * time.Second,
		jobs:  map[string]*job.Job{},
	}
	n.manager = New(Settings{
		Self:        n.ref,
		StartWindow: 40 * time.Second,
		Retention:   8 * time.Second,
		Refusals:    4,
		AnswerBytes: 4000,
		Seed:        w.incarnation,
	}, w, w.now.Add(n.skew))
	n.manager.SetClasses(w.now, []class.Class{{Name: "plain"}, {Name: "durable", DurableAnswers: true}})
	return n
}

func (w *world) ms(low, high int) time.Duration {
	return time.Duration(low+w.dice.IntN(high-low+1)) * time.Millisecond
}

func (w *world) chance(percent int) bool { return w.dice.IntN(100) < percent }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	w.events = append(w.events, occurrence{w.now.Add(d), w.seq, run})
}

// input gives an input to a node and carries out its output. A paused node
// gets it when it resumes, a dead one never.
func (w *world) input(n *node, f func(now time.Time, out *Output)) {
	if !n.alive {
		return
	}
	if n.paused {
		n.held = append(n.held, func() { w.input(n, f) })
		return
	}
	out := &Output{}
	f(w.now.Add(n.skew), out)
	w.carryOut(n, out)
}

func (w *world) carryOut(n *node, out *Output) {
	n.wake = time.Time{}
	if !out.Wake.IsZero() {
		n.wake = out.Wake.Add(-n.skew)
	}
	for _, b := range out.Enqueue {
		n.jobs[b.Job.SubmissionID] = b.Job
		for _, i := range b.Indexes {
			n.queue = append(n.queue, task.Ref{Submission: b.Job.SubmissionID, Index: i})
		}
		w.after(w.ms(0, 40), func() { w.startSome(n, 1+len(b.Indexes)) })
	}
	for _, m := range out.Messages {
		w.deliver(n, m)
	}
	for _, c := range out.Calls {
		w.callStore(n, c)
	}
	for _, r := range out.Replies {
		if r.Result.SubmissionID != "" && IsIssued(r.Result.SubmissionID) {
			w.remember(r.Result.SubmissionID)
		}
		w.seen.replied(r.Call, r.Result, w.now)
	}
}

func (w *world) remember(id string) {
	if !slices.Contains(w.ids, id) {
		w.ids = append(w.ids, id)
	}
}

// advance runs everything that is due within d.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for steps := 0; ; steps++ {
		if steps > 100_000 {
			w.seen.violated("bounded work", "the instances wake again and again")
			return
		}
		i := w.first()
		n := w.firstWake()
		if n != nil && !n.wake.After(end) && (i < 0 || n.wake.Before(w.events[i].at)) {
			w.to(n.wake)
			n.wake = time.Time{}
			w.input(n, func(now time.Time, out *Output) { n.manager.Tick(now, out) })
			continue
		}
		if i < 0 || w.events[i].at.After(end) {
			break
		}
		e := w.events[i]
		w.events = slices.Delete(w.events, i, i+1)
		w.to(e.at)
		e.run()
	}
	w.to(end)
}

func (w *world) to(t time.Time) {
	if t.After(w.now) {
		w.now = t
	}
}

func (w *world) first() int {
	best := -1
	for i := range w.events {
		if best < 0 || cmp.Or(w.events[i].at.Compare(w.events[best].at), cmp.Compare(w.events[i].seq, w.events[best].seq)) < 0 {
			best = i
		}
	}
	return best
}

func (w *world) firstWake() *node {
	var best *node
	for _, list := range [...][]*node{w.nodes, w.ghosts} {
		for _, n := range list {
			if n.alive && !n.paused && !n.wake.IsZero() && (best == nil || n.wake.Before(best.wake)) {
				best = n
			}
		}
	}
	return best
}

// tellInstances gives every node the present list.
func (w *world) tellInstances() {
	var list []instance.Info
	for _, n := range w.nodes {
		if n.alive {
			list = append(list, instance.Info{Ref: n.ref})
		}
	}
	for _, n := range w.nodes {
		w.input(n, func(now time.Time, out *Output) { n.manager.SetInstances(now, list, out) })
	}
}

// replace kills a node and boots a new incarnation in its place.
func (w *world) replace(i int) {
	old := w.nodes[i]
	if w.chance(20) {
		w.ghosts = append(w.ghosts, old)
		w.seen.ghosts = true
	} else {
		old.alive = false
	}
	for _, c := range w.seen.calls {
		if c.node == old {
			c.excused = true
		}
	}
	w.nodes[i] = w.boot(i)
	w.after(w.ms(10, 3000), w.tellInstances)
	if w.chance(70) {
		w.after(w.ms(10, 1500), func() { w.peerLost(old.ref) })
	}
}

func (w *world) peerLost(ref instance.Ref) {
	for _, n := range w.nodes {
		if n.ref != ref {
			w.input(n, func(now time.Time, out *Output) { n.manager.PeerLost(now, ref, out) })
		}
	}
}

func (w *world) resume(n *node) {
	if !n.paused {
		return
	}
	n.paused = false
	held := n.held
	n.held = nil
	if w.chance(50) { // timers first
		w.input(n, func(now time.Time, out *Output) { n.manager.Tick(now, out) })
	}
	for _, f := range held {
		f()
	}
	w.startSome(n, 4)
}

// beginStop begins a planned stop, that ends by a new incarnation as soon as
// the instance says that it is idle.
func (w *world) beginStop(n *node) {
	if n.stopped || !n.alive {
		return
	}
	n.stopped = true
	w.input(n, func(now time.Time, out *Output) { n.manager.BeginStop(now, out) })
	w.leave(n)
}

func (w *world) leave(n *node) {
	at := slices.Index(w.nodes, n)
	if at < 0 || !n.alive {
		return
	}
	if n.paused || !n.manager.Idle() {
		w.after(100*time.Millisecond, func() { w.leave(n) })
		return
	}
	for call, c := range w.seen.calls {
		if c.node == n && c.replies == 0 && !c.excused {
			w.seen.violated("graceful stop", "call %d for %q is unanswered at an instance that says that it is idle", call, c.id)
		}
	}
	w.replace(at)
}

// heal ends all faults and lets everything come to its end.
func (w *world) heal() {
	w.store, w.loss, w.endpointFaults, w.busy = storeUp, 0, 0, false
	w.failing, w.straggle = false, 0
	clear(w.cuts)
	for _, n := range slices.Concat(w.nodes, w.ghosts) {
		w.resume(n)
	}
	w.tellInstances()
	for range 90 {
		w.advance(time.Second)
		for _, n := range slices.Concat(w.nodes, w.ghosts) {
			w.startSome(n, 3)
			w.startAll(n)
		}
	}
}

func (w *world) startAll(n *node) {
	for _, ref := range slices.Clone(n.queue) {
		w.send(n, ref)
	}
}

// unanswered returns the first call that got no reply though its instance
// lives and its caller waits.
func (w *world) unanswered() (uint64, bool) {
	for call := uint64(1); call <= w.call; call++ {
		if c := w.seen.calls[call]; c.replies == 0 && !c.excused {
			return call, true
		}
	}
	return 0, false
}
