package storage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)

func TestBatcherBatchesWhileACallIsInFlight(t *testing.T) {
	is := is.New(t)
	b := NewBatcher(NewCircuit(1), 0)
	b.Insert("a", []byte("1"), 0)
	calls := b.Flush(start, nil)
	is.Equal(len(calls), 1) // sent at once when no call is in flight
	for i := range 300 {
		b.Insert(fmt.Sprint("k", i), nil, 0)
	}
	is.Equal(len(b.Flush(start, nil)), 0) // one call is in flight
	outcomes := b.HandleReply(Reply{Number: calls[0].Number, Rows: make([]Row, 1), Applied: []bool{true}}, nil)
	is.True(len(outcomes) == 1 && outcomes[0].Applied)
	is.Equal(len(b.HandleReply(Reply{Number: calls[0].Number}, nil)), 0) // a duplicate reply is ignored
	calls = b.Flush(start, nil)
	is.Equal(len(calls), 1)
	is.Equal(len(calls[0].Insert), maxRowsPerCall)
}

func TestBatcherDeduplicatesReads(t *testing.T) {
	is := is.New(t)
	b := NewBatcher(NewCircuit(1), 0)
	b.Get("a")
	b.Get("a")
	calls := b.Flush(start, nil)
	b.Get("a")
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Get, []string{"a"})
	is.Equal(b.Pending(), 1)
}

func TestBatcherRespectsItsBudget(t *testing.T) {
	is := is.New(t)
	b := NewBatcher(NewCircuit(1), 0)
	b.SetBudget(10, 0)
	count := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		b.Insert(now.String(), nil, 0)
		for _, c := range b.Flush(now, nil) {
			count++
			b.HandleReply(Reply{Number: c.Number, Outcome: NotApplied}, nil)
		}
	}
	is.True(count <= 10*10+maxBurst)
	is.True(count >= 10*10-maxBurst)
}

func TestMismatchedReplyHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	b := NewBatcher(NewCircuit(1), 0)
	b.Insert("a", nil, 0)
	calls := b.Flush(start, nil)
	outcomes := b.HandleReply(Reply{Number: calls[0].Number, Rows: make([]Row, 1)}, nil)
	is.Equal(outcomes[0].Outcome, Unknown)
}

func TestUnansweredCallTimesOut(t *testing.T) {
	is := is.New(t)
	b := NewBatcher(NewCircuit(1), 0)
	b.Insert("a", nil, 0)
	b.Flush(start, nil)
	is.Equal(b.NextWake(), start.Add(callTimeout))
	is.Equal(len(b.Overdue(start)), 0)
	overdue := b.Overdue(start.Add(callTimeout))
	is.Equal(len(overdue), 1)
	is.Equal(b.HandleReply(overdue[0], nil)[0].Outcome, Unknown)
}

func TestDropQueuedRows(t *testing.T) {
	is := is.New(t)
	b := NewBatcher(NewCircuit(1), 0)
	b.Insert("a", nil, 0)
	b.Get("b")
	outcomes := b.DropQueued(nil)
	is.Equal(len(outcomes), 2)
	is.True(outcomes[0].Write && outcomes[0].Outcome == NotApplied)
	is.Equal(b.Pending(), 0)
}

func TestCircuit(t *testing.T) {
	is := is.New(t)
	c := NewCircuit(1)
	now := start
	for i := range failureThreshold {
		is.True(c.Allow(now))
		is.Equal(c.RecordFailure(now), i == failureThreshold-1) // opens at the threshold
	}
	is.True(c.Refuses(now))
	first := c.ProbeAt()
	now = first
	is.True(c.Allow(now))
	is.True(!c.Allow(now)) // one probe at a time
	c.RecordFailure(now)
	is.True(c.ProbeAt().Sub(now) > 0)
	for range 20 { // the backoff is bounded
		now = c.ProbeAt()
		is.True(c.Allow(now))
		c.RecordFailure(now)
		is.True(c.ProbeAt().Sub(now) <= 3*maxBackoff/2)
	}
	now = c.ProbeAt()
	is.True(c.Allow(now))
	is.True(c.RecordSuccess()) // closes
	is.True(c.Allow(now))
}

func TestRetryAfterIsJittered(t *testing.T) {
	is := is.New(t)
	c := NewCircuit(1)
	seen := map[time.Duration]bool{}
	for range 100 {
		seen[c.RetryAfter().Round(10*time.Millisecond)] = true
	}
	is.True(len(seen) > 30)
}
