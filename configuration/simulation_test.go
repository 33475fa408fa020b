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
	key      = "configuration"
	hop      = time.Millisecond
	nearBeat = 560 * time.Millisecond
	farBeat  = 8 * time.Second
)

var epoch = time.Date(2030, 7, 1, 14, 0, 0, 0, time.UTC)

type (
	// world is a fake platform and its instances on a virtual clock. It keeps
	// the history of the table itself, which the trackers never see.
	world struct {
		now    time.Time
		queue  []happening
		random func(n int) int
		// history holds every value of the row; its index is the row's version.
		history  []storage.Row
		nodes    []*node
		answers  map[string]Answer
		problems []string
		// down, lossy, stale and callTime are the table's present faults.
		down, lossy, stale bool
		callTime           time.Duration
		// cut tells which data centres cannot talk to the others; platform
		// tells which cannot reach the table.
		cut, platform map[string]bool
		// bytes and messages count what instances sent to each other.
		deliveries int
	}

	node struct {
		self    instance.Ref
		tracker *Tracker
		// highest is the highest version that was in force in this
		// incarnation, and before in any earlier one.
		highest, before uint64
		inForceAt       map[uint64]time.Time
		wasReady        bool
	}

	happening struct {
		at time.Time
		do func()
	}
)

func newWorld(perCentre []int, random func(n int) int) *world {
	w := &world{
		now:      epoch,
		random:   random,
		history:  []storage.Row{{Key: key}},
		answers:  map[string]Answer{},
		callTime: 5 * time.Millisecond,
		cut:      map[string]bool{},
		platform: map[string]bool{},
	}
	for dc, n := range perCentre {
		for i := range n {
			nd := &node{self: instance.Ref{DataCentre: fmt.Sprintf("dc%d", dc), ID: fmt.Sprintf("dc%d-%d", dc, i)}}
			w.nodes = append(w.nodes, nd)
			w.restart(nd)
			w.beat(nd)
		}
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.queue, at, func(h happening, t time.Time) int {
		if h.at.After(t) {
			return 1
		}
		return -1
	})
	w.queue = slices.Insert(w.queue, i, happening{at: at, do: do})
}

// run goes on until that much time has passed.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		h := w.queue[0]
		w.queue = w.queue[1:]
		w.now = h.at
		h.do()
	}
	w.now = end
}

// restart begins a new incarnation, which knows nothing.
func (w *world) restart(nd *node) {
	nd.self.Incarnation++
	nd.before = max(nd.before, nd.highest)
	nd.highest = 0
	nd.wasReady = false
	nd.inForceAt = map[uint64]time.Time{}
	nd.tracker = New(Settings{Self: nd.self, Seed: uint64(w.random(1 << 20))}, w.now)
	w.use(nd, func(out *Output) { nd.tracker.Tick(w.now, out) })
}

// use calls the tracker and carries out what it wants.
func (w *world) use(nd *node, call func(out *Output)) {
	var out Output
	tr := nd.tracker
	call(&out)
	w.observe(nd, &out)
	for _, c := range out.Calls {
		w.table(nd, c)
	}
	for _, to := range out.Requests {
		w.send(nd, to, func(peer *node, o *Output) { peer.tracker.Requested(w.now, nd.self, o) })
	}
	for _, d := range out.Deliveries {
		w.deliveries++
		w.send(nd, d.To, func(peer *node, o *Output) { peer.tracker.Received(w.now, d.Document, o) })
	}
	if out.Announce != Nobody {
		w.offer(nd, out.Announce == All)
	}
	wait := tr.Next().Sub(w.now)
	w.after(max(wait, 0), func() {
		if nd.tracker == tr && !tr.Next().After(w.now) {
			w.use(nd, func(out *Output) { tr.Tick(w.now, out) })
			w.checkProgress(nd)
		}
	})
}

// checkProgress finds a tracker that wants one Tick after another at one time.
func (w *world) checkProgress(nd *node) {
	for i := 0; !nd.tracker.Next().After(w.now); i++ {
		if i > 100 {
			panic(fmt.Sprintf("%s wants Tick without end", nd.self.ID))
		}
		w.use(nd, func(out *Output) { nd.tracker.Tick(w.now, out) })
	}
}

// observe checks what must hold at all times.
func (w *world) observe(nd *node, out *Output) {
	d := nd.tracker.Current()
	if d.Version < nd.highest {
		w.problem("%s fell from version %d to %d", nd.self.ID, nd.highest, d.Version)
	}
	if d.Version > nd.highest {
		nd.highest = d.Version
		nd.inForceAt[d.Version] = w.now
		value, _ := d.Encode()
		if d.Version >= uint64(len(w.history)) || string(w.history[d.Version].Value) != string(value) {
			w.problem("%s has version %d in force, which the table never had", nd.self.ID, d.Version)
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

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) send(from *node, to instance.Ref, deliver func(peer *node, out *Output)) {
	far := from.self.DataCentre != to.DataCentre
	if far && (w.cut[from.self.DataCentre] || w.cut[to.DataCentre]) {
		return
	}
	w.after(hop, func() {
		for _, peer := range w.nodes {
			if peer.self == to {
				w.use(peer, func(out *Output) { deliver(peer, out) })
			}
		}
	})
}

// offer sends heartbeats with the version in force.
func (w *world) offer(nd *node, all bool) {
	version := nd.tracker.Current().Version
	for _, peer := range w.nodes {
		if peer != nd && (all || peer.self.DataCentre == nd.self.DataCentre) {
			w.send(nd, peer.self, func(p *node, out *Output) { p.tracker.Offered(w.now, nd.self, version, out) })
		}
	}
}

func (w *world) beat(nd *node) {
	w.offer(nd, w.now.Sub(epoch)%farBeat < nearBeat)
	w.after(nearBeat-10*time.Millisecond+time.Duration(w.random(20))*time.Millisecond, func() { w.beat(nd) })
}

// table carries out a call with the faults of the moment.
func (w *world) table(nd *node, c storage.Call) {
	incarnation := nd.self.Incarnation
	reply := func(d time.Duration, r storage.Reply) {
		r.Number = c.Number
		w.after(d, func() {
			if nd.self.Incarnation == incarnation {
				w.use(nd, func(out *Output) { nd.tracker.Replied(w.now, r, out) })
			}
		})
	}
	if w.down || w.platform[nd.self.DataCentre] {
		if w.random(2) == 0 {
			reply(hop, storage.Reply{Fate: storage.NotApplied})
		} else {
			reply(2*time.Second, storage.Reply{Fate: storage.Doubtful})
		}
		return
	}
	// The effect falls anywhere within the call.
	before := time.Duration(w.random(int(w.callTime)))
	lost := w.lossy && w.random(2) == 0
	stale := w.stale
	w.after(before, func() {
		r := w.effect(c, stale)
		switch {
		case !lost:
			reply(w.callTime-before, r)
		case w.random(2) == 0:
			reply(w.callTime-before, storage.Reply{Fate: storage.Doubtful})
		}
	})
}

func (w *world) effect(c storage.Call, stale bool) storage.Reply {
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

// settled reports what is wrong once all faults are over and time has passed.
func (w *world) settled() []string {
	top := uint64(len(w.history) - 1)
	for _, nd := range w.nodes {
		if v := nd.tracker.Current().Version; v != top {
			w.problem("%s has version %d, the table has %d", nd.self.ID, v, top)
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
