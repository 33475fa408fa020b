package class

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestPlanPreemption(t *testing.T) {
	all := Allowed{Throttle: true, Checkpoint: true, Stop: true}
	task := func(key string, rank Rank, remaining time.Duration, a Allowed) Running[string] {
		return Running[string]{Key: key, Rank: rank, Remaining: remaining, Allowed: a}
	}
	long := 10 * time.Second
	tests := []struct {
		name    string
		slots   float64
		running []Running[string]
		want    []Step[string]
		missing float64
	}{
		{"no slots are requested", 0, []Running[string]{task("a", 2, long, all)}, nil, 0},
		{"holding is enough", 1, []Running[string]{task("a", 2, time.Millisecond, all), task("b", 2, long, all)}, nil, 0},
		{"throttle two before any checkpoint", 1, []Running[string]{task("a", 1, long, all), task("b", 2, long, all), task("c", 2, 2*long, all)}, []Step[string]{{"c", Throttle}, {"b", Throttle}}, 0},
		{"checkpoint where throttling is not enough", 2, []Running[string]{task("a", 1, long, all), task("b", 2, long, all)}, []Step[string]{{"b", Checkpoint}, {"a", Checkpoint}}, 0},
		{"stop as the last resort", 1, []Running[string]{task("a", 2, long, Allowed{Stop: true}), task("b", 2, long, Allowed{Stop: true})}, []Step[string]{{"a", Stop}}, 0},
		{"checkpoint is preferred to stopping a less urgent task", 1, []Running[string]{task("a", 3, long, Allowed{Stop: true}), task("b", 2, long, Allowed{Checkpoint: true})}, []Step[string]{{"b", Checkpoint}}, 0},
		{"a payment allows no measure", 1, []Running[string]{task("a", 2, long, Allowed{})}, nil, 1},
		{"never the same class or a more urgent one", 1, []Running[string]{task("a", 0, long, all), task("b", 0, long, all)}, nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := PlanPreemption(Rank(0), tt.slots, time.Second, tt.running)
			is.Equal(got.Steps, tt.want)
			is.Equal(got.Missing, tt.missing)
			is.Equal(got.Below, Rank(1))
		})
	}
}

// TestPlanPreemptionProperties checks that each task gets at most one step, that
// its measure is allowed, and that no task is stopped and no slot is missing
// while another one could be checkpointed.
func TestPlanPreemptionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rank = Rank(1)
		n := rapid.IntRange(0, 30).Draw(t, "tasks")
		running := make([]Running[int], n)
		for i := range running {
			running[i] = Running[int]{
				Key:       i,
				Rank:      Rank(rapid.IntRange(0, 4).Draw(t, "rank")),
				Remaining: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
				Throttled: rapid.Bool().Draw(t, "throttled"),
				Allowed: Allowed{
					Throttle:   rapid.Bool().Draw(t, "throttle"),
					Checkpoint: rapid.Bool().Draw(t, "checkpoint"),
					Stop:       rapid.Bool().Draw(t, "stop"),
				},
			}
		}
		p := PlanPreemption(rank, float64(rapid.IntRange(0, 20).Draw(t, "slots")), time.Second, running)
		taken := map[int]Measure{}
		stops := false
		for _, s := range p.Steps {
			if _, twice := taken[s.Key]; twice || running[s.Key].Rank <= rank || !running[s.Key].allows(s.Measure) {
				t.Fatalf("step %v on %+v", s, running[s.Key])
			}
			taken[s.Key] = s.Measure
			stops = stops || s.Measure == Stop
		}
		for i, r := range running {
			spare := r.Rank > rank && taken[i] < Checkpoint && r.Allowed.Checkpoint && r.Remaining > time.Second
			if spare && (stops || p.Missing > 0) {
				t.Fatalf("task %d could be checkpointed: %+v, %+v", i, r, p)
			}
		}
	})
}
