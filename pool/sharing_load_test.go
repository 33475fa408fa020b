package pool

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// maxLossOfSharing is the share of the jobs that may miss their goal because no
// instance sees everything. The users let no deployment's worth fall by more than
// 0.03; a job within its goal is worth one.
const maxLossOfSharing = 0.03

// idleWhileWaiting counts slots that stand idle although as many tasks wait,
// wherever they are.
type idleWhileWaiting struct{ idle, slots int }

// measureIdle samples the instances each millisecond for the given time.
func (sim *simulation) measureIdle(d time.Duration) *idleWhileWaiting {
	w := &idleWhileWaiting{}
	for at := time.Duration(0); at < d; at += time.Millisecond {
		sim.after(at, func() {
			free, waiting := 0, 0
			for _, n := range sim.instances {
				free += n.machine.freeSlotCount(sim.now, "s")
				for _, j := range n.machine.queue {
					waiting += len(j.waiting)
				}
			}
			w.idle += min(free, waiting)
			w.slots += sim.slots()
		})
	}
	return w
}

func (w *idleWhileWaiting) share() float64 { return float64(w.idle) / float64(w.slots) }

// checkAgainstReference ends the load and checks that the share of the jobs within
// their goal is close to that of one queue which sees everything, for the urgent
// ones and for all.
func (sim *simulation) checkAgainstReference(tallies map[string]*tally) {
	sim.t.Helper()
	sim.advance(4 * time.Second)
	logTallies(sim.t, tallies)
	want := sim.reference.inGoal(sim.slots())
	inGoal, wanted, submitted := 0.0, 0.0, 0.0
	for _, k := range mix {
		y := tallies[k.queue.Name]
		share, _ := y.shares()
		sim.t.Logf("%s: %.3f in goal, %.3f of one queue", k.queue.Name, share, want[k.queue.Name])
		inGoal += float64(y.inGoal)
		wanted += want[k.queue.Name] * float64(y.submitted)
		submitted += float64(y.submitted)
		if k.queue == urgent && share < want[k.queue.Name]-maxLossOfSharing {
			sim.t.Errorf("%.3f of the urgent jobs are within their goal, %.3f with one queue", share, want[k.queue.Name])
		}
	}
	sim.t.Logf("all: %.3f in goal, %.3f of one queue", inGoal/submitted, wanted/submitted)
	if inGoal < wanted-maxLossOfSharing*submitted {
		sim.t.Errorf("%.3f of the jobs are within their goal, %.3f with one queue", inGoal/submitted, wanted/submitted)
	}
}

// TestWavesOutOfPhase answers demand that moves between four data centres: each has
// nearly twice its mean load while the opposite one has nearly none.
func TestWavesOutOfPhase(t *testing.T) {
	for _, tt := range []struct{ cores, load float64 }{{1, 0.95}, {1, 1.1}, {0.144, 1.1}} {
		t.Run(fmt.Sprintf("%.3f cores at %.2f", tt.cores, tt.load), func(t *testing.T) {
			const period = 2 * time.Second
			sim := newFleetOfSize(t, 1, 4, 28, 280, tt.cores)
			sim.advance(2 * time.Second)
			begin := sim.now
			tallies := sim.generateLoadAt(4*time.Second, tt.load, func() int {
				phase := 2 * math.Pi * float64(sim.now.Sub(begin)) / float64(period)
				for {
					i := sim.loadRNG.IntN(len(sim.instances))
					weight := 1 + 0.9*math.Sin(phase+float64(i%4)*math.Pi/2)
					if 2*sim.loadRNG.Float64() < weight {
						return i
					}
				}
			})
			idle := sim.measureIdle(4 * time.Second)
			sim.advance(4 * time.Second)
			t.Logf("%.2f %% of the slot time is idle while tasks wait", 100*idle.share())
			sim.checkAgainstReference(tallies)
		})
	}
}

// TestAllSlotsBusy answers demand at and above what all slots can serve, in small
// and large installations.
func TestAllSlotsBusy(t *testing.T) {
	for _, tt := range []struct {
		instances   int
		cores, load float64
	}{{7, 1, 1}, {7, 1, 1.2}, {30, 1, 1}, {30, 1, 1.2}, {30, 0.144, 1}, {30, 0.144, 1.2}, {150, 1, 1}, {150, 1, 1.2}} {
		t.Run(fmt.Sprintf("%d instances of %.3f cores at %.1f", tt.instances, tt.cores, tt.load), func(t *testing.T) {
			sim := newFleetOfSize(t, 1, 4, tt.instances, 8*tt.instances, tt.cores)
			sim.advance(2500 * time.Millisecond)
			idle := sim.measureIdle(2 * time.Second)
			tallies := sim.generateMixedLoad(2*time.Second, tt.load)
			sim.advance(2 * time.Second)
			t.Logf("%.2f %% of the slot time is idle while tasks wait", 100*idle.share())
			sim.checkAgainstReference(tallies)
		})
	}
}

// TestBurstAtOneInstance answers callers that all ask one instance at once: a
// quarter of all slots' work for 200 ms arrives there within 50 ms while
// nine tenths of all slots are busy.
func TestBurstAtOneInstance(t *testing.T) {
	for _, tt := range []struct {
		instances int
		cores     float64
	}{{7, 1}, {30, 1}, {30, 0.144}} {
		t.Run(fmt.Sprintf("%d instances of %.3f cores", tt.instances, tt.cores), func(t *testing.T) {
			sim := newFleetOfSize(t, 1, 4, tt.instances, 10*tt.instances, tt.cores)
			sim.advance(2 * time.Second)
			tallies := sim.generateMixedLoad(time.Second, 0.9)
			sim.advance(500 * time.Millisecond)
			jobs := sim.slots() / 4 / 2
			for i := range jobs {
				sim.after(time.Duration(i)*50*time.Millisecond/time.Duration(jobs), func() {
					c := sim.newJob(routine, 2500*time.Millisecond, step(2, 200*time.Millisecond))
					c.tally, c.runTime, c.goal = tallies[routine.Name], 200*time.Millisecond, sim.now.Add(routine.Goal(200*time.Millisecond))
					c.tally.submitted++
					sim.reference.add(sim.now, c)
					sim.sendJob(c, 0)
				})
			}
			sim.advance(time.Second)
			sim.checkAgainstReference(tallies)
		})
	}
}
