package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/team"
)

func seeded(seed uint64) func(n int) int { return rand.New(rand.NewPCG(seed, 2)).IntN }

func setTarget(id string, ms int) Change {
	return Change{ID: id, SetClasses: []class.Class{{Name: "urgent", Target: time.Duration(ms) * time.Millisecond}}}
}

// TestNeverReverts applies concurrent operators, lost replies, outages, stale
// replicas, partitions and restarts in random order. The checks use only the
// table's history and the trackers' exported state.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation([]int{2, 2}, seeded(rapid.Uint64().Draw(t, "seed")))
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			nd := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "instance")]
			dc := nd.self.DataCentre
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				c := setTarget(fmt.Sprintf("c%d", i), 50+i)
				w.call(nd, func(out *Output) { nd.tracker.Change(w.now, c, out) })
			case 3:
				w.down = !w.down
			case 4:
				w.lossy = !w.lossy
			case 5:
				w.stale = !w.stale
			case 6:
				w.partitioned[dc] = !w.partitioned[dc]
			case 7:
				w.tableUnreachable[dc] = !w.tableUnreachable[dc]
			case 8:
				w.callTime = 5*time.Second + 5*time.Millisecond - w.callTime
			case 9:
				w.restart(nd)
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		w.down, w.lossy, w.stale = false, false, false
		w.callTime = 5 * time.Millisecond
		clear(w.partitioned)
		clear(w.tableUnreachable)
		w.run(40 * time.Second) // until pending changes are answered
		if problems := w.checkConverged(); len(problems) > 0 {
			t.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

// TestChanges checks the answers that an operator receives.
func TestChanges(t *testing.T) {
	base := Change{ID: "base", SetClasses: []class.Class{{Name: "urgent", Target: time.Second}}, SetTeams: []team.Team{{Name: "lab"}}}
	tests := []struct {
		name    string
		changes []Change
		// at holds the index of the instance that receives each change. All
		// changes are requested at the same time.
		at     []int
		before func(w *simulation)
		want   string
		detail string
	}{
		{"set", []Change{setTarget("a", 20)}, []int{0}, nil, "", ""},
		{"twice under one id", []Change{setTarget("a", 20), setTarget("a", 20)}, []int{0, 1}, nil, "", ""},
		{"concurrent operators", []Change{setTarget("a", 20), setTarget("b", 30)}, []int{0, 1}, nil, "conflict", "class urgent set"},
		{"an old base", []Change{{ID: "a", Base: 7, DeleteTeams: []string{"lab"}}}, []int{0}, nil, "conflict", "version 1"},
		{"delete", []Change{{ID: "a", DeleteClasses: []string{"urgent"}, DeleteTeams: []string{"lab"}}}, []int{0}, nil, "", ""},
		{"delete what does not exist", []Change{{ID: "a", DeleteClasses: []string{"x"}, DeleteTeams: []string{"y"}}}, []int{0}, nil, "bad_request", `team "y" does not exist`},
		{"empty", []Change{{ID: "a"}}, []int{0}, nil, "bad_request", "empty"},
		{"store down", []Change{setTarget("a", 20)}, []int{0}, func(w *simulation) { w.down = true }, "store_unavailable", "not changed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation([]int{2}, seeded(1))
			w.run(time.Second)
			w.call(w.nodes[0], func(out *Output) { w.nodes[0].tracker.Change(w.now, base, out) })
			w.run(time.Second)
			is.Equal(w.answers["base"], ChangeResult{ChangeID: "base", Version: 1})
			if tt.before != nil {
				tt.before(w)
			}
			w.callTime = 20 * time.Millisecond
			faults := []*fault.Error{}
			for i, c := range tt.changes {
				nd := w.nodes[tt.at[i]]
				delete(w.answers, c.ID)
				w.call(nd, func(out *Output) { nd.tracker.Change(w.now, c, out) })
			}
			w.run(40 * time.Second)
			for _, c := range tt.changes {
				if f := w.answers[c.ID].Fault; f != nil {
					faults = append(faults, f)
				}
			}
			if tt.want == "" {
				is.Equal(len(faults), 0)
				is.Equal(w.nodes[1].tracker.Current().Version, uint64(2)) // took effect once
				return
			}
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Kind.String(), tt.want)
			is.True(strings.Contains(faults[0].Detail, tt.detail))
		})
	}
}

// TestLostAnswersAreReadBack loses half of the table's replies after the call
// has taken effect. The change must be answered and take effect at most once.
func TestLostAnswersAreReadBack(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := newSimulation([]int{1}, seeded(seed))
			w.lossy = true
			nd := w.nodes[0]
			w.call(nd, func(out *Output) { nd.tracker.Change(w.now, setTarget("a", 20), out) })
			w.run(40 * time.Second)
			a, ok := w.answers["a"]
			is.True(ok)
			is.True(a.Fault == nil || a.Fault.Kind == fault.ChangeUnknown || len(w.history) == 1)
			is.True(len(w.history) <= 2)
		})
	}
}

