package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// storeHarness drives one instance against a store with adjustable delay and
// outcome. Its virtual clock advances in steps of one millisecond.
type storeHarness struct {
	m         *Manager
	now       time.Time
	out       Output
	delay     time.Duration
	outcome   storage.Outcome
	calls     []storage.Call
	due       []time.Time
	accepted  map[string]time.Time
	replies   map[uint64]job.Result
	repliedAt map[uint64]time.Time
	callCount int
}

func newStoreHarness() *storeHarness {
	h := &storeHarness{
		m:         newManager("a", 7),
		now:       start,
		delay:     5 * time.Millisecond,
		accepted:  map[string]time.Time{},
		replies:   map[uint64]job.Result{},
		repliedAt: map[uint64]time.Time{},
	}
	h.m.SetClasses(start, []class.Class{{Name: "payment", DurableAnswers: true}})
	return h
}

func (h *storeHarness) submit(call uint64, id, className string) {
	j := newJob(id, "x")
	j.Class = className
	h.m.Submit(h.now, call, j, false, &h.out)
	h.collect()
}

func (h *storeHarness) collect() {
	for _, e := range h.out.Enqueue {
		h.accepted[e.Job.SubmissionID] = h.now
	}
	for _, r := range h.out.Replies {
		h.replies[r.Call] = r.Result
		h.repliedAt[r.Call] = h.now
	}
	for _, c := range h.out.StoreCalls {
		h.calls, h.due = append(h.calls, c), append(h.due, h.now.Add(h.delay))
		h.callCount++
	}
	h.out.Reset()
}

func (h *storeHarness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(time.Millisecond) {
		for len(h.due) > 0 && !h.due[0].After(h.now) {
			r := storage.Reply{Number: h.calls[0].Number, Outcome: h.outcome}
			if h.outcome == storage.Done {
				r = insertedReply(h.calls[0])
			}
			h.calls, h.due = h.calls[1:], h.due[1:]
			h.m.HandleStoreReply(h.now, r, &h.out)
			h.collect()
		}
		h.m.Tick(h.now, &h.out)
		h.collect()
	}
}

// TestStoreOutage checks for each state of the store and each kind of job
// whether the job is accepted, and how soon its caller gets a reply.
func TestStoreOutage(t *testing.T) {
	const (
		down         = "down"
		unconfirmed  = "unknown outcome"
		slow         = "5 s per call"
		after5s      = 5100 * time.Millisecond
		immediately  = 20 * time.Millisecond
		afterTimeout = defaultClaimTimeout + 10*time.Millisecond
	)
	tests := []struct {
		store, id, class string
		state            job.State
		kind             fault.Kind
		within           time.Duration
	}{
		{down, "", "urgent", job.Running, 0, immediately},
		{down, "fee-1", "urgent", job.Failed, fault.SubmissionUnchecked, immediately},
		{down, "", "payment", job.NotRun, fault.StoreUnavailable, immediately},
		{down, "fee-1", "payment", job.Failed, fault.SubmissionUnchecked, immediately},
		{unconfirmed, "", "urgent", job.Running, 0, immediately},
		{unconfirmed, "fee-1", "urgent", job.Failed, fault.SubmissionUnchecked, afterTimeout},
		{slow, "", "urgent", job.Running, 0, immediately},
		{slow, "fee-1", "urgent", job.Running, 0, after5s},
		{slow, "", "payment", job.Running, 0, immediately},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s, id %q, %s", tt.store, tt.id, tt.class), func(t *testing.T) {
			is := is.New(t)
			h := newStoreHarness()
			switch tt.store {
			case down:
				h.outcome = storage.NotApplied
				for i := range uint64(circuitOpensAfter) {
					h.submit(100+i, fmt.Sprint("earlier-", i), "urgent")
					h.run(50 * time.Millisecond)
				}
			case unconfirmed:
				h.outcome = storage.Unknown
			case slow:
				h.delay = 5 * time.Second
			}
			submittedAt := h.now
			h.submit(1, tt.id, tt.class)
			h.run(20 * time.Second)
			r, ok := h.replies[1]
			is.True(ok)
			is.Equal(r.State, tt.state)
			if tt.state != job.Running {
				is.Equal(r.Fault.Kind, tt.kind)
				is.True(r.Fault.RetryAfter > 0)
			}
			is.True(h.repliedAt[1].Sub(submittedAt) <= tt.within)
		})
	}
}

// circuitOpensAfter is the number of consecutive failures that open the circuit
// breaker.
const circuitOpensAfter = 3

// TestNoHerdOnRecovery submits 200 jobs per second with caller-chosen ids
// during a store outage of one minute. Each caller retries after its hint. The
// retries must not exceed the store budget when the store is back.
func TestNoHerdOnRecovery(t *testing.T) {
	is := is.New(t)
	h := newStoreHarness()
	var call uint64
	retry := map[time.Time][]string{}
	submit := func(id string) {
		call++
		number := call
		h.submit(number, id, "urgent")
		if r, ok := h.replies[number]; ok && r.Fault != nil {
			at := h.now.Add(r.Fault.RetryAfter).Round(time.Millisecond)
			retry[at] = append(retry[at], id)
		}
	}
	run := func(d time.Duration, arrivals bool) (calls int) {
		before := h.callCount
		for end := h.now.Add(d); h.now.Before(end); {
			if arrivals && h.now.UnixMilli()%5 == 0 {
				submit(fmt.Sprint("fee-", call))
			}
			due := retry[h.now]
			delete(retry, h.now)
			for _, id := range due {
				submit(id)
			}
			h.run(time.Millisecond)
		}
		return h.callCount - before
	}
	h.outcome = storage.NotApplied
	during := run(time.Minute, true)
	is.True(during <= 60) // only probes of the circuit breaker
	waiting := 0
	for _, ids := range retry {
		waiting += len(ids)
	}
	is.True(waiting > 10_000) // callers that will retry
	is.True(len(h.m.submissions) < 100)
	h.outcome = storage.Done
	after := run(30*time.Second, false)
	t.Logf("%d calls in the outage, %d callers wait at its end, %d calls in the 30 s after it, %d jobs accepted", during, waiting, after, len(h.accepted))
	is.True(after <= 30*defaultStoreWrites)
	is.True(len(h.accepted) > 9*waiting/10)
}
