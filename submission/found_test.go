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

// These tests hold single histories that the property test found, or that it
// reaches too seldom.

// tableRow answers the last call of out with a row that was there before.
func tableRow(out *Output, value []byte) storage.Reply {
	c := out.Calls[len(out.Calls)-1]
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

func runTask(m *Manager, id string, index int, out *Output) {
	at := task.Ref{Submission: id, Index: index}
	attempt, _ := m.Sent(start, at, "e1")
	m.Finished(start, at, attempt, endpoint.Answered, []byte("1"), out)
}

func TestIDsBeyondTheirWindow(t *testing.T) {
	const window = defaultStartWindow
	tests := []struct {
		name  string
		after time.Duration
		want  fault.Kind
	}{
		{"answer kept", defaultRetention / 2, fault.Internal}, // complete
		{"answer dropped", defaultRetention + time.Second, fault.OutcomeUnknown},
		{"id forgotten", window + time.Second, fault.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newManager("a", 7)
			var out Output
			m.Submit(start, 1, jobOf("", "x"), true, &out)
			id := out.Enqueue[0].Job.SubmissionID
			runTask(m, id, 0, &out)
			out.Reset()
			now := start.Add(tt.after)
			m.Tick(now, &out)
			m.Submit(now, 2, jobOf(id, "x"), true, &out)
			is.Equal(len(out.Enqueue), 0)
			is.Equal(len(out.Replies), 1)
			if tt.want == fault.Internal {
				is.Equal(out.Replies[0].Result.State, job.Complete)
				return
			}
			is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
			whole, remnants := m.Remembered()
			is.True(whole == 0 && (remnants == 0 || tt.after < window)) // memory is bounded by the window
		})
	}
}

func TestClaimReplies(t *testing.T) {
	j := jobOf("fee-1", "x")
	own := func(claim uint64) []byte { return encodeClaim(ref("a", 7), claim, start) }
	tests := []struct {
		name     string
		doubt    []storage.Fate // replies before the row is told
		row      []byte
		enqueued int
		want     fault.Kind
	}{
		{"own row after a doubt", []storage.Fate{storage.Doubtful}, own(1), 1, 0},
		{"own row after a doubt and a refusal", []storage.Fate{storage.Doubtful, storage.NotApplied}, own(1), 1, 0},
		{"row of a claim that was forgotten", nil, own(9), 0, fault.OutcomeUnknown},
		{"row of an earlier incarnation", nil, encodeClaim(ref("a", 6), 1, start), 0, fault.OutcomeUnknown},
		{"row of an instance out of reach", nil, encodeClaim(ref("z", 6), 1, start), 0, fault.HomeUnreachable},
		{"row that can't be read", nil, []byte("{"), 0, fault.Internal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newManager("a", 7)
			var out Output
			now := start
			m.PeerLost(now, ref("z", 6), &out) // it was heard of and does not answer
			m.Submit(now, 1, j, true, &out)
			for _, fate := range tt.doubt {
				m.StoreReplied(now, storage.Reply{Number: out.Calls[len(out.Calls)-1].Number, Fate: fate}, &out)
				is.Equal(len(out.Replies), 0) // neither started nor refused while it is not known
				now = now.Add(time.Second)
				m.Tick(now, &out)
			}
			m.StoreReplied(now, tableRow(&out, tt.row), &out)
			if len(out.Calls[len(out.Calls)-1].Get) > 0 { // for a durable answer
				number := out.Calls[len(out.Calls)-1].Number
				m.StoreReplied(now, storage.Reply{Number: number, Rows: make([]storage.Row, 1)}, &out)
			}
			is.Equal(len(out.Enqueue), tt.enqueued)
			if tt.enqueued == 0 {
				is.Equal(len(out.Replies), 1)
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
			}
		})
	}
}

func TestAnswerToAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	home := ref("b", 3)
	var out Output
	m.SetInstances(start, []instance.Info{{Ref: ref("b", 2)}}, &out) // an older list
	id := ID{Home: home, Issued: start, Number: 1}.String()
	m.Submit(start, 1, jobOf(id, "x"), true, &out)
	is.Equal(len(out.Messages), 1) // forwarded all the same
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

func TestRepeatedRequestAfterRefusal(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1)
	m, from := w.nodes[0].manager, ref("b", 3)
	ids, f := m.IssueIDs(start.Add(time.Minute), 1)
	is.True(f == nil)
	j := jobOf(ids[0], "x")
	j.Deadline = start.Add(time.Second) // passed: refused as not run
	submit := message.Message{From: from, To: w.nodes[0].ref, Body: message.Submit{Request: 5, Job: j, Wait: true}}
	var out Output
	m.Receive(start.Add(time.Minute), submit, &out)
	j.Deadline = time.Time{} // what refused it before would not now
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
	m.Submit(start, 1, jobOf("fee-1", "x"), true, &out)
	m.Cancel(start, 2, "fee-1", &out)
	m.StoreReplied(start, tableRow(&out, out.Calls[0].Insert[0].Value), &out)
	is.Equal(len(out.Enqueue), 0)
	is.Equal(len(out.Replies), 2)
	for _, r := range out.Replies {
		is.Equal(r.Result.State, job.NotRun)
		is.Equal(r.Result.Fault.Kind, fault.Cancelled)
	}
	m.Submit(start, 3, jobOf("fee-1", "x"), true, &out)
	is.Equal(len(out.Enqueue), 0) // cancelled for good
}

