package configuration

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/storage"
)

const (
	key           = "configuration"
	networkDelay  = time.Millisecond
	nearHeartbeat = 560 * time.Millisecond
	farHeartbeat  = 8 * time.Second
)

var epoch = time.Date(2030, 7, 1, 14, 0, 0, 0, time.UTC)

type (
	// simulation simulates the platform's table and its instances on a virtual
	// clock. It keeps the table's history, which the trackers never see.
	simulation struct {
		now    time.Time
		queue  []simEvent
		random func(n int) int
		// history holds every value of the row, indexed by the row's version.
		history  []storage.Row
		nodes    []*node
		answers  map[string]ChangeResult
		problems []string
		// down, lossy, stale and callTime are the current faults of the table:
		// no calls succeed, replies are lost, reads return any earlier row, and
		// the duration of a call.
		down, lossy, stale bool
		callTime           time.Duration
		// partitioned holds the data centres that cannot reach the others.
		// tableUnreachable holds those that cannot reach the table.
		partitioned, tableUnreachable map[string]bool
		// deliveries is the number of documents that instances sent to each
		// other.
		deliveries int
	}

	node struct {
		self    instance.Ref
		tracker *Tracker
		// highest is the highest version that was in force in this incarnation,
		// and previousHighest the one in all earlier incarnations.
		highest, previousHighest uint64
		inForceAt                map[uint64]time.Time
		wasReady                 bool
	}

	simEvent struct {
		at time.Time
		do func()
	}
)

func newSimulation(perCentre []int, random func(n int) int) *simulation {
	w := &simulation{
		now:              epoch,
		random:           random,
		history:          []storage.Row{{Key: key}},
		answers:          map[string]ChangeResult{},
		callTime:         5 * time.Millisecond,
		partitioned:      map[string]bool{},
		tableUnreachable: map[string]bool{},
	}
	for dc, n := range perCentre {
		for i := range n {
			nd := &node{self: instance.Ref{DataCentre: fmt.Sprintf("dc%d", dc), ID: fmt.Sprintf("dc%d-%d", dc, i)}}
			w.nodes = append(w.nodes, nd)
			w.restart(nd)
			w.sendHeartbeats(nd)
		}
	}
	return w
}

func (w *simulation) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.queue, at, func(h simEvent, t time.Time) int {
		if h.at.After(t) {
			return 1
		}
		return -1
	})
	w.queue = slices.Insert(w.queue, i, simEvent{at: at, do: do})
}

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		h := w.queue[0]
		w.queue = w.queue[1:]
		w.now = h.at
		h.do()
	}
	w.now = end
}

// restart starts a new incarnation without any state.
func (w *simulation) restart(nd *node) {
	nd.self.Incarnation++
	nd.previousHighest = max(nd.previousHighest, nd.highest)
	nd.highest = 0
	nd.wasReady = false
	nd.inForceAt = map[uint64]time.Time{}
	nd.tracker = New(Settings{Self: nd.self, Seed: uint64(w.random(1 << 20))}, w.now)
	w.call(nd, func(out *Output) { nd.tracker.Tick(w.now, out) })
}

// call calls the tracker and carries out its output.
func (w *simulation) call(nd *node, f func(out *Output)) {
	var out Output
	tr := nd.tracker
	f(&out)
	w.observe(nd, &out)
	for _, c := range out.Calls {
		w.callTable(nd, c)
	}
	for _, to := range out.Requests {
		w.send(nd, to, func(peer *node, o *Output) { peer.tracker.HandleRequest(w.now, nd.self, o) })
	}
	for _, d := range out.Deliveries {
		w.deliveries++
		w.send(nd, d.To, func(peer *node, o *Output) { peer.tracker.HandleDocument(w.now, d.Document, o) })
	}
	if out.Announce != NoScope {
		w.offer(nd, out.Announce == All)
	}
	wait := tr.Next().Sub(w.now)
	w.after(max(wait, 0), func() {
		if nd.tracker == tr && !tr.Next().After(w.now) {
			w.call(nd, func(out *Output) { tr.Tick(w.now, out) })
			w.checkProgress(nd)
		}
	})
}

// checkProgress detects a tracker that asks for Tick at the same time again and
// again.
func (w *simulation) checkProgress(nd *node) {
	for i := 0; !nd.tracker.Next().After(w.now); i++ {
		if i > 100 {
			panic(fmt.Sprintf("%s asks for Tick repeatedly without progress", nd.self.ID))
		}
		w.call(nd, func(out *Output) { nd.tracker.Tick(w.now, out) })
	}
}

