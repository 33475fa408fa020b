package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/route"
	"github.com/lovagecrank/lovagecrank/task"
)

// newUnevenFleet returns a simulation of a fleet in four data centres in which
// every third endpoint is half as large again as the others, and tasks need half
// of a smaller endpoint on average, some more and some less.
func newUnevenFleet(t testing.TB, seed uint64, instances, endpoints int) *simulation {
	sim := newFleet(t, seed, 4, instances, endpoints)
	for i, e := range sim.endpoints {
		if i%3 == 2 {
			e.info.Size.Cores = 24
		}
	}
	sim.listEndpoints()
	sim.taskCores = func() float64 { return randomCores(sim.rng, 8) }
	sim.advance(2 * time.Second)
	return sim
}

func randomCores(rng *rand.Rand, mean float64) float64 {
	return min(max(mean+1.6*rng.NormFloat64(), 1), 12)
}

// greedyFits returns how many tasks of random sizes fit into the cores one after
// another, on average.
func greedyFits(rng *rand.Rand, mean, cores float64) float64 {
	const tries = 20_000
	n := 0
	for range tries {
		for left := cores - randomCores(rng, mean); left >= 0; left -= randomCores(rng, mean) {
			n++
		}
	}
	return float64(n) / tries
}

// TestFits compares the expected number of tasks that fit with random draws. A
// count of tasks of the mean size was off by up to a half and jumped when the mean
// passed a half of the endpoint.
func TestFits(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 1))
	for _, mean := range []float64{6, 7.9, 8, 8.1, 10} {
		for _, cores := range []float64{7, 16, 24} {
			t.Run(fmt.Sprintf("mean %v in %v", mean, cores), func(t *testing.T) {
				is := is.New(t)
				var s taskSizes
				for range 2000 {
					s.add(task.Needs{Cores: randomCores(rng, mean), MemoryBytes: 1 << 20}, 1)
				}
				got := s.fits(task.Needs{Cores: cores, MemoryBytes: 64 << 30}, 8)
				want := greedyFits(rng, mean, cores)
				t.Logf("%.2f tasks are expected to fit, %.2f do", got, want)
				is.True(math.Abs(got-want) < 0.15)
			})
		}
	}
}

// TestFitsLimits checks the limits other than the cores.
func TestFitsLimits(t *testing.T) {
	t.Parallel()
	room := task.Needs{Cores: 16, MemoryBytes: 4 << 20}
	tests := []struct {
		name  string
		tasks []task.Needs
		slots int
		want  float64
	}{
		{"no task known", nil, 8, 8},
		{"equal sizes", []task.Needs{needs(4), needs(4)}, 8, 4},
		{"slots", []task.Needs{needs(1), needs(1)}, 3, 3},
		{"no slot left", []task.Needs{needs(1)}, 0, 0},
		{"more runs than slots", []task.Needs{needs(1)}, -1, 0},
		{"memory", []task.Needs{{Cores: 1, MemoryBytes: 2 << 20}}, 8, 2},
		{"too large", []task.Needs{needs(17)}, 8, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s taskSizes
			for _, n := range tt.tasks {
				s.add(n, 1)
			}
			is.Equal(s.fits(room, tt.slots), tt.want)
		})
	}
}

// TestSlotsOfUnevenSizes checks that all instances count about the same slots
// while their averages of the tasks' sizes differ by the tasks that each has seen.
func TestSlotsOfUnevenSizes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newUnevenFleet(t, 1, 16, 96)
	sim.generateMixedLoad(8*time.Second, 0.8)
	sim.advance(4 * time.Second) // until all instances have seen many tasks
	low, high := math.MaxInt, 0
	for range 40 {
		sim.advance(100 * time.Millisecond)
		for _, n := range sim.instances {
			slots := n.machine.listedSlots("s")
			low, high = min(low, slots), max(high, slots)
		}
	}
	t.Logf("%d to %d slots", low, high)
	is.True(float64(high) <= 1.2*float64(low))
}

// TestLoadOfUnevenSizes plays the users' mix with tasks of uneven sizes at nine
// tenths of what the endpoints are expected to run. At this load no job has to be
// refused (2 % of each queue are allowed), and urgent jobs meet their goals.
func TestLoadOfUnevenSizes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newUnevenFleet(t, 1, 16, 96)
	tallies := sim.generateMixedLoad(10*time.Second, 0.83)
	sim.advance(10 * time.Second)
	sim.checkIdle()
	logTallies(t, tallies)
	for _, y := range tallies {
		_, refused := y.shares()
		is.True(refused <= 0.02)
	}
	share, _ := tallies["urgent"].shares()
	is.True(share >= 0.99)
}

// fillEndpoints starts a run of that size on each of the first endpoints.
func (sim *simulation) fillEndpoints(is *is.I, at int, cores ...float64) {
	for _, c := range cores {
		s := step(1, 2*time.Second)
		s.Needs = needs(c)
		sim.submit(at, urgent, 5*time.Second, s)
		sim.advance(10 * time.Millisecond)
	}
	running := 0
	for _, e := range sim.endpoints {
		running += len(e.runs)
	}
	is.Equal(running, len(cores))
}

// TestLargeTaskBlocksNoSmallerOne checks that a task that fits nowhere leaves the
// room that is too small for it to smaller tasks, here and at a peer. Before, all
// slots of the instance stayed idle, and offers had to fit the largest waiting
// task.
func TestLargeTaskBlocksNoSmallerOne(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, instances, 2)
			sim.fillEndpoints(is, 0, 9, 9)
			large, small := step(1, 100*time.Millisecond), step(2, 100*time.Millisecond)
			large.Needs, small.Needs = needs(12), needs(6)
			patient := &route.Queue{Name: "patient", Service: "s", Target: time.Second}
			first := sim.submit(0, patient, 5*time.Second, large)
			second := sim.submit(0, patient, 2*time.Second, small)
			sim.advance(150 * time.Millisecond)
			is.Equal(len(second.answers), 1)
			is.True(second.answers[0] == nil)
			is.Equal(len(first.answers), 0)
		})
	}
}

// TestTightFit checks that a task goes where it leaves the most room for others.
func TestTightFit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 2)
	sim.taskCores = func() float64 { return randomCores(sim.rng, 8) }
	for range 40 {
		sim.instances[0].machine.countSize("s", needs(sim.taskCores()), 1)
	}
	sim.fillEndpoints(is, 0, 9)
	s := step(1, time.Second)
	s.Needs = needs(6.5)
	sim.submit(0, urgent, 5*time.Second, s)
	sim.advance(10 * time.Millisecond)
	for _, e := range sim.endpoints {
		is.True(len(e.runs) == 0 || len(e.runs) == 2)
	}
}
