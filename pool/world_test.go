package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

// The figures of the platform's pages and of the links between data centres.
const (
	testLease    = time.Second
	testStop     = 50 * time.Millisecond
	testResend   = 1300 * time.Millisecond
	testDelay    = time.Millisecond
	testTimeout  = 250 * time.Millisecond
	testLook     = 80 * time.Millisecond
	testSilence  = 800 * time.Millisecond
	testReconect = 200 * time.Millisecond
)

type (
	// world runs instances, endpoints and callers under a virtual clock. What
	// it sees on its links is checked by the observer.
	world struct {
		t         testing.TB
		now       time.Time
		events    eventHeap
		sequence  int
		rng       *rand.Rand
		nodes     []*node
		endpoints []*fakeEndpoint
		watch     *observer
		// cut tells which nodes are cut off from each other, and dark which
		// nodes are cut off from which endpoints.
		cut  map[[2]int]int
		dark map[[2]int]bool
		// refuse tells that orders over a cut are refused at once rather than
		// not answered.
		refuse bool
		// lateShare is the share of orders that are not answered and carried
		// out late.
		lateShare float64
		calls     map[uint64]*attempt
		lastCall  uint64
		lastJob   int
		// messages counts those between nodes.
		messages int
	}

	node struct {
		index   int
		machine *Machine
		self    instance.Info
		alive   bool
		frozen  bool
		// inbox is what came while the process stood still.
		inbox []func()
		wake  time.Time
		// ticks tells that a tick is scheduled.
		ticks  int
		linked map[int]bool
	}

	eventItem struct {
		at       time.Time
		sequence int
		do       func()
	}

	eventHeap []eventItem
)

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(eventItem)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newWorld returns a world with that many nodes and endpoints in each of two
// data centres.
func newWorld(t testing.TB, seed uint64, nodes, endpoints int) *world {
	w := &world{
		t:     t,
		now:   time.Unix(1_800_000_000, 0),
		rng:   rand.New(rand.NewPCG(seed, 1)),
		cut:   map[[2]int]int{},
		dark:  map[[2]int]bool{},
		calls: map[uint64]*attempt{},
	}
	w.watch = newObserver(w)
	for i := range nodes {
		w.nodes = append(w.nodes, &node{index: i, self: instance.Info{
			Ref: instance.Ref{DataCentre: centre(i), ID: fmt.Sprintf("n%d", i)},
		}})
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, newFakeEndpoint(w, i))
	}
	for i := range w.nodes {
		w.startNode(i)
	}
	return w
}

