package storage

import (
	"slices"
	"time"
)

const (
	writesInFlight = 1
	readsInFlight  = 4
	// callLimit is after which time a call without a reply counts as
	// doubtful.
	callLimit = 20 * time.Second
)

type (
	// Batcher groups reads and conditional inserts of rows into calls. A row
	// goes out at once while no call is in flight and the budget allows it;
	// otherwise rows gather and leave together. Reads of one key that wait or
	// are in flight are shared. It belongs to one caller, that numbers its
	// calls from a base of its own.
	Batcher struct {
		circuit *Circuit
		number  uint64
		writes  lane
		reads   lane
	}

	// Outcome is what became of one row of a call.
	Outcome struct {
		Key   string
		Fate  Fate
		Write bool
		// Applied tells that the insert's condition held, if Fate is Done.
		Applied bool
		// Row is the row as it is after the call, if Fate is Done.
		Row Row
	}
)

// NewBatcher returns a batcher whose calls are numbered from base+1 on.
func NewBatcher(circuit *Circuit, base uint64) *Batcher {
	return &Batcher{
		circuit: circuit,
		number:  base,
		writes:  newLane(writesInFlight),
		reads:   newLane(readsInFlight),
	}
}

// SetBudget bounds this caller's calls a second; zero means no bound.
func (b *Batcher) SetBudget(writes, reads float64) {
	b.writes.rate = writes
	b.reads.rate = reads
}

// Get asks for a row.
func (b *Batcher) Get(key string) { b.reads.add(Write{Condition: Condition{Key: key}}) }

// Insert asks to write a row if there is none of that key.
func (b *Batcher) Insert(key string, value []byte, lifetime time.Duration) {
	b.writes.add(Write{Condition: Condition{Key: key}, Value: value, Lifetime: lifetime})
}

// Waiting returns how many rows wait for a call or for a reply.
func (b *Batcher) Waiting() int { return len(b.writes.queued) + len(b.reads.queued) }

// Flush appends the calls that may be made now.
func (b *Batcher) Flush(now time.Time, calls []Call) []Call {
	for b.writes.ready(now) && b.circuit.Allow(now) {
		b.number++
		calls = append(calls, Call{Number: b.number, Insert: b.writes.take(now, b.number)})
	}
	for b.reads.ready(now) && b.circuit.Allow(now) {
		b.number++
		calls = append(calls, Call{Number: b.number, Get: keys(b.reads.take(now, b.number))})
	}
	return calls
}

func keys(rows []Write) []string {
	names := make([]string, len(rows))
	for i, w := range rows {
		names[i] = w.Key
	}
	return names
}

// Replied appends the outcomes of the rows of one call. It appends nothing if
// no call of that number is in flight. A reply that does not fit its call
// counts as doubtful.
func (b *Batcher) Replied(r Reply, outcomes []Outcome) []Outcome {
	rows, ok := b.writes.land(r.Number)
	isWrite := ok
	if !ok {
		rows, ok = b.reads.land(r.Number)
	}
	if !ok {
		return outcomes
	}
	fate := r.Fate
	if fate == Done && (len(r.Rows) != len(rows) || isWrite && len(r.Applied) != len(rows)) {
		fate = Doubtful
	}
	for i, w := range rows {
		o := Outcome{Key: w.Key, Fate: fate, Write: isWrite}
		if fate == Done {
			o.Row = r.Rows[i]
			o.Applied = isWrite && r.Applied[i]
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// Overdue returns a doubtful reply for each call that has waited too long.
func (b *Batcher) Overdue(now time.Time) []Reply {
	var late []Reply
	for _, l := range []*lane{&b.writes, &b.reads} {
		for number, f := range l.flights {
			if now.Sub(f.sentAt) >= callLimit {
				late = append(late, Reply{Number: number, Fate: Doubtful})
			}
		}
	}
	slices.SortFunc(late, func(x, y Reply) int { return int(int64(x.Number) - int64(y.Number)) })
	return late
}

// DropWaiting removes the rows that have not left yet and appends their
// outcomes, all of fate NotApplied. It is for a circuit that opened.
func (b *Batcher) DropWaiting(outcomes []Outcome) []Outcome {
	for _, l := range []*lane{&b.writes, &b.reads} {
		for _, w := range l.waiting {
			delete(l.queued, w.Key)
			outcomes = append(outcomes, Outcome{Key: w.Key, Fate: NotApplied, Write: l == &b.writes})
		}
		l.waiting = nil
	}
	return outcomes
}

// Next returns when Flush or Overdue should be called again; zero if there is
// nothing to wait for.
func (b *Batcher) Next() time.Time {
	var next time.Time
	for _, l := range []*lane{&b.writes, &b.reads} {
		next = earlier(next, l.wake())
		for _, f := range l.flights {
			next = earlier(next, f.sentAt.Add(callLimit))
		}
		if len(l.waiting) > 0 && len(l.flights) < l.parallel {
			next = earlier(next, b.circuit.ProbeAt())
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
