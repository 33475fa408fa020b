package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

// These tests cover single histories that the property test found or that it
// generates too rarely.

// existingRowReply replies to the last call of out with a row that existed
// before.
func existingRowReply(out *Output, value []byte) storage.Reply {
	c := out.StoreCalls[len(out.StoreCalls)-1]
	r := storage.Reply{Number: c.Number}
	for _, w := range c.Insert {
		r.Rows = append(r.Rows, storage.Row{Key: w.Key, Value: value, Version: 1})
		r.Applied = append(r.Applied, false)
	}
	for _, key := range c.Get {
		r.Rows = append(r.Rows, storage.Row{Key: key, Value: value, Version: 1})
	}
	return r
}

func ref(id string, incarnation uint64) instance.Ref {
	return instance.Ref{DataCentre: "sofia-1", ID: id, Incarnation: incarnation}
}

// runTask starts a task and finishes it with an answer.
func runTask(m *Manager, id string, index int, out *Output) {
	at := task.Ref{Submission: id, Index: index}
	attempt, _ := m.BeginAttempt(start, at, "e1")
	m.Finished(start, at, attempt, endpoint.Answered, []byte("1"), out)
}

// A resubmitted job never starts again: not while its answer is kept, not after
// the answer was evicted, and not after its start window ended.
func TestResubmitFinishedJob(t *testing.T) {
	const window = defaultStartWindow
	tests := []struct {
		name  string
		after time.Duration
		want  fault.Kind
	}{
		{"answer kept", defaultRetention / 2, fault.Internal}, // no fault: the job is complete
		{"answer evicted", defaultRetention + time.Second, fault.OutcomeUnknown},
		{"start window ended", window + time.Second, fault.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newManager("a", 7)
			var out Output
			m.Submit(start, 1, newJob("", "x"), true, &out)
			id := out.Enqueue[0].Job.SubmissionID
			runTask(m, id, 0, &out)
			out.Reset()
			now := start.Add(tt.after)
			m.Tick(now, &out)
			m.Submit(now, 2, newJob(id, "x"), true, &out)
			is.Equal(len(out.Enqueue), 0)
			is.Equal(len(out.Replies), 1)
			if tt.want == fault.Internal {
				is.Equal(out.Replies[0].Result.State, job.Complete)
				return
			}
			is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
			submissions, tombstones := m.Size()
			is.True(submissions == 0 && (tombstones == 0 || tt.after < window)) // the start window bounds memory use
		})
	}
}

// While the outcome of a claim is unknown, the job is neither started nor
// refused. The row that the store returns decides.
func TestClaimReplies(t *testing.T) {
	j := newJob("fee-1", "x")
	ownRow := func(claim uint64) []byte { return encodeClaim(ref("a", 7), claim, start) }
	tests := []struct {
		name     string
		outcomes []storage.Outcome // outcomes before the reply with the row
		row      []byte
		enqueued int
		want     fault.Kind
	}{
		{"own row after an unknown outcome", []storage.Outcome{storage.Unknown}, ownRow(1), 1, 0},
		{"own row after an unknown outcome and a failed write", []storage.Outcome{storage.Unknown, storage.NotApplied}, ownRow(1), 1, 0},
		{"row of a forgotten claim", nil, ownRow(9), 0, fault.OutcomeUnknown},
		{"row of an earlier incarnation", nil, encodeClaim(ref("a", 6), 1, start), 0, fault.OutcomeUnknown},
		{"row of an unreachable instance", nil, encodeClaim(ref("z", 6), 1, start), 0, fault.HomeUnreachable},
		{"malformed row", nil, []byte("{"), 0, fault.Internal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newManager("a", 7)
			var out Output
			now := start
			m.PeerLost(now, ref("z", 6), &out) // known to be unreachable
			m.Submit(now, 1, j, true, &out)
			for _, outcome := range tt.outcomes {
				m.HandleStoreReply(now, storage.Reply{Number: out.StoreCalls[len(out.StoreCalls)-1].Number, Outcome: outcome}, &out)
				is.Equal(len(out.Replies), 0) // neither started nor refused while the claim is unconfirmed
				now = now.Add(time.Second)
				m.Tick(now, &out)
			}
			m.HandleStoreReply(now, existingRowReply(&out, tt.row), &out)
			if len(out.StoreCalls[len(out.StoreCalls)-1].Get) > 0 { // read of the durable answer
				number := out.StoreCalls[len(out.StoreCalls)-1].Number
				m.HandleStoreReply(now, storage.Reply{Number: number, Rows: make([]storage.Row, 1)}, &out)
			}
			is.Equal(len(out.Enqueue), tt.enqueued)
			if tt.enqueued == 0 {
				is.Equal(len(out.Replies), 1)
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
			}
		})
	}
}

