package dispatch

import (
	"time"
)

// dataCentre is the size of a simulated data centre.
type dataCentre struct {
	name      string
	endpoints int
	instances int
}

var (
	// dataCentre13 is the size of the data centres of the user Voltmesh,
	// dataCentre17 that of the user Haskell Tibbetts, and dataCentre114 the size
	// expected in two years.
	dataCentre13  = dataCentre{name: "13 endpoints, 2 instances", endpoints: 13, instances: 2}
	dataCentre17  = dataCentre{name: "17 endpoints, 2 instances", endpoints: 17, instances: 2}
	dataCentre114 = dataCentre{name: "114 endpoints, 8 instances", endpoints: 114, instances: 8}

	// seeds were not selected by the results of these tests.
	seeds = []uint64{101, 202, 303}
)

// policy is a way in which instances share the endpoints.
type policy struct {
	name string
	add  func(s *simulation, instances int)
}

var (
	singleQueue = policy{"one queue that sees everything", func(s *simulation, _ int) { s.addSchedulers(1, Settings{}, nil) }}
	slotLending = policy{"holders that lend slots", func(s *simulation, n int) { s.addSchedulers(n, Settings{}, nil) }}
	evenSplit   = policy{"even split", func(s *simulation, n int) {
		for _, sched := range s.addSchedulers(n, Settings{}, nil) {
			sched.peers = nil
		}
	}}
	idleSlotLending = policy{"even split, idle slots lent", func(s *simulation, n int) {
		for _, sched := range s.addSchedulers(n, Settings{}, nil) {
			sched.lendsIdleOnly = true
		}
	}}
	classedPowerOfTwoPolicy = policy{"power of two with classes", func(s *simulation, n int) { s.addClassedPowerOfTwo(n, 2) }}
	roundRobinPolicy        = policy{"round robin", func(s *simulation, n int) { s.addRoundRobin(n) }}
	powerOfTwoPolicy        = policy{"power of two, naive retry", func(s *simulation, n int) { s.addPowerOfTwo(n) }}
)

// figures are the combined results of runs with several seeds.
type figures struct {
	simResult
	counters Counters
	length   time.Duration
}

// runKey identifies a set of runs of the usual mix.
type runKey struct {
	policy     string
	dataCentre dataCentre
	load       float64
	length     time.Duration
	seeds      int
}

// measuredRuns caches the results that several tests use.
var measuredRuns = map[runKey]*figures{}

// measureUsual runs the usual mix with the first n seeds and caches the result.
func measureUsual(p policy, dc dataCentre, load float64, length time.Duration, n int) *figures {
	key := runKey{policy: p.name, dataCentre: dc, load: load, length: length, seeds: n}
	if measuredRuns[key] == nil {
		measuredRuns[key] = measure(p, dc, usualMix(load), length, seeds[:n]...)
	}
	return measuredRuns[key]
}

// measure runs the mix once for each seed.
func measure(p policy, dc dataCentre, mix []arrivals, length time.Duration, seeds ...uint64) *figures {
	var f figures
	for _, seed := range seeds {
		s := newSimulation(seed, dc.endpoints)
		p.add(s, dc.instances)
		s.runMix(mix, length)
		f.add(s)
		f.length += length + warmUp
	}
	return &f
}

func (f *figures) add(s *simulation) {
	r := &s.result
	if f.ratios == nil {
		f.ratios = make([][]float64, len(simClasses))
		f.withinTarget = make([]int, len(simClasses))
	}
	for i := range simClasses {
		f.ratios[i] = append(f.ratios[i], r.ratios[i]...)
		f.withinTarget[i] += r.withinTarget[i]
	}
	f.starts += r.starts
	f.refusedStarts += r.refusedStarts
	f.messages += r.messages
	f.bytes += r.bytes
	for _, n := range s.nodes {
		if sn, ok := n.(*schedulerNode); ok {
			f.counters.add(sn.Counters())
		}
	}
}

func (c *Counters) add(o Counters) {
	c.Starts += o.Starts
	c.Refusals += o.Refusals
	c.SlotsBorrowed += o.SlotsBorrowed
	c.SlotsUnused += o.SlotsUnused
	c.Transferred += o.Transferred
	c.Wants += o.Wants
	c.Unanswered += o.Unanswered
}

// perThousand returns n per 1,000 tasks that endpoints accepted.
func (f *figures) perThousand(n int) float64 {
	return 1000 * float64(n) / float64(f.starts-f.refusedStarts)
}

// wastedMessages returns the refusals, and the borrowed slots that were returned
// without a start, per 1,000 tasks.
func (f *figures) wastedMessages() float64 {
	return f.perThousand(f.refusedStarts + int(f.counters.SlotsUnused))
}

// allWastedMessages also counts slots that were transferred without a start, and
// Wants that were withdrawn before any slot came.
func (f *figures) allWastedMessages() float64 {
	return f.perThousand(f.refusedStarts + int(f.counters.SlotsUnused+f.counters.Transferred+f.counters.Unanswered))
}