// observe checks the invariants that must hold at all times.
func (w *simulation) observe(nd *node, out *Output) {
	d := nd.tracker.Current()
	if d.Version < nd.highest {
		w.problem("%s went back from version %d to %d", nd.self.ID, nd.highest, d.Version)
	}
	if d.Version > nd.highest {
		nd.highest = d.Version
		nd.inForceAt[d.Version] = w.now
		value, _ := d.Encode()
		if d.Version >= uint64(len(w.history)) || string(w.history[d.Version].Value) != string(value) {
			w.problem("%s has version %d in force, which the table never held", nd.self.ID, d.Version)
		}
	}
	nd.wasReady = nd.wasReady || nd.tracker.Ready()
	for _, a := range out.Answers {
		if _, twice := w.answers[a.ChangeID]; twice {
			w.problem("change %s was answered twice", a.ChangeID)
		}
		w.answers[a.ChangeID] = a
	}
}

func (w *simulation) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *simulation) send(from *node, to instance.Ref, deliver func(peer *node, out *Output)) {
	remote := from.self.DataCentre != to.DataCentre
	if remote && (w.partitioned[from.self.DataCentre] || w.partitioned[to.DataCentre]) {
		return
	}
	w.after(networkDelay, func() {
		for _, peer := range w.nodes {
			if peer.self == to {
				w.call(peer, func(out *Output) { deliver(peer, out) })
			}
		}
	})
}

// offer sends heartbeats with the version in force, to all instances or to
// those of the same data centre.
func (w *simulation) offer(nd *node, all bool) {
	version := nd.tracker.Current().Version
	for _, peer := range w.nodes {
		if peer != nd && (all || peer.self.DataCentre == nd.self.DataCentre) {
			w.send(nd, peer.self, func(p *node, out *Output) { p.tracker.HandleVersion(w.now, nd.self, version, out) })
		}
	}
}

func (w *simulation) sendHeartbeats(nd *node) {
	w.offer(nd, w.now.Sub(epoch)%farHeartbeat < nearHeartbeat)
	w.after(nearHeartbeat-10*time.Millisecond+time.Duration(w.random(20))*time.Millisecond, func() { w.sendHeartbeats(nd) })
}

// callTable carries out a call with the table's current faults.
func (w *simulation) callTable(nd *node, c storage.Call) {
	incarnation := nd.self.Incarnation
	reply := func(d time.Duration, r storage.Reply) {
		r.Number = c.Number
		w.after(d, func() {
			if nd.self.Incarnation == incarnation {
				w.call(nd, func(out *Output) { nd.tracker.HandleReply(w.now, r, out) })
			}
		})
	}
	if w.down || w.tableUnreachable[nd.self.DataCentre] {
		if w.random(2) == 0 {
			reply(networkDelay, storage.Reply{Outcome: storage.NotApplied})
		} else {
			reply(2*time.Second, storage.Reply{Outcome: storage.Unknown})
		}
		return
	}
	// The effect takes place at a random time within the call.
	before := time.Duration(w.random(int(w.callTime)))
	lost := w.lossy && w.random(2) == 0
	stale := w.stale
	w.after(before, func() {
		r := w.apply(c, stale)
		switch {
		case !lost:
			reply(w.callTime-before, r)
		case w.random(2) == 0:
			reply(w.callTime-before, storage.Reply{Outcome: storage.Unknown})
		}
	})
}

func (w *simulation) apply(c storage.Call, stale bool) storage.Reply {
	last := w.history[len(w.history)-1]
	if len(c.Get) > 0 {
		if stale {
			last = w.history[w.random(len(w.history))]
		}
		return storage.Reply{Rows: []storage.Row{last}}
	}
	write := c.Insert[0]
	if write.Version != last.Version {
		return storage.Reply{Rows: []storage.Row{last}, Applied: []bool{false}}
	}
	row := storage.Row{Key: key, Value: write.Value, Version: last.Version + 1}
	w.history = append(w.history, row)
	return storage.Reply{Rows: []storage.Row{row}, Applied: []bool{true}}
}

// checkConverged returns all problems found. It is called once all faults have
// ended and time has passed.
func (w *simulation) checkConverged() []string {
	latest := uint64(len(w.history) - 1)
	for _, nd := range w.nodes {
		if v := nd.tracker.Current().Version; v != latest {
			w.problem("%s has version %d, the table has %d", nd.self.ID, v, latest)
		}
		if !nd.tracker.Ready() {
			w.problem("%s is not ready", nd.self.ID)
		}
	}
	applied := map[string]int{}
	for _, row := range w.history[1:] {
		d, err := Decode(row.Value)
		if err != nil || d.Version != row.Version {
			w.problem("row %d: version %d, %v", row.Version, d.Version, err)
		}
		applied[d.ChangeID]++
	}
	for id, n := range applied {
		if n > 1 {
			w.problem("change %s took effect %d times", id, n)
		}
	}
	for id, a := range w.answers {
		unknown := a.Fault != nil && a.Fault.Kind == fault.ChangeUnknown
		if !unknown && (a.Fault == nil) != (applied[id] == 1) {
			w.problem("change %s was answered %v and took effect %d times", id, a.Fault, applied[id])
		}
	}
	return w.problems
}
