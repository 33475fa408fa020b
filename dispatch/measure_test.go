package dispatch

import (
	"time"
)

// size is a data centre to measure.
type size struct {
	name      string
	endpoints int
	instances int
}

var (
	voltmesh   = size{name: "13 endpoints, 2 instances", endpoints: 13, instances: 2}
	haskell    = size{name: "17 endpoints, 2 instances", endpoints: 17, instances: 2}
	inTwoYears = size{name: "114 endpoints, 8 instances", endpoints: 114, instances: 8}

	// seeds were chosen before the first run of these tests.
	seeds = []uint64{101, 202, 303}
)

// way is one way to share the endpoints.
type way struct {
	name string
	add  func(s *simulation, instances int)
}

var (
	oneQueue  = way{"one queue that sees everything", func(s *simulation, _ int) { s.addSchedulers(1, Settings{}, nil) }}
	holders   = way{"holders that lend slots", func(s *simulation, n int) { s.addSchedulers(n, Settings{}, nil) }}
	evenSplit = way{"even split", func(s *simulation, n int) {
		for _, sched := range s.addSchedulers(n, Settings{}, nil) {
			sched.peers = nil
		}
	}}
	idleLent = way{"even split, idle slots lent", func(s *simulation, n int) {
		for _, sched := range s.addSchedulers(n, Settings{}, nil) {
			sched.lendsIdleOnly = true
		}
	}}
	choices     = way{"power of two with classes", func(s *simulation, n int) { s.addChoices(n, 2) }}
	roundRobins = way{"round robin", func(s *simulation, n int) { s.addRoundRobin(n) }}
	powersOfTwo = way{"power of two, naive retry", func(s *simulation, n int) { s.addPowerOfTwo(n) }}
)

// figures are the results of runs under several seeds together.
type figures struct {
	simResult
	counters Counters
	length   time.Duration
}

// usual is a run of the usual mix.
type usual struct {
	way    string
	size   size
	load   float64
	length time.Duration
	seeds  int
}

// measured keeps runs that several tests look at.
var measured = map[usual]*figures{}

// measureUsual runs the usual mix under the first n seeds, once in a process.
func measureUsual(w way, z size, load float64, length time.Duration, n int) *figures {
	key := usual{way: w.name, size: z, load: load, length: length, seeds: n}
	if measured[key] == nil {
		measured[key] = measure(w, z, usualMix(load), length, seeds[:n]...)
	}
	return measured[key]
}

// measure runs the mix once for each seed.
func measure(w way, z size, mix []arrivals, length time.Duration, seeds ...uint64) *figures {
	var f figures
	for _, seed := range seeds {
		s := newSimulation(seed, z.endpoints)
		w.add(s, z.instances)
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
		f.within = make([]int, len(simClasses))
	}
	for i := range simClasses {
		f.ratios[i] = append(f.ratios[i], r.ratios[i]...)
		f.within[i] += r.within[i]
	}
	f.starts += r.starts
	f.refusals += r.refusals
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
	c.Grants += o.Grants
	c.Unused += o.Unused
	c.PassedOn += o.PassedOn
	c.Wants += o.Wants
	c.Unanswered += o.Unanswered
}

// perThousand returns n per 1,000 tasks that an endpoint took.
func (f *figures) perThousand(n int) float64 {
	return 1000 * float64(n) / float64(f.starts-f.refusals)
}

// wasted returns the refusals, and the borrowed slots that went back without
// a start, per 1,000 tasks.
func (f *figures) wasted() float64 {
	return f.perThousand(f.refusals + int(f.counters.Unused))
}

// wastedStrictly counts also slots that were passed on without a start, and
// messages that told of waiting tasks and brought no slot.
func (f *figures) wastedStrictly() float64 {
	return f.perThousand(f.refusals + int(f.counters.Unused+f.counters.PassedOn+f.counters.Unanswered))
}
