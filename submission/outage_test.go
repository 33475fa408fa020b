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

// storeUser drives one instance against a store that a test switches, on a
// virtual clock of one millisecond a step.
type storeUser struct {
	m        *Manager
	now      time.Time
	out      Output
	delay    time.Duration
	fate     storage.Fate
	calls    []storage.Call
	due      []time.Time
	accepted map[string]time.Time
	replies  map[uint64]job.Result
	told     map[uint64]time.Time
	made     int
}

func newStoreUser() *storeUser {
	u := &storeUser{
		m:        newManager("a", 7),
		now:      start,
		delay:    5 * time.Millisecond,
		accepted: map[string]time.Time{},
		replies:  map[uint64]job.Result{},
		told:     map[uint64]time.Time{},
	}
	u.m.SetClasses(start, []class.Class{{Name: "payment", DurableAnswers: true}})
	return u
}

func (u *storeUser) submit(call uint64, id, className string) {
	j := jobOf(id, "x")
	j.Class = className
	u.m.Submit(u.now, call, j, false, &u.out)
	u.collect()
}

func (u *storeUser) collect() {
	for _, e := range u.out.Enqueue {
		u.accepted[e.Job.SubmissionID] = u.now
	}
	for _, r := range u.out.Replies {
		u.replies[r.Call] = r.Result
		u.told[r.Call] = u.now
	}
	for _, c := range u.out.Calls {
		u.calls, u.due = append(u.calls, c), append(u.due, u.now.Add(u.delay))
		u.made++
	}
	u.out.Reset()
}

func (u *storeUser) run(d time.Duration) {
	for end := u.now.Add(d); u.now.Before(end); u.now = u.now.Add(time.Millisecond) {
		for len(u.due) > 0 && !u.due[0].After(u.now) {
			r := storage.Reply{Number: u.calls[0].Number, Fate: u.fate}
			if u.fate == storage.Done {
				r = claimAll(u.calls[0])
			}
			u.calls, u.due = u.calls[1:], u.due[1:]
			u.m.StoreReplied(u.now, r, &u.out)
			u.collect()
		}
		u.m.Tick(u.now, &u.out)
		u.collect()
	}
}

// TestWhatGoesOnWithoutTheStore tells for each state of the store and each kind
// of job whether it goes on, and how soon its caller knows.
func TestWhatGoesOnWithoutTheStore(t *testing.T) {
	const (
		down    = "down"
		silent  = "in doubt"
		crawls  = "5 s a call"
		at5s    = 5100 * time.Millisecond
		atOnce  = 20 * time.Millisecond
		atLimit = defaultClaimLimit + 10*time.Millisecond
	)
	tests := []struct {
		store, id, class string
		state            job.State
		kind             fault.Kind
		within           time.Duration
	}{
		{down, "", "urgent", job.Running, 0, atOnce},
		{down, "fee-1", "urgent", job.Failed, fault.SubmissionUnchecked, atOnce},
		{down, "", "payment", job.NotRun, fault.StoreUnavailable, atOnce},
		{down, "fee-1", "payment", job.Failed, fault.SubmissionUnchecked, atOnce},
		{silent, "", "urgent", job.Running, 0, atOnce},
		{silent, "fee-1", "urgent", job.Failed, fault.SubmissionUnchecked, atLimit},
		{crawls, "", "urgent", job.Running, 0, atOnce},
		{crawls, "fee-1", "urgent", job.Running, 0, at5s},
		{crawls, "", "payment", job.Running, 0, atOnce},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s, id %q, %s", tt.store, tt.id, tt.class), func(t *testing.T) {
			is := is.New(t)
			u := newStoreUser()
			switch tt.store {
			case down:
				u.fate = storage.NotApplied
				for i := range uint64(circuitOpensAfter) {
					u.submit(100+i, fmt.Sprint("earlier-", i), "urgent")
					u.run(50 * time.Millisecond)
				}
			case silent:
				u.fate = storage.Doubtful
			case crawls:
				u.delay = 5 * time.Second
			}
			came := u.now
			u.submit(1, tt.id, tt.class)
			u.run(20 * time.Second)
			r, ok := u.replies[1]
			is.True(ok)
			is.Equal(r.State, tt.state)
			if tt.state != job.Running {
				is.Equal(r.Fault.Kind, tt.kind)
				is.True(r.Fault.RetryAfter > 0)
			}
			is.True(u.told[1].Sub(came) <= tt.within)
		})
	}
}

// circuitOpensAfter is how many failures in a row open the circuit.
const circuitOpensAfter = 3

// TestNoHerdOnRecovery submits 200 jobs a second with chosen ids through an
// outage of a minute, each caller coming again after its hint.
func TestNoHerdOnRecovery(t *testing.T) {
	is := is.New(t)
	u := newStoreUser()
	var call uint64
	retry := map[time.Time][]string{}
	come := func(id string) {
		call++
		this := call
		u.submit(this, id, "urgent")
		if r, ok := u.replies[this]; ok && r.Fault != nil {
			at := u.now.Add(r.Fault.RetryAfter).Round(time.Millisecond)
			retry[at] = append(retry[at], id)
		}
	}
	run := func(d time.Duration, arrivals bool) (calls int) {
		before := u.made
		for end := u.now.Add(d); u.now.Before(end); {
			if arrivals && u.now.UnixMilli()%5 == 0 {
				come(fmt.Sprint("fee-", call))
			}
			due := retry[u.now]
			delete(retry, u.now)
			for _, id := range due {
				come(id)
			}
			u.run(time.Millisecond)
		}
		return u.made - before
	}
	u.fate = storage.NotApplied
	during := run(time.Minute, true)
	is.True(during <= 60) // probes only
	waiting := 0
	for _, ids := range retry {
		waiting += len(ids)
	}
	is.True(waiting > 10_000) // callers that come again
	is.True(len(u.m.submissions) < 100)
	u.fate = storage.Done
	after := run(30*time.Second, false)
	t.Logf("%d calls in the outage, %d callers wait at its end, %d calls in the 30 s after it, %d jobs accepted", during, waiting, after, len(u.accepted))
	is.True(after <= 30*defaultStoreWrites)
	is.True(len(u.accepted) > 9*waiting/10)
}
