package storage

import (
	"slices"
	"time"
)

const (
	maxWritesInFlight = 1
	maxReadsInFlight  = 4
	// callTimeout is the time after which the outcome of a call without a
	// reply counts as unknown.
	callTimeout = 20 * time.Second
)

type (
	// Batcher batches reads and conditional inserts of rows into calls. A row
	// is sent at once if the limits on calls in flight and on the call rate
	// allow it; otherwise it is batched into a later call. Concurrent reads of
	// a key share one call. Each user of the store has its own Batcher and its
	// own base for call numbers. A Batcher is not safe for concurrent use.
	Batcher struct {
		circuit    *Circuit
		lastNumber uint64
		writes     callQueue
		reads      callQueue
	}

	// RowOutcome is the outcome of a call for one of its rows.
	RowOutcome struct {
		Key     string
		Outcome Outcome
		// Write is true for an insert and false for a read.
		Write bool
		// Applied reports whether the insert's condition held. It is set only
		// if Outcome is Done.
		Applied bool
		// Row is the row as it is after the call. It is set only if Outcome is
		// Done.
		Row Row
	}
)

// NewBatcher returns a Batcher whose calls are numbered from base+1 upwards.
func NewBatcher(circuit *Circuit, base uint64) *Batcher {
	return &Batcher{
		circuit:    circuit,
		lastNumber: base,
		writes:     newCallQueue(maxWritesInFlight),
		reads:      newCallQueue(maxReadsInFlight),
	}
}

// SetBudget limits the calls per second; zero means no limit.
func (b *Batcher) SetBudget(writes, reads float64) {
	b.writes.rate = writes
	b.reads.rate = reads
}

// Get queues the read of a row. It does nothing if a read of the key is queued
// or in flight.
func (b *Batcher) Get(key string) { b.reads.add(Write{Condition: Condition{Key: key}}) }

// Insert queues the write of a row that must not exist yet. It does nothing if
// an insert with the key is queued or in flight.
func (b *Batcher) Insert(key string, value []byte, lifetime time.Duration) {
	b.writes.add(Write{Condition: Condition{Key: key}, Value: value, Lifetime: lifetime})
}

// Pending returns the number of rows that are queued or in flight.
func (b *Batcher) Pending() int { return len(b.writes.pending) + len(b.reads.pending) }

// Flush appends the calls that may be made now to calls and returns the result.
func (b *Batcher) Flush(now time.Time, calls []Call) []Call {
	for b.writes.ready(now) && b.circuit.Allow(now) {
		b.lastNumber++
		calls = append(calls, Call{Number: b.lastNumber, Insert: b.writes.dequeue(now, b.lastNumber)})
	}
	for b.reads.ready(now) && b.circuit.Allow(now) {
		b.lastNumber++
		calls = append(calls, Call{Number: b.lastNumber, Get: keys(b.reads.dequeue(now, b.lastNumber))})
	}
	return calls
}

func keys(rows []Write) []string {
	list := make([]string, len(rows))
	for i, w := range rows {
		list[i] = w.Key
	}
	return list
}

// HandleReply handles the reply to a call and appends the outcome of each of its
// rows to outcomes. It appends nothing if no call with that number is in
// flight. If the reply does not match its call, the outcome is Unknown.
func (b *Batcher) HandleReply(r Reply, outcomes []RowOutcome) []RowOutcome {
	rows, ok := b.writes.complete(r.Number)
	isWrite := ok
	if !ok {
		rows, ok = b.reads.complete(r.Number)
	}
	if !ok {
		return outcomes
	}
	outcome := r.Outcome
	if outcome == Done && (len(r.Rows) != len(rows) || isWrite && len(r.Applied) != len(rows)) {
		outcome = Unknown
	}
	for i, w := range rows {
		o := RowOutcome{Key: w.Key, Outcome: outcome, Write: isWrite}
		if outcome == Done {
			o.Row = r.Rows[i]
			o.Applied = isWrite && r.Applied[i]
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// Overdue returns a reply with the outcome Unknown for each call that has timed
// out. The caller passes these replies to HandleReply.
func (b *Batcher) Overdue(now time.Time) []Reply {
	var overdue []Reply
	for _, q := range []*callQueue{&b.writes, &b.reads} {
		for number, call := range q.inFlight {
			if now.Sub(call.sentAt) >= callTimeout {
				overdue = append(overdue, Reply{Number: number, Outcome: Unknown})
			}
		}
	}
	slices.SortFunc(overdue, func(x, y Reply) int { return int(int64(x.Number) - int64(y.Number)) })
	return overdue
}

// DropQueued removes the queued rows and appends the outcome NotApplied for
// each of them to outcomes. It is called when the circuit opens.
func (b *Batcher) DropQueued(outcomes []RowOutcome) []RowOutcome {
	for _, q := range []*callQueue{&b.writes, &b.reads} {
		for _, w := range q.queued {
			delete(q.pending, w.Key)
			outcomes = append(outcomes, RowOutcome{Key: w.Key, Outcome: NotApplied, Write: q == &b.writes})
		}
		q.queued = nil
	}
	return outcomes
}

// NextWake returns when Flush or Overdue must be called again. It returns the
// zero time if there is nothing to wait for.
func (b *Batcher) NextWake() time.Time {
	var next time.Time
	for _, q := range []*callQueue{&b.writes, &b.reads} {
		next = earlier(next, q.wake())
		for _, call := range q.inFlight {
			next = earlier(next, call.sentAt.Add(callTimeout))
		}
		if len(q.queued) > 0 && len(q.inFlight) < q.maxInFlight {
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
