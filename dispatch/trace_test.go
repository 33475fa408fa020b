package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// inversions are the starts of a task while more urgent ones waited at
// another instance, beyond those for which a slot was on its way.
type inversions struct {
	starts, inverted int
	oldest           time.Duration
	// onTheWay counts slots in messages to each instance.
	onTheWay map[string]int
}

// watch compares each start with what waits at the other instances.
func (v *inversions) watch(s *simulation, all []*Scheduler) {
	v.onTheWay = map[string]int{}
	s.onStart = func(n int, _ Start, j *simJob) {
		v.starts++
		for i, other := range all {
			if i != n {
				v.compare(s.now, other, j.class)
			}
		}
	}
	s.onMessage = func(m message.Message, delivered bool) {
		slots := slotsIn(m)
		if delivered {
			slots = -slots
		}
		v.onTheWay[m.To.ID] += slots
	}
}

// slotsIn returns how many slots the message brings to its receiver.
func slotsIn(m message.Message) int {
	var leases []message.Lease
	switch b := m.Body.(type) {
	case message.Grant:
		leases = b.Leases
	case message.Return:
		leases = b.Leases
	}
	n := 0
	for _, l := range leases {
		if l.To == (instance.Ref{}) {
			n += l.Slots
		}
	}
	return n
}

// compare notes if more urgent tasks than those that will get the slots on
// their way wait at the other instance. Their age is how long none of them has
// started.
func (v *inversions) compare(now time.Time, other *Scheduler, class int) {
	for _, q := range other.queues[:class] {
		if q.tasks <= v.onTheWay[other.settings.Self.ID] {
			continue
		}
		v.inverted++
		v.oldest = max(v.oldest, now.Sub(q.lastProgress))
		return
	}
}

// oldestInversion runs the usual mix and returns what the trace shows.
func oldestInversion(z size, load float64) inversions {
	s := newSimulation(seeds[0], z.endpoints)
	all := s.addSchedulers(z.instances, Settings{}, nil)
	var v inversions
	v.watch(s, all)
	s.runMix(usualMix(load), 10*time.Second)
	return v
}

// Between two instances a lower task starts while a more urgent one waits only
// until the other instance has heard of it.
func TestLowerTasksYieldWithinOneHop(t *testing.T) {
	for _, z := range []size{voltmesh, haskell} {
		for _, load := range []float64{0.7, 0.9, 1.3} {
			t.Run(fmt.Sprintf("%s, load %v", z.name, load), func(t *testing.T) {
				is := is.New(t)
				v := oldestInversion(z, load)
				t.Logf("%d of %d starts, oldest %v", v.inverted, v.starts, v.oldest)
				is.True(v.starts > 0)
				is.True(v.oldest <= localHop) // age of a task that should have gone first
			})
		}
	}
}

// More instances tell some of their peers first, to save messages.
func TestLowerTasksYieldWithinOneHopOfMany(t *testing.T) {
	for _, z := range []size{{"17 endpoints, 3 instances", 17, 3}, inTwoYears} {
		t.Run(z.name, func(t *testing.T) {
			is := is.New(t)
			v := oldestInversion(z, 0.9)
			t.Logf("%d of %d starts, oldest %v", v.inverted, v.starts, v.oldest)
			is.True(v.oldest <= localHop) // age of a task that should have gone first
		})
	}
}