// Request numbers repeat after a restart, so a result for an earlier
// incarnation must not answer a request of this one.
func TestResultForEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	home := ref("b", 3)
	var out Output
	m.SetInstances(start, []instance.Info{{Ref: ref("b", 2)}}, &out) // an outdated list
	id := ID{Home: home, Issued: start, Number: 1}.String()
	m.Submit(start, 1, newJob(id, "x"), true, &out)
	is.Equal(len(out.Messages), 1) // forwarded nevertheless
	result := message.Result{Request: 1, Result: job.Result{SubmissionID: "another", State: job.Complete}}
	m.Receive(start, message.Message{From: home, To: ref("a", 6), Body: result}, &out)
	is.Equal(len(out.Replies), 0)
	m.Tick(start.Add(time.Second), &out)
	is.Equal(len(out.Messages), 2) // repeated
	m.Tick(start.Add(2*time.Second), &out)
	is.Equal(out.Replies[0].Result.Fault.Kind, fault.HomeUnreachable) // within 2 s
	is.Equal(out.Replies[0].Result.State, job.Failed)
	is.True(m.Idle())
}

// A duplicate of a refused request is refused again, even if it would be
// accepted now, because its caller may already have the refusal.
func TestRepeatedRequestAfterRefusal(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1)
	m, from := sim.nodes[0].manager, ref("b", 3)
	ids, f := m.IssueIDs(start.Add(time.Minute), 1)
	is.True(f == nil)
	j := newJob(ids[0], "x")
	j.Deadline = start.Add(time.Second) // passed: refused as not run
	submit := message.Message{From: from, To: sim.nodes[0].ref, Body: message.Submit{Request: 5, Job: j, Wait: true}}
	var out Output
	m.Receive(start.Add(time.Minute), submit, &out)
	j.Deadline = time.Time{} // the reason for the refusal is gone
	submit.Body = message.Submit{Request: 5, Job: j, Wait: true}
	m.Receive(start.Add(time.Minute), submit, &out)
	is.Equal(len(out.Messages), 2)
	is.Equal(len(out.Enqueue), 0)
	is.Equal(out.Messages[1].Body.(message.Result).Result.State, job.NotRun)
}

func TestCancelWhileClaiming(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	var out Output
	m.Submit(start, 1, newJob("fee-1", "x"), true, &out)
	m.Cancel(start, 2, "fee-1", &out)
	m.HandleStoreReply(start, existingRowReply(&out, out.StoreCalls[0].Insert[0].Value), &out)
	is.Equal(len(out.Enqueue), 0)
	is.Equal(len(out.Replies), 2)
	for _, r := range out.Replies {
		is.Equal(r.Result.State, job.NotRun)
		is.Equal(r.Result.Fault.Kind, fault.Cancelled)
	}
	m.Submit(start, 3, newJob("fee-1", "x"), true, &out)
	is.Equal(len(out.Enqueue), 0) // the cancellation is final
}

func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	var out Output
	ids, _ := m.IssueIDs(start, 1)
	m.Submit(start, 1, newJob("", "x"), true, &out)
	running := out.Enqueue[0].Job.SubmissionID
	m.Submit(start, 2, newJob("fee-1", "x"), true, &out) // in flight
	m.BeginStop(start, &out)
	m.Submit(start, 3, newJob("", "x"), true, &out)
	m.Submit(start, 4, newJob(ids[0], "x"), true, &out)
	is.Equal(len(out.Replies), 2)
	for _, r := range out.Replies {
		is.Equal(r.Result.State, job.NotRun)
		is.Equal(r.Result.Fault.Kind, fault.Stopping)
		is.True(r.Result.Fault.RetryAfter > 0)
	}
	m.HandleStoreReply(start, existingRowReply(&out, out.StoreCalls[0].Insert[0].Value), &out)
	is.Equal(len(out.Enqueue), 2) // the job in flight is accepted
	is.Equal(m.Unfinished(), Unfinished{Jobs: 2})
	runTask(m, running, 0, &out)
	runTask(m, "fee-1", 0, &out)
	is.Equal(len(out.Replies), 4)
	is.True(m.Idle())
}

