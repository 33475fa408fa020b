package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/capacity"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// minCapacityShare is the share of all slots that more urgent jobs are always
	// assumed to leave, so that a short peak of theirs refuses no job.
	minCapacityShare = 0.1
	// loadErrorMargin is the assumed relative error of the known load.
	// waitStdDevs is by how many standard deviations the wait of the job's last task
	// may exceed its mean while the job is still on time.
	loadErrorMargin = 0.1
	waitStdDevs     = 2
)

type (
	// Rank is the place of a job in the order in which jobs are served.
	Rank struct {
		// Late means that the job is served after all that are not.
		Late bool
		// Priority is the priority of its queue; 0 is the most urgent.
		Priority int
	}

	// Load is the work that competes with a job.
	Load struct {
		// Slots and Free count the slots that are known, and those that are free.
		Slots, Free int
		// Tasks and Work are the number and total run time of the tasks that are
		// served before the job. Work includes the job itself.
		Tasks int
		Work  time.Duration
		// UrgentSlots is how many slots future more urgent jobs are expected to
		// occupy, and Arrivals how many all arriving work does, if known.
		UrgentSlots, Arrivals float64
		// Uncertainty is by how much Work may be wrong because of the age of the
		// views that it comes from.
		Uncertainty time.Duration
	}
)

// PrecededBy reports whether jobs of the other rank may be served before a job of
// this one.
func (r Rank) PrecededBy(o Rank) bool {
	if o.Late != r.Late {
		return r.Late
	}
	return o.Priority <= r.Priority
}

// String returns the load for a log line.
func (l Load) String() string {
	return fmt.Sprintf("places=%d free=%d ahead=%d work=%s urgent=%.0f", l.Slots, l.Free, l.Tasks, l.Work.Round(time.Millisecond), l.UrgentSlots)
}

// AddBacklog adds the tasks in a backlog that are served before a job of the rank.
func (l *Load) AddBacklog(backlog []message.WaitingTasks, r Rank) {
	for _, w := range backlog {
		if r.PrecededBy(Rank{w.Late, w.Priority}) {
			l.Tasks += w.Tasks
			l.Work += w.Work
		}
	}
}

// AddDrift adds the work that is expected to have arrived since views were made, less
// what has been done. mean is the mean run time of a task if none waits.
func (l *Load) AddDrift(d capacity.Drift, mean time.Duration) {
	l.Uncertainty = d.Uncertainty
	net := d.Arrived - d.Served
	if l.Tasks > 0 {
		mean = l.Work / time.Duration(l.Tasks)
	}
	if mean <= 0 || net < 0 && l.Tasks == 0 {
		return
	}
	l.Work = max(l.Work+net, 0)
	l.Tasks = max(l.Tasks+int(net/mean), 0)
}

// available returns how many slots more urgent jobs leave.
func (l Load) available() float64 {
	return max(float64(l.Slots)-l.UrgentSlots, minCapacityShare*float64(l.Slots))
}

// Wait returns an upper bound of the time until the last of a job's tasks starts: the
// work beyond the free slots, divided by the slots that more urgent jobs leave, times
// tailFactor.
func (l Load) Wait(tasks int) time.Duration {
	total := l.Tasks + tasks
	excess := total - l.Free
	if excess <= 0 || l.Slots == 0 {
		return 0
	}
	mean := l.Work / time.Duration(total)
	return time.Duration(tailFactor(excess) * float64(excess) * float64(mean) / l.available())
}

// tailFactor returns the upper bound of the wait for n runs to end, relative to the
// expected wait. The bound falls with n, since the relative spread of a sum falls with
// its number of terms.
func tailFactor(n int) float64 { return 1 + loadErrorMargin + waitStdDevs/math.Sqrt(float64(n)) }

// DecidingWait returns the wait by which a job is admitted or refused. Within the
// uncertainty of the load it depends on the job's ID. So of the jobs that arrive
// anywhere while the wait is near their bound, the share is admitted for which there
// is likely to be room, and neither all nor none.
func (l Load) DecidingWait(id string, tasks int) time.Duration {
	wait := l.Wait(tasks)
	if l.Uncertainty == 0 || wait == 0 {
		return wait
	}
	spread := float64(l.Uncertainty) / l.available()
	return max(wait+time.Duration((2*HashFraction(id)-1)*spread), 0)
}

// UrgentSlots returns how many slots the work of more urgent priorities keeps busy.
func UrgentSlots(rates []message.ArrivalRate, priority int) float64 {
	slots := 0.0
	for _, r := range rates {
		if r.Priority < priority {
			slots += r.Slots
		}
	}
	return slots
}

// AllSlots returns how many slots all arriving work keeps busy.
func AllSlots(rates []message.ArrivalRate) float64 { return UrgentSlots(rates, math.MaxInt) }

// SlotsAhead returns how many slots the arriving work keeps busy that is served
// before a job of the rank or beside it.
func SlotsAhead(rates []message.ArrivalRate, r Rank) float64 {
	slots := 0.0
	for _, a := range rates {
		if r.PrecededBy(Rank{Priority: a.Priority}) {
			slots += a.Slots
		}
	}
	return slots
}

// HashFraction maps a text to a fixed, evenly distributed number between zero and
// one, both excluded.
func HashFraction(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}
