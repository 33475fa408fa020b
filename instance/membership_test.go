package instance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const tick = 20 * time.Millisecond

var epoch = time.Date(2030, 7, 1, 14, 0, 0, 0, time.UTC)

type (
	// simulation simulates a network of instances on a virtual clock. It knows which
	// instances are actually running.
	simulation struct {
		now         time.Time
		rng         *rand.Rand
		nodes       []*node
		partitioned map[string]bool
		// list is the platform's list of instances. It is as old as the test
		// makes it.
		list     []Info
		problems []string
		sent     int
	}

	node struct {
		self       Info
		membership *Membership
		crashed    bool
		suspended  bool
		// inbox holds the messages that arrived while the instance was
		// suspended.
		inbox []Info
		live  map[Ref]bool
	}
)

func newSimulation(seed uint64, perCentre []int) *simulation {
	w := &simulation{now: epoch, rng: rand.New(rand.NewPCG(seed, 3)), partitioned: map[string]bool{}}
	for dc, n := range perCentre {
		for i := range n {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(dc), byte(i)}), 7000)
			nd := &node{self: Info{Ref: Ref{DataCentre: fmt.Sprintf("dc%d", dc), ID: fmt.Sprintf("i%d-%d", dc, i)}, Rack: "r0", Address: addr}}
			w.nodes = append(w.nodes, nd)
			w.start(nd, 1)
		}
	}
	w.publish()
	return w
}

func (w *simulation) start(nd *node, incarnation uint64) {
	nd.self.Incarnation = incarnation
	nd.self.Draining = false
	nd.crashed, nd.suspended, nd.inbox = false, false, nil
	nd.live = map[Ref]bool{}
	nd.membership = New(Settings{Self: nd.self, Seed: w.rng.Uint64()}, w.now)
	w.call(nd, func(out *Output) { nd.membership.HandleList(w.now, w.list, out) })
}

// publish updates the platform's list and passes it to the running instances.
func (w *simulation) publish() {
	w.list = nil
	for _, nd := range w.nodes {
		if !nd.crashed {
			info := nd.self
			info.Incarnation = 0
			w.list = append(w.list, info)
		}
	}
	for _, nd := range w.nodes {
		if !nd.crashed && !nd.suspended {
			w.call(nd, func(out *Output) { nd.membership.HandleList(w.now, w.list, out) })
		}
	}
}

func (w *simulation) call(nd *node, f func(out *Output)) {
	var out Output
	f(&out)
	for _, p := range out.Joined {
		if nd.live[p.Ref] {
			w.problems = append(w.problems, fmt.Sprintf("%v joined twice at %s", p.Ref, nd.self.ID))
		}
		nd.live[p.Ref] = true
	}
	for _, ref := range out.Lost {
		if !nd.live[ref] {
			w.problems = append(w.problems, fmt.Sprintf("%v lost without having joined at %s", ref, nd.self.ID))
		}
		delete(nd.live, ref)
	}
	for _, h := range out.Heartbeats {
		w.sent++
		w.deliver(nd, h.To)
	}
}

func (w *simulation) deliver(from *node, to Info) {
	for _, nd := range w.nodes {
		sameCentre := nd.self.DataCentre == from.self.DataCentre
		reachable := sameCentre || !w.partitioned[nd.self.DataCentre] && !w.partitioned[from.self.DataCentre]
		addressed := to.Incarnation == 0 || to.Incarnation == nd.self.Incarnation
		if nd.crashed || !reachable || nd.self.Address != to.Address || !addressed {
			continue
		}
		if nd.suspended {
			nd.inbox = append(nd.inbox, from.self)
			continue
		}
		w.call(nd, func(out *Output) { nd.membership.HandleHeartbeat(w.now, from.self, out) })
	}
}

func (w *simulation) resume(nd *node) {
	nd.suspended = false
	inbox := nd.inbox
	nd.inbox = nil
	for _, info := range inbox {
		w.call(nd, func(out *Output) { nd.membership.HandleHeartbeat(w.now, info, out) })
	}
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, nd := range w.nodes {
			if nd.crashed || nd.suspended || nd.membership.Next().After(w.now) {
				continue
			}
			w.call(nd, func(out *Output) { nd.membership.Tick(w.now, out) })
			if next := nd.membership.Next(); !next.IsZero() && !next.After(w.now) {
				w.problems = append(w.problems, nd.self.ID+" asks for Tick repeatedly without progress")
			}
		}
	}
}

// check compares every instance's view with the instances that are running and
// reachable, and returns all problems found so far.
func (w *simulation) check() []string {
	for _, nd := range w.nodes {
		if nd.crashed || nd.suspended {
			continue
		}
		var want, got []string
		for _, peer := range w.nodes {
			sameCentre := peer.self.DataCentre == nd.self.DataCentre
			reachable := sameCentre || !w.partitioned[peer.self.DataCentre] && !w.partitioned[nd.self.DataCentre]
			if !peer.crashed && !peer.suspended && reachable {
				want = append(want, fmt.Sprintf("%v draining %v", peer.self.Ref, peer.self.Draining))
			}
		}
		for _, info := range nd.membership.Live() {
			got = append(got, fmt.Sprintf("%v draining %v", info.Ref, info.Draining))
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			w.problems = append(w.problems, fmt.Sprintf("%s sees %v, there are %v", nd.self.ID, got, want))
		}
	}
	return w.problems
}