func centre(i int) string { return fmt.Sprintf("dc%d", i%2) }

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, eventItem{w.now.Add(d), w.sequence, do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(eventItem)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// startNode starts a node anew, as another incarnation.
func (w *world) startNode(i int) {
	n := w.nodes[i]
	n.alive, n.frozen, n.inbox = true, false, nil
	n.self.Incarnation++
	n.linked = map[int]bool{}
	n.machine = New(w.now, Config{Self: n.self, LeaseTime: testLease, StopTime: testStop})
	n.wake = time.Time{}
	w.input(n, func(m *Machine, out *Output) {
		m.SetInstances(w.now, w.others(n), out)
		m.SetEndpoints(w.now, w.listing(), out)
	})
	for _, o := range w.nodes {
		if o != n && o.alive {
			w.after(testReconect, func() { w.link(n, o) })
		}
	}
}

// others returns the instances but one.
func (w *world) others(n *node) []instance.Info {
	var list []instance.Info
	for _, o := range w.nodes {
		if o != n {
			list = append(list, o.self)
		}
	}
	return list
}

func (w *world) listing() []endpoint.Info {
	var list []endpoint.Info
	for _, e := range w.endpoints {
		if e.up {
			list = append(list, e.info)
		}
	}
	return list
}

// link opens the stream between two nodes if they reach each other.
func (w *world) link(a, b *node) {
	if !a.alive || !b.alive || a.frozen || b.frozen || a.linked[b.index] || w.isCut(a.index, b.index) {
		return
	}
	a.linked[b.index], b.linked[a.index] = true, true
	w.input(a, func(m *Machine, out *Output) { m.PeerJoined(w.now, b.self, out) })
	w.input(b, func(m *Machine, out *Output) { m.PeerJoined(w.now, a.self, out) })
}

// unlink ends the stream, as each side sees it.
func (w *world) unlink(a, b *node) {
	if !a.linked[b.index] {
		return
	}
	delete(a.linked, b.index)
	delete(b.linked, a.index)
	for _, p := range [][2]*node{{a, b}, {b, a}} {
		ref := p[1].self.Ref
		w.input(p[0], func(m *Machine, out *Output) { m.PeerLost(w.now, ref, out) })
	}
}

func (w *world) isCut(a, b int) bool { return w.cut[[2]int{min(a, b), max(a, b)}] > 0 }

// input passes an input to a node, at once or when it wakes up.
func (w *world) input(n *node, do func(m *Machine, out *Output)) {
	if !n.alive {
		return
	}
	machine := n.machine
	pass := func() {
		if !n.alive || n.machine != machine {
			return
		}
		var out Output
		do(machine, &out)
		w.perform(n, &out)
	}
	if n.frozen {
		n.inbox = append(n.inbox, pass)
		return
	}
	pass()
}

func (w *world) perform(n *node, out *Output) {
	for _, a := range out.Answers {
		w.answered(n, a)
	}
	for _, s := range out.Starts {
		w.order(n, s.Order, func(e *fakeEndpoint) Reply { return e.start(s) },
			func(r Reply, m *Machine, out *Output) { m.StartReplied(w.now, StartReply{r, s.Run}, out) })
	}
	for _, s := range out.Stops {
		w.order(n, s.Order, func(e *fakeEndpoint) Reply { return e.stop(s) },
			func(r Reply, m *Machine, out *Output) { m.StopReplied(w.now, StopReply{r, s.Run}, out) })
	}
	for _, l := range out.Looks {
		w.look(n, l)
	}
	for _, msg := range out.Messages {
		w.send(n, msg)
	}
	if !out.Wake.IsZero() {
		w.scheduleTick(n, out.Wake)
	}
}

func (w *world) scheduleTick(n *node, at time.Time) {
	if !n.wake.IsZero() && !at.Before(n.wake) {
		return
	}
	n.wake = at
	n.ticks++
	number, machine := n.ticks, n.machine
	w.after(max(at.Sub(w.now), 0), func() {
		if number != n.ticks || n.machine != machine || n.frozen {
			return
		}
		n.wake = time.Time{}
		w.input(n, func(m *Machine, out *Output) { m.Tick(w.now, out) })
	})
}

// send carries a message to the other end of a stream.
func (w *world) send(n *node, msg message.Message) {
	for _, o := range w.nodes {
		if o.self.Ref != msg.To || !n.linked[o.index] {
			continue
		}
		w.messages++
		w.after(testDelay, func() {
			if !n.linked[o.index] || w.isCut(n.index, o.index) || o.self.Ref != msg.To {
				return
			}
			w.input(o, func(m *Machine, out *Output) { m.Receive(w.now, msg, out) })
		})
	}
}

// order carries an order to its endpoint and the reply back. Some are not
// answered and carried out seconds later.
func (w *world) order(n *node, o Order, carryOut func(*fakeEndpoint) Reply, back func(Reply, *Machine, *Output)) {
	sent := w.now
	e := w.endpointAt(o)
	reply := func(r Reply) {
		r.Endpoint, r.Token, r.Sent = o.Endpoint.ID, o.Token, sent
		w.input(n, func(m *Machine, out *Output) { back(r, m, out) })
	}
	if w.dark[[2]int{n.index, e.index}] {
		if w.refuse {
			w.after(testDelay, func() { reply(Reply{Verdict: Gone}) })
			return
		}
		w.after(testTimeout, func() { reply(Reply{Verdict: Unanswered}) })
		return
	}
	if w.rng.Float64() < w.lateShare {
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() { carryOut(e) })
		w.after(testTimeout, func() { reply(Reply{Verdict: Unanswered}) })
		return
	}
	w.after(testDelay, func() {
		r := carryOut(e)
		w.after(testDelay, func() {
			if w.dark[[2]int{n.index, e.index}] {
				w.after(testTimeout, func() { reply(Reply{Verdict: Unanswered}) })
				return
			}
			reply(r)
		})
	})
}

