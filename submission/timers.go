package submission

import (
	"container/heap"
	"time"
)

// The kinds of timers. A timer that no longer applies does nothing.
const (
	claimTimeoutTimer timerKind = iota
	storeTimeoutTimer
	deadlineTimer
	retentionTimer
	tombstoneTimer
	startWindowTimer
	forwardTimer
	storeRetryTimer
)

type (
	timerKind uint8

	// timer is one scheduled event.
	timer struct {
		at time.Time
		// id names a submission. number names a forward or a claim.
		id     string
		number uint64
		kind   timerKind
	}

	// timers is a heap ordered by time. Timers due at the same time fire in the
	// order of their other fields, so that runs are reproducible.
	timers []timer
)

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	a, b := &t[i], &t[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	if a.kind != b.kind {
		return a.kind < b.kind
	}
	if a.number != b.number {
		return a.number < b.number
	}
	return a.id < b.id
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

func (t *timers) add(x timer) { heap.Push(t, x) }

// popDue removes and returns the first timer that is due, if any.
func (t *timers) popDue(now time.Time) (timer, bool) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// next returns the time of the first timer; zero if there is none.
func (t timers) next() time.Time {
	if len(t) == 0 {
		return time.Time{}
	}
	return t[0].at
}
