package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// inversions counts priority inversions: starts of a task while more urgent
// tasks wait at another instance, not counting tasks for which a slot is in
// transit.
type inversions struct {
	starts, inverted int
	oldest           time.Duration
	// slotsInTransit counts the slots in undelivered messages by receiver.
	slotsInTransit map[string]int
}

// watch compares each start with the tasks waiting at the other instances.
func (v *inversions) watch(s *simulation, schedulers []*Scheduler) {
	v.slotsInTransit = map[string]int{}
	s.onStart = func(n int, _ Start, j *simJob) {
		v.starts++
		for i, other := range schedulers {
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
		v.slotsInTransit[m.To.ID] += slots
	}
}

// slotsIn returns the number of slots that the message gives to its receiver.
func slotsIn(m message.Message) int {
	var leases []message.SlotLease
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

// compare records an inversion if more tasks of a more urgent rank wait at
// the other instance than there are slots in transit to it. Its age is the time
// since the last progress of the queue.
func (v *inversions) compare(now time.Time, other *Scheduler, class int) {
	for _, q := range other.queues[:class] {
		if q.tasks <= v.slotsInTransit[other.settings.Self.ID] {
			continue
		}
		v.inverted++
		v.oldest = max(v.oldest, now.Sub(q.lastProgress))
		return
	}
}

// measureInversions runs the usual mix and returns its inversions.
func measureInversions(dc dataCentre, load float64) inversions {
	s := newSimulation(seeds[0], dc.endpoints)
	all := s.addSchedulers(dc.instances, Settings{}, nil)
	var v inversions
	v.watch(s, all)
	s.runMix(usualMix(load), 10*time.Second)
	return v
}

// With two instances, a less urgent task starts before a waiting more urgent one
// only until the other instance has received the demand for it.
func TestLowerTasksYieldWithinOneHop(t *testing.T) {
	for _, dc := range []dataCentre{dataCentre13, dataCentre17} {
		for _, load := range []float64{0.7, 0.9, 1.3} {
			t.Run(fmt.Sprintf("%s, load %v", dc.name, load), func(t *testing.T) {
				is := is.New(t)
				v := measureInversions(dc, load)
				t.Logf("%d of %d starts, oldest %v", v.inverted, v.starts, v.oldest)
				is.True(v.starts > 0)
				is.True(v.oldest <= localHop) // age of the oldest inversion
			})
		}
	}
}

// With more instances, a demand is first sent to some of the peers, to save
// messages.
func TestLowerTasksYieldWithinOneHopOfMany(t *testing.T) {
	for _, dc := range []dataCentre{{"17 endpoints, 3 instances", 17, 3}, dataCentre114} {
		t.Run(dc.name, func(t *testing.T) {
			is := is.New(t)
			v := measureInversions(dc, 0.9)
			t.Logf("%d of %d starts, oldest %v", v.inverted, v.starts, v.oldest)
			is.True(v.oldest <= localHop) // age of the oldest inversion
		})
	}
}