func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	var out Output
	ids, _ := m.IssueIDs(start, 1)
	m.Submit(start, 1, jobOf("", "x"), true, &out)
	running := out.Enqueue[0].Job.SubmissionID
	m.Submit(start, 2, jobOf("fee-1", "x"), true, &out) // in flight
	m.BeginStop(start, &out)
	m.Submit(start, 3, jobOf("", "x"), true, &out)
	m.Submit(start, 4, jobOf(ids[0], "x"), true, &out)
	is.Equal(len(out.Replies), 2)
	for _, r := range out.Replies {
		is.Equal(r.Result.State, job.NotRun)
		is.Equal(r.Result.Fault.Kind, fault.Stopping)
		is.True(r.Result.Fault.RetryAfter > 0)
	}
	m.StoreReplied(start, tableRow(&out, out.Calls[0].Insert[0].Value), &out)
	is.Equal(len(out.Enqueue), 2) // what was in flight is accepted
	is.Equal(m.Lost(), Loss{Jobs: 2})
	runTask(m, running, 0, &out)
	runTask(m, "fee-1", 0, &out)
	is.Equal(len(out.Replies), 4)
	is.True(m.Idle())
}

func TestStoredAnswerOfOtherContents(t *testing.T) {
	is := is.New(t)
	m := newManager("a", 7)
	m.SetClasses(start, []class.Class{{Name: "urgent", DurableAnswers: true}})
	id := ID{Home: ref("a", 6), Issued: start, Number: 1}.String() // an earlier incarnation
	stored := encodeResult(&job.Result{State: job.Complete, Tasks: []task.Outcome{{TaskID: "x", State: task.Answered, Answer: []byte("1")}}}, hashOf(&job.Job{}))
	var out Output
	m.Submit(start, 1, jobOf(id, "x"), true, &out)
	m.StoreReplied(start, tableRow(&out, stored), &out)
	is.Equal(out.Replies[0].Result.Fault.Kind, fault.IDReused)
	m.Show(start, 2, id, true, &out)
	m.StoreReplied(start, tableRow(&out, stored), &out)
	is.Equal(out.Replies[1].Result.State, job.Complete) // the answer outlives its home
}

// A job that was refused as not run may come again corrected, one that was
// accepted may not.
func TestCorrectedJob(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1)
	wrong, corrected, other := jobOf("fee-1", "x"), jobOf("fee-1", "x"), jobOf("fee-1", "y")
	wrong.Class = "impossible"
	results := map[uint64]job.Result{}
	m := w.nodes[0].manager
	step := func(call uint64, j job.Job) {
		var out Output
		m.Submit(w.now, call, j, false, &out)
		for _, c := range out.Calls {
			m.StoreReplied(w.now, w.apply(c), &out)
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

// A stopping instance gives a new job with a chosen id to another one, which
// becomes its home unless there is one.
func TestHandOver(t *testing.T) {
	here, there := ref("a", 7), ref("b", 3)
	j := jobOf("fee-1", "x")
	tests := []struct {
		name string
		list []instance.Info
		row  []byte // that the other instance finds when it claims
		want fault.Kind
	}{
		{"taken over", []instance.Info{{Ref: there}}, nil, 0},
		{"a third has become its home", []instance.Info{{Ref: there}}, encodeClaim(ref("c", 4), 1, start), fault.SubmissionUnchecked},
		{"the other was replaced", []instance.Info{{Ref: there}}, nil, fault.HomeUnreachable},
		{"the other is leaving too", []instance.Info{{Ref: there, Leaving: true}}, nil, fault.SubmissionUnchecked},
		{"there is no other", nil, nil, fault.SubmissionUnchecked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, heir := newManager("a", 7), newManager("b", 3)
			var out, theirs Output
			m.SetInstances(start, tt.list, &out)
			m.BeginStop(start, &out)
			m.Submit(start, 1, j, true, &out)
			m.StoreReplied(start, storage.Reply{Number: out.Calls[0].Number, Rows: make([]storage.Row, 1)}, &out)
			if len(out.Messages) == 0 {
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
				return
			}
			is.True(!m.Idle()) // its caller waits here
			if tt.want == fault.HomeUnreachable {
				stale := message.Message{From: ref("b", 9), To: here, Body: message.Stale{Request: 1}}
				m.Receive(start, stale, &out)
				last := out.Calls[len(out.Calls)-1].Number // for a durable answer
				m.StoreReplied(start, storage.Reply{Number: last, Rows: make([]storage.Row, 1)}, &out)
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
				return
			}
			heir.Receive(start, out.Messages[0], &theirs)
			reply := claimAll(theirs.Calls[0])
			if tt.row != nil {
				reply = tableRow(&theirs, tt.row)
			}
			heir.StoreReplied(start, reply, &theirs)
			if tt.want == 0 {
				runTask(heir, "fee-1", 0, &theirs)
			}
			is.Equal(theirs.Messages[0].To, here)
			m.Receive(start, theirs.Messages[0], &out)
			is.Equal(len(out.Replies), 1)
			if tt.want != 0 {
				is.Equal(out.Replies[0].Result.Fault.Kind, tt.want)
				heir.Receive(start, out.Messages[0], &theirs) // repeated on the wire
				is.Equal(len(theirs.Calls), 1)                // and refused again
				return
			}
			is.Equal(out.Replies[0].Result.State, job.Complete)
			is.True(m.Idle())
		})
	}
}
