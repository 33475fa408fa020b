package entry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/lovagecrank/lovagecrank/team"
)

const hop = 500 * time.Microsecond

type (
	// world drives several machines on a virtual clock with fakes for the
	// network, the table and the endpoints.
	world struct {
		now    time.Time
		queue  events
		order  int
		nodes  []*node
		byID   map[string][]*node
		listed []endpoint.Info
		rows   map[string]storage.Row
		rng    *rand.Rand
		// starts counts the starts of each task at the endpoints.
		starts  map[task.Ref]int
		results map[uint64]job.Result
		calls   uint64
		// storeCalls counts calls to the table.
		storeCalls int
		// takers are the instances that took the calls.
		takers map[uint64]*node
		// sent and spent are told of each message and of the processor time
		// of each input, if they are set.
		sent  func(m message.Message)
		spent func(what string, d time.Duration)
		// behave may change how a start ends; nil means that all answer.
		behave func(n *node, s entry.Start, end *entry.End)
		// faults are off in their zero value.
		faults faults
		// observer is told of each start and each reply, if it is set.
		observer *observer
	}

	// faults are what may go wrong in a world.
	faults struct {
		// cut holds pairs of data centres, in the order of the message.
		cut map[[2]string]bool
		// storeFate and storeDelay apply to each call.
		storeFate  storage.Fate
		storeDelay time.Duration
		// lostMessages and lostAnswers are shares, from 0 to 1.
		lostMessages, lostAnswers float64
		// broken endpoints fail each task, full ones refuse it.
		broken, full map[string]bool
	}

	node struct {
		machine *entry.Machine
		info    instance.Info
		actions entry.Actions
		wake    time.Time
		dead    bool
		// closed tells that it accepts no more connections from callers.
		closed bool
		// pausedUntil is when a paused process goes on; its inputs wait.
		pausedUntil time.Time
	}

	timed struct {
		at    time.Time
		order int
		run   func()
	}

	events []timed
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(timed)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newWorld returns a world with that many instances and endpoints for each
// data centre, and a configuration of two classes in the table.
func newWorld(seed uint64, dataCentres, instances, endpoints int) *world {
	w := &world{
		now:     time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC),
		rows:    map[string]storage.Row{},
		rng:     rand.New(rand.NewPCG(seed, 1)),
		byID:    map[string][]*node{},
		takers:  map[uint64]*node{},
		starts:  map[task.Ref]int{},
		results: map[uint64]job.Result{},
	}
	d := configuration.Document{
		Version:  1,
		ChangeID: "first",
		Classes:  []class.Class{{Name: "urgent", Target: time.Second}, {Name: "sweep", Target: time.Minute}},
		Teams:    []team.Team{{Name: "amplifiers"}},
	}
	value, err := d.Encode()
	if err != nil {
		panic(err)
	}
	w.rows["configuration"] = storage.Row{Key: "configuration", Value: value, Version: 1}
	for dc := range dataCentres {
		name := fmt.Sprintf("dc-%d", dc)
		for i := range endpoints {
			w.listed = append(w.listed, endpoint.Info{
				ID:         fmt.Sprintf("w-%d-%d", dc, i),
				Address:    netip.MustParseAddrPort("127.0.0.1:9"),
				DataCentre: name,
				Rack:       fmt.Sprintf("r-%d-%d", dc, i/6),
				Slots:      8, Connections: 64,
				Size: task.Needs{Cores: 16, MemoryBytes: 64 << 30},
			})
		}
		for i := range instances {
			w.add(instance.Ref{DataCentre: name, ID: fmt.Sprintf("i-%d-%d", dc, i), Incarnation: 1})
		}
	}
	return w
}

// add starts an instance and gives everyone the lists.
func (w *world) add(ref instance.Ref) *node {
	info := instance.Info{Ref: ref, Address: netip.MustParseAddrPort("127.0.0.1:9")}
	n := &node{info: info}
	n.machine = entry.New(entry.Settings{Self: info, Seed: uint64(len(w.nodes) + 1)}, w.now)
	w.nodes = append(w.nodes, n)
	w.byID[ref.ID] = append(w.byID[ref.ID], n)
	w.do(n, func(a *entry.Actions) { n.machine.Endpoints(w.now, w.listed, a) })
	for _, n := range w.nodes {
		w.do(n, func(a *entry.Actions) { n.machine.Instances(w.now, w.list(), a) })
	}
	return n
}

func (w *world) list() []instance.Info {
	var infos []instance.Info
	for _, n := range w.nodes {
		if !n.dead {
			infos = append(infos, n.info)
		}
	}
	return infos
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, timed{at: w.now.Add(d), order: w.order, run: run})
}

// run advances the clock by d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(timed)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// do passes one input to a machine and carries out its actions.
func (w *world) do(n *node, input func(a *entry.Actions)) { w.doAs("other", n, input) }

