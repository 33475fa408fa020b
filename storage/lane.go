package storage

import "time"

const (
	// laneBurst is how many calls may follow each other without a pause.
	laneBurst = 4
	// maxBatch is how many rows one call reads or writes.
	maxBatch = 256
)

type (
	// lane holds the calls of one sort: rows wait while calls are in flight
	// or the budget is used up, and then go out together.
	lane struct {
		// rate is the budget in calls a second; zero means no bound.
		rate     float64
		parallel int
		tokens   float64
		filledAt time.Time
		started  bool
		waiting  []Write
		queued   map[string]bool
		flights  map[uint64]flight
	}

	flight struct {
		writes []Write
		sentAt time.Time
	}
)

func newLane(parallel int) lane {
	return lane{parallel: parallel, queued: map[string]bool{}, flights: map[uint64]flight{}}
}

// add queues a row unless it is queued or in flight already.
func (l *lane) add(w Write) {
	if l.queued[w.Key] {
		return
	}
	l.queued[w.Key] = true
	l.waiting = append(l.waiting, w)
}

func (l *lane) refill(now time.Time) {
	if !l.started {
		l.started = true
		l.tokens = laneBurst
		l.filledAt = now
		return
	}
	elapsed := now.Sub(l.filledAt)
	if elapsed <= 0 {
		return
	}
	l.tokens = min(laneBurst, l.tokens+elapsed.Seconds()*l.rate)
	l.filledAt = now
}

// ready reports whether a call may leave, the circuit apart.
func (l *lane) ready(now time.Time) bool {
	if len(l.waiting) == 0 || len(l.flights) >= l.parallel {
		return false
	}
	l.refill(now)
	return l.rate <= 0 || l.tokens >= 1
}

// take removes the rows of the next call and records them under its number.
func (l *lane) take(now time.Time, number uint64) []Write {
	n := min(len(l.waiting), maxBatch)
	batch := append([]Write(nil), l.waiting[:n]...)
	l.waiting = append(l.waiting[:0], l.waiting[n:]...)
	l.tokens--
	l.flights[number] = flight{writes: batch, sentAt: now}
	return batch
}

// land removes the call of that number and returns its rows.
func (l *lane) land(number uint64) ([]Write, bool) {
	f, ok := l.flights[number]
	if !ok {
		return nil, false
	}
	delete(l.flights, number)
	for _, w := range f.writes {
		delete(l.queued, w.Key)
	}
	return f.writes, true
}

// wake returns when the budget allows the next call; zero if nothing waits
// for the budget.
func (l *lane) wake() time.Time {
	if len(l.waiting) == 0 || len(l.flights) >= l.parallel || l.rate <= 0 || l.tokens >= 1 {
		return time.Time{}
	}
	missing := (1 - l.tokens) / l.rate
	return l.filledAt.Add(time.Duration(missing*float64(time.Second)) + time.Millisecond)
}