// A durable answer is not returned for a different job with the same id.
func TestDurableAnswerOfDifferentJob(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	m.SetClasses(start, []class.Class{{Name: "urgent", DurableAnswers: true}})
	id := ID{Home: ref("a", 6), Issued: start, Number: 1}.String() // an earlier incarnation
	stored := encodeResult(&job.Result{State: job.Complete, Tasks: []task.Outcome{{TaskID: "x", State: task.Answered, Answer: []byte("1")}}}, jobHash(&job.Job{}))
	var out Output
	m.Submit(start, 1, newJob(id, "x"), true, &out)
	m.HandleStoreReply(start, existingRowReply(&out, stored), &out)
	is.Equal(out.Replies[0].Result.Fault.Kind, fault.IDReused)
	m.Show(start, 2, id, true, &out)
	m.HandleStoreReply(start, existingRowReply(&out, stored), &out)
	is.Equal(out.Replies[1].Result.State, job.Complete) // the answer is kept beyond the lifetime of its home
}

// A job that was refused as not run may be resubmitted with changed contents, a
// job that was accepted may not.
func TestCorrectedJob(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1)
	wrong, corrected, other := newJob("fee-1", "x"), newJob("fee-1", "x"), newJob("fee-1", "y")
	wrong.Class = "impossible"
	results := map[uint64]job.Result{}
	m := sim.nodes[0].manager
	step := func(call uint64, j job.Job) {
		var out Output
		m.Submit(sim.now, call, j, false, &out)
		for _, c := range out.StoreCalls {
			m.HandleStoreReply(sim.now, sim.applyCall(c), &out)
		}
		for _, r := range out.Replies {
			results[r.Call] = r.Result
		}
	}
	step(1, wrong)
	step(2, corrected)
	step(3, other)
	is.Equal(results[1].State, job.NotRun)
	is.Equal(results[1].Fault.Kind, fault.NoEndpointFits)
	is.Equal(results[2].State, job.Running)
	is.Equal(results[3].Fault.Kind, fault.IDReused)
}

// A stopping instance hands a new job with a caller-chosen id over to another
// instance, which becomes its home unless the id is already claimed.
func TestHandOver(t *testing.T) {
	here, there := ref("a", 7), ref("b", 3)
	j := newJob("fee-1", "x")
	tests := []struct {
		name string
		list []instance.Info
		row  []byte // the row that the other instance finds when it claims
		want fault.Kind
	}{
		{"successor claims the id", []instance.Info{{Ref: there}}, nil, 0},
		{"another instance has claimed the id", []instance.Info{{Ref: there}}, encodeClaim(ref("c", 4), 1, start), fault.SubmissionUnchecked},
		{"successor was replaced", []instance.Info{{Ref: there}}, nil, fault.HomeUnreachable},
		{"successor is stopping too", []instance.Info{{Ref: there, Draining: true}}, nil, fault.SubmissionUnchecked},
		{"no other instance", nil, nil, fault.SubmissionUnchecked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, successor := newManager("a", 7), newManager("b", 3)
			var out, successorOut Output
			m.SetInstances(start, tt.list, &out)
			m.BeginStop(start, &out)
			m.Submit(start, 1, j, true, &out)
			m.HandleStoreReply(start, storage.Reply{Number: out.StoreCalls[0].Number, Rows: make([]storage.Row, 1)}, &out)
			if len(out.Messages) == 0 {
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
				return
			}
			is.True(!m.Idle()) // its caller is still waiting
			if tt.want == fault.HomeUnreachable {
				stale := message.Message{From: ref("b", 9), To: here, Body: message.Stale{Request: 1}}
				m.Receive(start, stale, &out)
				last := out.StoreCalls[len(out.StoreCalls)-1].Number // read of the durable answer
				m.HandleStoreReply(start, storage.Reply{Number: last, Rows: make([]storage.Row, 1)}, &out)
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
				return
			}
			successor.Receive(start, out.Messages[0], &successorOut)
			reply := insertedReply(successorOut.StoreCalls[0])
			if tt.row != nil {
				reply = existingRowReply(&successorOut, tt.row)
			}
			successor.HandleStoreReply(start, reply, &successorOut)
			if tt.want == 0 {
				runTask(successor, "fee-1", 0, &successorOut)
			}
			is.Equal(successorOut.Messages[0].To, here)
			m.Receive(start, successorOut.Messages[0], &out)
			is.Equal(len(out.Replies), 1)
			if tt.want != 0 {
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
				successor.Receive(start, out.Messages[0], &successorOut) // a duplicate
				is.Equal(len(successorOut.StoreCalls), 1)                // refused again without a store call
				return
			}
			is.Equal(out.Replies[0].Result.State, job.Complete)
			is.True(m.Idle())
		})
	}
}