func (w *world) doAs(what string, n *node, input func(a *entry.Actions)) {
	if n.dead {
		return
	}
	if w.now.Before(n.pausedUntil) {
		w.after(n.pausedUntil.Sub(w.now), func() { w.doAs(what, n, input) })
		return
	}
	n.actions.Reset()
	began := time.Now()
	input(&n.actions)
	if w.spent != nil {
		w.spent(what, time.Since(began))
	}
	a := n.actions
	n.actions = entry.Actions{}
	for _, r := range a.Replies {
		w.observer.replied(w, r)
		w.results[r.Call] = r.Result
	}
	for _, s := range a.Starts {
		w.start(n, s)
	}
	for _, c := range a.Calls {
		w.after(3*hop, func() { w.store(n, c) })
	}
	for _, m := range a.Messages {
		if w.sent != nil {
			w.sent(m)
		}
		w.after(hop, func() { w.deliver(m) })
	}
	w.schedule(n, a.Wake)
}

func (w *world) schedule(n *node, at time.Time) {
	if at.IsZero() || at.Equal(n.wake) {
		return
	}
	n.wake = at
	w.after(max(at.Sub(w.now), time.Microsecond), func() {
		if n.wake.Equal(at) {
			n.wake = time.Time{}
			w.doAs("tick", n, func(a *entry.Actions) { n.machine.Tick(w.now, a) })
		}
	})
}

// start runs a task on a fake endpoint for its declared run time.
func (w *world) start(n *node, s entry.Start) {
	ran := s.Job.Tasks[s.Ref.Index].RunTime
	end := entry.End{Ref: s.Ref, Attempt: s.Attempt, Outcome: endpoint.Answered, Answer: []byte(`1`), Ran: ran}
	switch {
	case w.faults.full[s.Endpoint.ID]:
		end.Outcome = endpoint.Refused
		end.Ran = 0
	case w.faults.broken[s.Endpoint.ID]:
		end.Outcome = endpoint.Failed
		end.Ran = time.Millisecond
	case w.rng.Float64() < w.faults.lostAnswers:
		end.Outcome = endpoint.Lost
	}
	if w.behave != nil {
		w.behave(n, s, &end)
	}
	if end.Outcome != endpoint.Refused {
		w.starts[s.Ref]++
		w.observer.started(w, s)
	}
	w.after(2*hop+end.Ran, func() {
		w.doAs("finished", n, func(a *entry.Actions) { n.machine.Finished(w.now, end, a) })
	})
}

// store carries out a call. One of doubtful fate may or may not take effect.
func (w *world) store(n *node, c storage.Call) {
	w.storeCalls++
	r := storage.Reply{Number: c.Number, Fate: w.faults.storeFate}
	if r.Fate == storage.Done || r.Fate == storage.Doubtful && w.rng.IntN(2) == 0 {
		applied := w.apply(c)
		if r.Fate == storage.Done {
			r = applied
		}
	}
	w.after(3*hop+w.faults.storeDelay, func() {
		w.do(n, func(a *entry.Actions) { n.machine.StoreReplied(w.now, r, a) })
	})
}

func (w *world) apply(c storage.Call) storage.Reply {
	r := storage.Reply{Number: c.Number}
	for _, key := range c.Get {
		row := w.rows[key]
		row.Key = key
		r.Rows = append(r.Rows, row)
	}
	for _, write := range c.Insert {
		row := w.rows[write.Key]
		ok := row.Version == write.Version
		if ok {
			row = storage.Row{Key: write.Key, Value: write.Value, Version: row.Version + 1}
			w.rows[write.Key] = row
		}
		r.Rows = append(r.Rows, row)
		r.Applied = append(r.Applied, ok)
	}
	return r
}

func (w *world) deliver(m message.Message) {
	if w.faults.cut[[2]string{m.From.DataCentre, m.To.DataCentre}] || w.rng.Float64() < w.faults.lostMessages {
		return
	}
	for _, n := range w.byID[m.To.ID] {
		if n.info.DataCentre == m.To.DataCentre && !n.dead {
			w.doAs(fmt.Sprintf("%T", m.Body), n, func(a *entry.Actions) { n.machine.Receive(w.now, m, a) })
		}
	}
}

// submit gives a job to an instance and returns the number of the call.
func (w *world) submit(n *node, j job.Job) uint64 {
	w.calls++
	call := w.calls
	w.takers[call] = n
	w.observer.submitted(call, j)
	w.doAs("submit", n, func(a *entry.Actions) { n.machine.Submit(w.now, call, j, true, a) })
	return call
}

func tasks(n int, ran time.Duration) []task.Task {
	var list []task.Task
	for i := range n {
		list = append(list, task.Task{ID: fmt.Sprintf("t-%d", i), Payload: []byte(`{}`), RunTime: ran})
	}
	return list
}