func (w *world) endpointAt(o Order) *fakeEndpoint {
	for _, e := range w.endpoints {
		if e.info.ID == o.Endpoint.ID {
			return e
		}
	}
	w.t.Fatalf("order for unknown endpoint %s", o.Endpoint.ID)
	return nil
}

// look carries a look, which the endpoint may answer later.
func (w *world) look(n *node, l Look) {
	sent := w.now
	e := w.endpointAt(l.Order)
	reply := func(r LookReply) {
		r.Endpoint, r.Token, r.Sent, r.Seen, r.Peek = l.Endpoint.ID, l.Token, sent, l.Seen, l.Peek
		w.input(n, func(m *Machine, out *Output) { m.LookReplied(w.now, r, out) })
	}
	lost := func() { w.after(l.Wait+testLook, func() { reply(LookReply{Reply: Reply{Verdict: Unanswered}}) }) }
	if w.dark[[2]int{n.index, e.index}] {
		if w.refuse {
			w.after(testDelay, func() { reply(LookReply{Reply: Reply{Verdict: Gone}}) })
			return
		}
		lost()
		return
	}
	if w.rng.Float64() < w.lateShare {
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() { e.look(l, func(LookReply) {}) })
		lost()
		return
	}
	w.after(testDelay, func() {
		e.look(l, func(r LookReply) {
			w.after(testDelay, func() {
				if w.dark[[2]int{n.index, e.index}] {
					lost()
					return
				}
				reply(r)
			})
		})
	})
}

// kill ends a node's process. With power its peers see nothing of that until
// they miss it.
func (w *world) kill(i int, power bool) {
	n := w.nodes[i]
	n.alive = false
	for _, call := range w.openCalls() {
		t := w.calls[call]
		if t.machine == n.machine {
			delete(w.calls, call)
			w.again(t.job, t.node)
		}
	}
	for _, o := range w.nodes {
		if !n.linked[o.index] {
			continue
		}
		delay := time.Duration(0)
		if power {
			delay = testSilence
		}
		ref := n.self.Ref
		delete(o.linked, n.index)
		w.after(delay, func() { w.input(o, func(m *Machine, out *Output) { m.PeerLost(w.now, ref, out) }) })
	}
}

// freeze makes a node stand still for a while.
func (w *world) freeze(i int, d time.Duration) {
	n := w.nodes[i]
	if !n.alive || n.frozen {
		return
	}
	n.frozen = true
	machine := n.machine
	for _, o := range w.nodes {
		if n.linked[o.index] {
			w.after(testSilence, func() {
				if n.frozen && n.machine == machine {
					w.unlink(n, o)
				}
			})
		}
	}
	w.after(d, func() {
		if n.machine != machine || !n.alive {
			return
		}
		n.frozen = false
		inbox := n.inbox
		n.inbox = nil
		n.wake = time.Time{}
		w.input(n, func(m *Machine, out *Output) { m.Tick(w.now, out) })
		for _, pass := range inbox {
			pass()
		}
		for _, o := range w.nodes {
			w.after(testReconect, func() { w.link(n, o) })
		}
	})
}

// cutNodes cuts two nodes off from each other for a while.
func (w *world) cutNodes(a, b int, d time.Duration) {
	k := [2]int{min(a, b), max(a, b)}
	w.cut[k]++
	w.after(testSilence, func() { w.unlink(w.nodes[a], w.nodes[b]) })
	w.after(d, func() {
		w.cut[k]--
		w.after(testReconect, func() { w.link(w.nodes[a], w.nodes[b]) })
	})
}

// cutEndpoint cuts an endpoint off from a node for a while.
func (w *world) cutEndpoint(n, e int, d time.Duration) {
	k := [2]int{n, e}
	w.dark[k] = true
	w.after(d, func() { delete(w.dark, k) })
}

var address = netip.MustParseAddrPort("10.0.0.1:1")

func needs(cores float64) task.Needs { return task.Needs{Cores: cores, MemoryBytes: 1 << 20} }

func statusOf(ok bool) run.Status {
	if ok {
		return run.Done
	}
	return run.Failed
}
