package class

import (
	"cmp"
	"slices"
	"time"
)

// The measures against a running task of a less urgent class, mildest first.
const (
	// Hold lets the running task end by itself, but starts no further task of
	// its class.
	Hold Measure = iota
	// Throttle slows the task down.
	Throttle
	// Checkpoint saves the task's state and frees its slot. The worker resumes
	// the same start later.
	Checkpoint
	// Stop ends the task. It is answered as failed and never started again.
	Stop
)

// throttledShare is the part of a slot that a throttled task frees.
const throttledShare = 0.5

type (
	// Measure is the way in which a task is preempted.
	Measure uint8

	// Allowed is the set of measures that a task allows. Hold is always
	// allowed.
	Allowed struct {
		Throttle, Checkpoint, Stop bool
	}

	// Running is a running task that may be preempted. Key identifies it to
	// the caller.
	Running[Key any] struct {
		Key     Key
		Rank    Rank
		Allowed Allowed
		// Remaining is the expected remaining run time.
		Remaining time.Duration
		// Throttled reports whether the task is already throttled.
		Throttled bool
	}

	// Step is the measure to apply to one running task.
	Step[Key any] struct {
		Key     Key
		Measure Measure
	}

	// Preemption is a plan for preempting tasks of less urgent classes.
	Preemption[Key any] struct {
		// Below is the most urgent rank of which no task may be started now;
		// the same holds for all less urgent ranks.
		Below Rank
		// Steps are the measures for running tasks, least urgent task first.
		Steps []Step[Key]
		// Missing is the number of slots that are still missing after Steps.
		Missing float64
	}
)

// String returns the measure's name in logs.
func (m Measure) String() string {
	switch m {
	case Hold:
		return "hold"
	case Throttle:
		return "throttle"
	case Checkpoint:
		return "checkpoint"
	default:
		return "stop"
	}
}

// PlanPreemption returns a plan that frees that many slots for the rank within
// the given time by preempting less urgent tasks. It prefers Hold to Throttle,
// then Checkpoint, then Stop, as far as the tasks allow them. Within a measure it
// selects the least urgent task first, and among tasks of one rank the one with
// the longest remaining run time. Each task gets at most one step.
func PlanPreemption[Key any](rank Rank, slots float64, within time.Duration, running []Running[Key]) Preemption[Key] {
	p := Preemption[Key]{Below: rank + 1, Missing: slots}
	lower := preemptible(rank, running)
	measures := make([]Measure, len(lower))
	freed := make([]float64, len(lower))
	for i, r := range lower {
		if r.Remaining <= within && p.Missing > 0 {
			freed[i] = 1
			p.Missing--
		}
	}
	for m := Throttle; m <= Stop; m++ {
		for i, r := range lower {
			gain := r.frees(m) - freed[i]
			if p.Missing <= 0 || gain <= 0 {
				continue
			}
			measures[i] = m
			freed[i] += gain
			p.Missing -= gain
		}
	}
	for i, r := range lower {
		if measures[i] != Hold {
			p.Steps = append(p.Steps, Step[Key]{Key: r.Key, Measure: measures[i]})
		}
	}
	p.Missing = max(p.Missing, 0)
	return p
}

// preemptible returns the tasks that are less urgent than the rank, in the order
// in which they are preempted.
func preemptible[Key any](rank Rank, running []Running[Key]) []Running[Key] {
	lower := slices.DeleteFunc(slices.Clone(running), func(r Running[Key]) bool { return r.Rank <= rank })
	slices.SortStableFunc(lower, func(a, b Running[Key]) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(b.Remaining, a.Remaining))
	})
	return lower
}

// frees returns the fraction of a slot that the measure frees; zero if the task
// doesn't allow it.
func (r Running[Key]) frees(m Measure) float64 {
	switch {
	case !r.allows(m):
		return 0
	case m == Throttle:
		return throttledShare
	default:
		return 1
	}
}

func (r Running[Key]) allows(m Measure) bool {
	switch m {
	case Throttle:
		return r.Allowed.Throttle && !r.Throttled
	case Checkpoint:
		return r.Allowed.Checkpoint
	case Stop:
		return r.Allowed.Stop
	default:
		return true
	}
}