// TestRestartWithoutStore checks that a new instance asks its peers before it
// serves, and does not serve while it knows that its version is old.
func TestRestartWithoutStore(t *testing.T) {
	tests := []struct {
		name   string
		faults func(w *simulation)
		ready  bool
	}{
		{"store down, peers up", func(w *simulation) { w.down = true }, true},
		{"stale replica, peers up", func(w *simulation) { w.stale = true }, true},
		{"store down, no peers", func(w *simulation) { w.down = true; w.nodes = w.nodes[:1] }, false},
		{"store up, no peers", func(w *simulation) { w.nodes = w.nodes[:1] }, true},
	}
	for _, tt := range tests {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				is := is.New(t)
				w := newSimulation([]int{3}, seeded(seed))
				w.run(time.Second)
				for v := range 3 {
					nd := w.nodes[v]
					w.call(nd, func(out *Output) { nd.tracker.Change(w.now, setTarget(fmt.Sprint(v), 20+v), out) })
					w.run(time.Second)
				}
				tt.faults(w)
				nd := w.nodes[0]
				w.restart(nd)
				is.True(!nd.tracker.Ready())
				for range 3000 {
					w.run(time.Millisecond)
					is.True(!nd.tracker.Ready() || nd.tracker.Current().Version == 3)
				}
				is.Equal(nd.tracker.Ready(), tt.ready)
			})
		}
	}
}

// TestInForceEverywhere measures the time from the operator's answer until a
// change is in force at every instance, with up to 40 instances and with
// faults. 40 instances is the size expected in two years.
func TestInForceEverywhere(t *testing.T) {
	tests := []struct {
		name      string
		perCentre []int
		faults    func(w *simulation)
		bound     time.Duration
		changes   int
	}{
		{"no faults, 7 instances", []int{2, 2, 3}, func(*simulation) {}, 2 * time.Second, 60},
		{"no faults, 40 instances", []int{8, 8, 8, 8, 8}, func(*simulation) {}, 2 * time.Second, 6},
		{"store slow", []int{8, 8, 8, 8, 8}, func(w *simulation) { w.callTime = 5 * time.Second }, 8 * time.Second, 6},
		{"a data centre partitioned", []int{8, 8}, func(w *simulation) { w.partitioned["dc1"] = true }, 8 * time.Second, 30},
		{"partitioned and store slow", []int{2, 2}, func(w *simulation) { w.partitioned["dc1"] = true; w.callTime = 5 * time.Second }, 8 * time.Second, 60},
		{"store unreachable from one data centre", []int{2, 2}, func(w *simulation) { w.tableUnreachable["dc1"] = true }, 2 * time.Second, 60},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(tt.perCentre, seeded(8))
			w.run(3 * time.Second)
			tt.faults(w)
			w.run(10 * time.Second)
			var delays []time.Duration
			for v := 1; v <= tt.changes; v++ {
				nd := w.nodes[0]
				id := fmt.Sprint(v)
				w.call(nd, func(out *Output) { nd.tracker.Change(w.now, setTarget(id, 20+v), out) })
				for w.answers[id].Version == 0 {
					w.run(10 * time.Millisecond)
				}
				answeredAt := w.now
				w.run(9 * time.Second)
				for _, peer := range w.nodes {
					at, ok := peer.inForceAt[uint64(v)]
					if !ok {
						at = w.now
					}
					delays = append(delays, at.Sub(answeredAt))
				}
			}
			slices.Sort(delays)
			p99 := delays[len(delays)*99/100]
			t.Logf("p50 %s, p99 %s, max %s, documents sent per change %.1f", delays[len(delays)/2], p99, delays[len(delays)-1], float64(w.deliveries)/float64(tt.changes))
			is.True(p99 <= tt.bound)
			is.Equal(len(w.problems), 0)
		})
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	d := Document{
		Classes: []class.Class{{Name: "a b", Target: time.Second}, {Name: "c"}, {Name: "c", Target: time.Second}},
		Teams:   []team.Team{{Name: ""}, {Name: "t", ConcurrentTasks: -1, StartsPerSecond: -1}},
	}
	is.Equal(len(d.Faults()), 6)
}

func TestEncoding(t *testing.T) {
	is := is.New(t)
	d, faults := Document{}.Apply(Change{ID: "x", SetClasses: []class.Class{{Name: "u", Target: time.Second, DurableAnswers: true}}, SetTeams: []team.Team{{Name: "t", ConcurrentTasks: 3, StartsPerSecond: 1.5}}})
	is.Equal(len(faults), 0)
	b, err := d.Encode()
	is.NoErr(err)
	back, err := Decode(b)
	is.NoErr(err)
	is.Equal(back, d)
	var raw map[string]any
	is.NoErr(json.Unmarshal(b, &raw))
	for k := range raw {
		is.Equal(k, strings.ToLower(k))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":1,"change_id":"a","classes":[{"name":"u","target_ns":1000000}],"teams":[{"name":"t"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			return
		}
		if _, err := d.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkDocument measures the size of the whole document and of one team, in
// bytes.
func BenchmarkDocument(b *testing.B) {
	for _, teams := range []int{7, 70, 210} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			var d Document
			for i := range 32 {
				d, _ = d.Apply(setTarget(fmt.Sprintf("change-%032d", i), 100+i))
			}
			for i := range teams {
				d.Teams = append(d.Teams, team.Team{Name: fmt.Sprintf("team-%04d", i), ConcurrentTasks: 400, StartsPerSecond: 120})
			}
			var value []byte
			b.ReportAllocs()
			for b.Loop() {
				value, _ = d.Encode()
			}
			b.ReportMetric(float64(len(value)), "bytes/document")
			one, _ := json.Marshal(wireTeam(d.Teams[0]))
			b.ReportMetric(float64(len(one)), "bytes/team")
		})
	}
}
