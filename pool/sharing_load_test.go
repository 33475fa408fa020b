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

// maxIdleShare is the share of the slot time that may be idle while tasks wait: two
// round trips of 2 ms after each run, which takes 158 ms on average. One is for the
// end and the next start, which one queue needs too, and one for an offer.
const maxIdleShare = 0.025

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

// comparison compares the jobs within their goal with those of one queue that sees
// everything on the same load.
type comparison struct {
	inGoal, reference, submitted                   float64
	urgentInGoal, urgentReference, urgentSubmitted float64
}

// add ends the load of a simulation and adds its results.
func (c *comparison) add(sim *simulation, tallies map[string]*tally) {
	sim.advance(4 * time.Second)
	logTallies(sim.t, tallies)
	reference := sim.reference.inGoal(sim.slots())
	for _, k := range mix {
		y := tallies[k.queue.Name]
		expected := reference[k.queue.Name] * float64(y.submitted)
		c.inGoal += float64(y.inGoal)
		c.reference += expected
		c.submitted += float64(y.submitted)
		if k.queue == urgent {
			c.urgentInGoal += float64(y.inGoal)
			c.urgentReference += expected
			c.urgentSubmitted += float64(y.submitted)
		}
	}
}

// check checks the share of the jobs within their goal, for the urgent ones and for
// all.
func (c *comparison) check(t testing.TB) {
	t.Helper()
	t.Logf("%.3f of all and %.3f of the urgent jobs are within their goal, %.3f and %.3f with one queue",
		c.inGoal/c.submitted, c.urgentInGoal/c.urgentSubmitted, c.reference/c.submitted, c.urgentReference/c.urgentSubmitted)
	if c.urgentInGoal < c.urgentReference-maxLossOfSharing*c.urgentSubmitted || c.inGoal < c.reference-maxLossOfSharing*c.submitted {
		t.Errorf("more than %.2f of the jobs miss their goal that one queue would meet", maxLossOfSharing)
	}
}

// checkAgainstReference ends the load and compares it with one queue.
func (sim *simulation) checkAgainstReference(tallies map[string]*tally) {
	sim.t.Helper()
	var c comparison
	c.add(sim, tallies)
	c.check(sim.t)
}

// TestWavesOutOfPhase answers demand that moves between four data centres: each has
// nearly twice its mean load while the opposite one has nearly none.
func TestWavesOutOfPhase(t *testing.T) {
	t.Parallel()
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

// busySlots are installations whose slots are all busy, with the number of loads
// that are played.
var busySlots = []struct {
	instances int
	cores     float64
	seeds     uint64
	duration  time.Duration
}{{7, 1, 3, 2 * time.Second}, {30, 1, 3, 2 * time.Second}, {30, 0.144, 3, 2 * time.Second}, {150, 1, 1, time.Second}}

// checkBusySlots checks the load on the installations of busySlots.
func checkBusySlots(t *testing.T, load float64) {
	for _, tt := range busySlots {
		t.Run(fmt.Sprintf("%d instances of %.3f cores", tt.instances, tt.cores), func(t *testing.T) {
			var sum comparison
			for seed := range tt.seeds {
				sim := newFleetOfSize(t, seed+1, 4, tt.instances, 8*tt.instances, tt.cores)
				sim.advance(2500 * time.Millisecond)
				idle := sim.measureIdle(tt.duration)
				messages, starts := sim.messages, sim.observer.starts
				tallies := sim.generateMixedLoad(tt.duration, load)
				sim.advance(tt.duration)
				t.Logf("%.2f %% of the slot time is idle while tasks wait; %.1f messages per task", 100*idle.share(), float64(sim.messages-messages)/float64(sim.observer.starts-starts))
				sum.add(sim, tallies)
				if idle.share() > maxIdleShare {
					t.Errorf("%.2f %% of the slot time is idle while tasks wait", 100*idle.share())
				}
			}
			sum.check(t)
		})
	}
}

// TestAllSlotsBusy answers demand that keeps all slots busy, in small and large
// installations.
func TestAllSlotsBusy(t *testing.T) { checkBusySlots(t, 1) }

// TestMoreThanAllSlots answers demand a fifth above what all slots can serve.
func TestMoreThanAllSlots(t *testing.T) { checkBusySlots(t, 1.2) }

// TestBurstAtOneInstance answers callers that all ask one instance at once: a
// quarter of all slots' work for 200 ms arrives there within 50 ms while
// nine tenths of all slots are busy.
func TestBurstAtOneInstance(t *testing.T) {
	t.Parallel()
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
