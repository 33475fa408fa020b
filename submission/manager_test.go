package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

var start = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)

// admitAll admits every job.
type admitAll struct{}

func (admitAll) Admit(time.Time, *job.Job) *fault.Error { return nil }

func newManager(id string, incarnation uint64) *Manager {
	ref := instance.Ref{DataCentre: "sofia-1", ID: id, Incarnation: incarnation}
	return New(Settings{Self: ref}, admitAll{}, start)
}

func newJob(id string, tasks ...string) job.Job {
	j := job.Job{SubmissionID: id, Class: "urgent", Team: "amplifiers"}
	for _, name := range tasks {
		j.Tasks = append(j.Tasks, task.Task{ID: name, Payload: []byte(`{"r":1}`)})
	}
	return j
}

func TestIssuedID(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	var out Output
	m.Submit(start, 1, newJob("", "x", "y"), true, &out)
	is.Equal(len(out.Enqueue), 1)
	is.Equal(len(out.StoreCalls), 0) // issued ids need no store
	id := out.Enqueue[0].Job.SubmissionID
	for i := range 2 {
		ref := task.Ref{Submission: id, Index: i}
		attempt, ok := m.BeginAttempt(start, ref, "e1")
		is.True(ok)
		_, again := m.BeginAttempt(start, ref, "e2")
		is.True(!again)
		m.Finished(start, ref, attempt, endpoint.Answered, []byte("1"), &out)
	}
	is.Equal(len(out.Replies), 1)
	is.Equal(out.Replies[0].Result.State, job.Complete)
	out.Reset()
	m.Submit(start, 2, newJob(id, "x", "y"), true, &out)
	is.Equal(len(out.Enqueue), 0)
	is.Equal(out.Replies[0].Result.State, job.Complete)
}

func TestChosenID(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	var out Output
	m.Submit(start, 1, newJob("fee-1", "x"), true, &out)
	is.Equal(len(out.Enqueue), 0) // not before the claim
	is.Equal(len(out.StoreCalls), 1)
	row := storage.Row{Key: claimKey("fee-1"), Value: out.StoreCalls[0].Insert[0].Value, Version: 1}
	reply := storage.Reply{Number: out.StoreCalls[0].Number, Rows: []storage.Row{row}, Applied: []bool{true}}
	m.HandleStoreReply(start, reply, &out)
	is.Equal(len(out.Enqueue), 1)
}

// A request that does not wait for the final result is answered once the job is
// accepted, which for a caller-chosen id is after the claim.
func TestSubmitWithoutWait(t *testing.T) {
	is := is.New(t)
	m := newManager("entry-1", 1)
	var out Output
	m.Submit(start, 1, newJob("", "x"), false, &out)
	is.Equal(len(out.Replies), 1)
	is.Equal(out.Replies[0].Result.State, job.Running)
	out.Reset()
	m.Submit(start, 2, newJob("fee-1", "x"), false, &out)
	is.Equal(len(out.Replies), 0) // the claim is pending
	is.Equal(len(out.StoreCalls), 1)
	w := out.StoreCalls[0].Insert[0]
	reply := storage.Reply{
		Number:  out.StoreCalls[0].Number,
		Rows:    []storage.Row{{Key: w.Key, Value: w.Value, Version: 1}},
		Applied: []bool{true},
	}
	out.Reset()
	m.HandleStoreReply(start, reply, &out)
	is.Equal(len(out.Replies), 1)
	is.Equal(out.Replies[0].Result.State, job.Running)
	is.Equal(len(out.Enqueue), 1)
}

// A home that was never listed may be starting, so a request for it waits until
// a timeout. If the home is known to be unreachable, the request fails
// immediately.
func TestForwardToUnknownHome(t *testing.T) {
	tests := []struct {
		name string
		lost bool
		wait time.Duration
	}{
		{"never listed", false, forwardTimeout},
		{"known to be unreachable", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ids, f := newManager("entry-2", 7).IssueIDs(start, 1)
			is.True(f == nil)
			m := newManager("entry-1", 1)
			var out Output
			if tt.lost {
				m.PeerLost(start, instance.Ref{DataCentre: "sofia-1", ID: "entry-2", Incarnation: 7}, &out)
			}
			m.Submit(start, 1, newJob(ids[0], "x"), true, &out)
			now := start
			for range 100 {
				for _, c := range out.StoreCalls {
					r := storage.Reply{Number: c.Number}
					for _, key := range c.Get {
						r.Rows = append(r.Rows, storage.Row{Key: key})
					}
					out.StoreCalls = nil
					m.HandleStoreReply(now, r, &out)
				}
				if len(out.Replies) > 0 {
					break
				}
				now = now.Add(50 * time.Millisecond)
				m.Tick(now, &out)
			}
			is.Equal(len(out.Replies), 1)
			is.Equal(out.Replies[0].Result.Fault.Kind, fault.HomeUnreachable)
			is.Equal(now.Sub(start), tt.wait)
		})
	}
}
