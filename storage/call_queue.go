package storage

import "time"

const (
	// maxBurst is the number of calls that may be made without a pause.
	maxBurst = 4
	// maxRowsPerCall limits the rows that one call reads or writes.
	maxRowsPerCall = 256
)

type (
	// callQueue queues rows for calls of one kind, reads or writes. It limits
	// the calls in flight and, with a token bucket, the call rate. Rows that
	// cannot be sent yet are batched into the next call.
	callQueue struct {
		// rate is the maximum number of calls per second; zero means no limit.
		rate        float64
		maxInFlight int
		// tokens is the number of calls that the rate limit allows now.
		tokens      float64
		refilledAt  time.Time
		initialized bool
		queued      []Write
		// pending is the set of keys that are queued or in flight.
		pending map[string]bool
		// inFlight holds the calls without a reply by number.
		inFlight map[uint64]inFlightCall
	}

	inFlightCall struct {
		rows   []Write
		sentAt time.Time
	}
)

func newCallQueue(maxInFlight int) callQueue {
	return callQueue{maxInFlight: maxInFlight, pending: map[string]bool{}, inFlight: map[uint64]inFlightCall{}}
}

// add queues a row unless a row with the same key is queued or in flight.
func (q *callQueue) add(w Write) {
	if q.pending[w.Key] {
		return
	}
	q.pending[w.Key] = true
	q.queued = append(q.queued, w)
}

func (q *callQueue) refill(now time.Time) {
	if !q.initialized {
		q.initialized = true
		q.tokens = maxBurst
		q.refilledAt = now
		return
	}
	elapsed := now.Sub(q.refilledAt)
	if elapsed <= 0 {
		return
	}
	q.tokens = min(maxBurst, q.tokens+elapsed.Seconds()*q.rate)
	q.refilledAt = now
}

// ready reports whether a call can be made now. It does not check the circuit
// breaker.
func (q *callQueue) ready(now time.Time) bool {
	if len(q.queued) == 0 || len(q.inFlight) >= q.maxInFlight {
		return false
	}
	q.refill(now)
	return q.rate <= 0 || q.tokens >= 1
}

// dequeue removes the rows of the next call from the queue and records the
// call as in flight.
func (q *callQueue) dequeue(now time.Time, number uint64) []Write {
	n := min(len(q.queued), maxRowsPerCall)
	batch := append([]Write(nil), q.queued[:n]...)
	q.queued = append(q.queued[:0], q.queued[n:]...)
	q.tokens--
	q.inFlight[number] = inFlightCall{rows: batch, sentAt: now}
	return batch
}

// complete removes the call with the given number and returns its rows. It
// returns false if no such call is in flight.
func (q *callQueue) complete(number uint64) ([]Write, bool) {
	call, ok := q.inFlight[number]
	if !ok {
		return nil, false
	}
	delete(q.inFlight, number)
	for _, w := range call.rows {
		delete(q.pending, w.Key)
	}
	return call.rows, true
}

// wake returns when the rate limit allows the next call. It returns the zero
// time if no call is delayed by the rate limit.
func (q *callQueue) wake() time.Time {
	if len(q.queued) == 0 || len(q.inFlight) >= q.maxInFlight || q.rate <= 0 || q.tokens >= 1 {
		return time.Time{}
	}
	missing := (1 - q.tokens) / q.rate
	return q.refilledAt.Add(time.Duration(missing*float64(time.Second)) + time.Millisecond)
}