// TestViewsConverge applies crashes, restarts, suspensions, network partitions
// and lagging lists in random order. After a quiet period, every view must
// match the instances that are running.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), []int{3, 2})
		incarnation := uint64(1)
		for range rapid.IntRange(0, 25).Draw(t, "steps") {
			nd := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				nd.crashed = true
			case 1:
				incarnation++
				w.start(nd, incarnation)
			case 2:
				// A clock set back makes the new incarnation the lower one.
				w.start(nd, uint64(rapid.IntRange(100, 200).Draw(t, "incarnation")))
			case 3:
				nd.suspended = !nd.crashed
			case 4:
				if nd.suspended {
					w.resume(nd)
				}
			case 5:
				w.partitioned[nd.self.DataCentre] = !w.partitioned[nd.self.DataCentre]
			case 6:
				w.publish()
			}
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		for _, nd := range w.nodes {
			if nd.suspended {
				w.resume(nd)
			}
		}
		w.publish()
		w.run(30 * time.Second)
		if problems := w.check(); len(problems) > 0 {
			t.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

func TestMembership(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *simulation)
	}{
		{"discovered", func(*simulation) {}},
		{"crashed", func(w *simulation) { w.nodes[1].crashed = true }},
		{"restarted", func(w *simulation) { w.start(w.nodes[1], 2) }},
		{"suspended 30 s and resumed", func(w *simulation) {
			w.nodes[1].suspended = true
			w.run(30 * time.Second)
			w.resume(w.nodes[1])
		}},
		{"unlisted but running", func(w *simulation) {
			w.list = w.list[1:]
			for _, nd := range w.nodes {
				w.call(nd, func(out *Output) { nd.membership.HandleList(w.now, w.list, out) })
			}
			w.run(3 * time.Minute)
		}},
		{"listed but crashed", func(w *simulation) {
			w.nodes[1].crashed = true
			for _, nd := range w.nodes {
				w.call(nd, func(out *Output) { nd.membership.HandleList(w.now, w.list, out) })
			}
		}},
		{"listed twice", func(w *simulation) {
			wrong := w.list[1]
			wrong.Address = netip.MustParseAddrPort("10.9.9.9:7000")
			w.list = append(w.list, wrong)
			w.start(w.nodes[0], 2)
		}},
		{"an empty list", func(w *simulation) {
			for _, nd := range w.nodes {
				w.call(nd, func(out *Output) { nd.membership.HandleList(w.now, nil, out) })
			}
		}},
		{"draining", func(w *simulation) {
			w.nodes[1].self.Draining = true
			w.call(w.nodes[1], func(out *Output) { w.nodes[1].membership.SetDraining(w.now, out) })
		}},
		{"a late message of an earlier incarnation", func(w *simulation) {
			old := w.nodes[1].self
			w.start(w.nodes[1], 2)
			w.run(time.Second)
			w.call(w.nodes[0], func(out *Output) { w.nodes[0].membership.HandleHeartbeat(w.now, old, out) })
			if ref, ok := w.nodes[0].membership.Incarnation(old.ID); !ok || ref.Incarnation != 2 {
				w.problems = append(w.problems, "the earlier incarnation displaced the later one")
			}
		}},
		{"restarted without a list", func(w *simulation) {
			w.list = nil
			w.start(w.nodes[1], 2)
		}},
		{"a stream failed", func(w *simulation) {
			w.call(w.nodes[0], func(out *Output) { w.nodes[0].membership.HandleStreamLost(w.now, w.nodes[1].self.Ref, out) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1, []int{2, 2})
			w.run(10 * time.Second)
			tt.do(w)
			w.run(20 * time.Second)
			is.Equal(w.check(), nil)
		})
	}
}

// TestCrashIsDetectedInTime checks that the crash of an instance of the same
// data centre is detected within 2 s from its silence alone.
func TestCrashIsDetectedInTime(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		w := newSimulation(seed, []int{8})
		w.run(10 * time.Second)
		w.nodes[3].crashed = true
		w.run(2 * time.Second)
		is.Equal(w.check(), nil)
	}
}

// TestHeartbeatRate measures the heartbeats that an idle instance sends.
func TestHeartbeatRate(t *testing.T) {
	tests := []struct {
		name      string
		perCentre []int
		most      float64
	}{
		{"7 instances, 3 data centres", []int{2, 2, 3}, 8},
		{"20 instances, 5 data centres", []int{4, 4, 4, 4, 4}, 18},
		{"40 instances, 5 data centres", []int{8, 8, 8, 8, 8}, 24},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1, tt.perCentre)
			w.run(10 * time.Second)
			w.sent = 0
			w.run(time.Minute)
			rate := float64(w.sent) / 60 / float64(len(w.nodes))
			t.Logf("%.1f heartbeats a second from each instance", rate)
			is.True(rate <= tt.most)
			is.Equal(w.check(), nil)
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{7, 20, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newSimulation(1, []int{n})
			w.run(time.Second)
			m := w.nodes[0].membership
			now := w.now
			var out Output
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				m.HandleMessage(now, w.nodes[1].self.Ref, &out)
				m.Tick(now, &out)
				m.Next()
				out = Output{Lost: out.Lost[:0], Heartbeats: out.Heartbeats[:0], Events: out.Events[:0]}
			}
		})
	}
}
