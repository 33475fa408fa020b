package submission

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

// insertedReply replies to a call that inserts rows as an empty store does.
func insertedReply(c storage.Call) storage.Reply {
	r := storage.Reply{Number: c.Number}
	for _, w := range c.Insert {
		r.Rows = append(r.Rows, storage.Row{Key: w.Key, Value: w.Value, Version: 1})
		r.Applied = append(r.Applied, true)
	}
	return r
}

func cancelAll(m *Manager, now time.Time, out *Output) {
	for _, b := range out.Enqueue {
		m.Cancel(now, 1, b.Job.SubmissionID, out)
	}
}

// BenchmarkSubmit measures one job of four tasks from submit to acceptance,
// with each kind of id.
func BenchmarkSubmit(b *testing.B) {
	for _, chosen := range []bool{false, true} {
		b.Run(map[bool]string{false: "issued", true: "chosen"}[chosen], func(b *testing.B) {
			m := newManager("a", 7)
			m.batcher.SetBudget(0, 0)
			j := newJob("", "p", "q", "r", "s")
			var out Output
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if chosen {
					j.SubmissionID = fmt.Sprint("fee-", i)
				}
				now = now.Add(2 * time.Millisecond)
				m.Submit(now, uint64(i), j, true, &out)
				for _, c := range out.StoreCalls {
					m.HandleStoreReply(now, insertedReply(c), &out)
				}
				cancelAll(m, now, &out)
				out.Reset()
				m.Tick(now, &out)
				out.Reset()
			}
		})
	}
}

// BenchmarkTask measures BeginAttempt and Finished for one task.
func BenchmarkTask(b *testing.B) {
	const tasks = 400
	m := newManager("a", 7)
	names := make([]string, tasks)
	for i := range names {
		names[i] = fmt.Sprint("t", i)
	}
	j := newJob("", names...)
	answer := []byte("1")
	var out Output
	now, next, id := start, tasks, ""
	b.ReportAllocs()
	for b.Loop() {
		if next == tasks {
			now = now.Add(50 * time.Millisecond)
			out.Reset()
			m.Tick(now, &out)
			m.Submit(now, 1, j, true, &out)
			next, id = 0, out.Enqueue[0].Job.SubmissionID
		}
		at := task.Ref{Submission: id, Index: next}
		attempt, _ := m.BeginAttempt(now, at, "e1")
		m.Finished(now, at, attempt, endpoint.Answered, answer, &out)
		next++
	}
}

// BenchmarkClaims claims caller-chosen ids in a store whose calls take 8 ms,
// with the store budget of one of seven instances, on a virtual clock. It
// reports the rows per write and the delay that a claim adds.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{1, 50, 500, 3000} { // jobs a second
		b.Run(fmt.Sprint(rate, "_a_second"), func(b *testing.B) {
			for b.Loop() {
				benchmarkClaimRate(b, rate)
			}
		})
	}
}

func benchmarkClaimRate(b *testing.B, rate int) {
	const (
		seconds    = 20
		storeDelay = 8 * time.Millisecond
	)
	m := newManager("a", 7)
	m.batcher.SetBudget(defaultStoreWrites/7.0, 0)
	var (
		out       Output
		pending   []storage.Call
		due       []time.Time
		latencies []time.Duration
		writes    int
	)
	submittedAt := map[string]time.Time{}
	step := time.Second / time.Duration(max(rate, 1000))
	next := start
	n := 0
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(step) {
		out.Reset()
		for ; !next.After(now); next = next.Add(time.Second / time.Duration(rate)) {
			id := fmt.Sprint("fee-", n)
			n++
			submittedAt[id] = now
			m.Submit(now, uint64(n), newJob(id, "x"), true, &out)
		}
		for len(due) > 0 && !due[0].After(now) {
			m.HandleStoreReply(now, insertedReply(pending[0]), &out)
			pending, due = pending[1:], due[1:]
		}
		m.Tick(now, &out)
		for _, c := range out.StoreCalls {
			pending, due = append(pending, c), append(due, now.Add(storeDelay))
			writes++
		}
		for _, e := range out.Enqueue {
			latencies = append(latencies, now.Sub(submittedAt[e.Job.SubmissionID]))
		}
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/seconds, "claims/s")
	b.ReportMetric(float64(len(latencies))/float64(writes), "claims/write")
	b.ReportMetric(float64(writes)/seconds, "writes/s")
	b.ReportMetric(latencies[len(latencies)/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1e3, "p99-ms")
}

// BenchmarkMemory measures the memory of one submission of four tasks: with its
// answer, and then as a tombstone.
func BenchmarkMemory(b *testing.B) {
	const jobs = 20_000
	for b.Loop() {
		m := newManager("a", 7)
		base := heapBytes()
		var out Output
		for i := range jobs {
			m.Submit(start, uint64(i), newJob("", "p", "q", "r", "s"), true, &out)
			id := out.Enqueue[0].Job.SubmissionID
			for t := range 4 {
				runTask(m, id, t, &out)
			}
			out.Reset()
		}
		withAnswers := heapBytes() - base
		now := start.Add(2 * defaultRetention)
		m.Tick(now, &out)
		out = Output{}
		tombstones := heapBytes() - base
		b.ReportMetric(float64(withAnswers)/jobs, "B/answer")
		b.ReportMetric(float64(tombstones)/jobs, "B/remnant")
		runtime.KeepAlive(m)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// TestTaskAllocatesNothing checks that BeginAttempt and Finished allocate no
// memory for a task that is answered.
func TestTaskAllocatesNothing(t *testing.T) {
	m := newManager("a", 7)
	var out Output
	m.Submit(start, 1, newJob("", make([]string, 1000)...), true, &out)
	id := out.Enqueue[0].Job.SubmissionID
	i := 0
	allocations := testing.AllocsPerRun(900, func() {
		at := task.Ref{Submission: id, Index: i}
		attempt, _ := m.BeginAttempt(start, at, "e1")
		m.Finished(start, at, attempt, endpoint.Answered, nil, &out)
		i++
	})
	if allocations > 0 {
		t.Errorf("a task allocates %v times; want none", allocations)
	}
}

func FuzzParseID(f *testing.F) {
	f.Add(ID{Home: ref("a", 7), Issued: start, Number: 1}.String())
	f.Add("lc1~~~~~")
	f.Add("lc1~%7e~a~1~1~1")
	f.Fuzz(func(t *testing.T, text string) {
		id, fault := ParseID(text)
		if fault == nil && id.String() != text {
			t.Errorf("%q was read as %q", text, id)
		}
		if fault == nil && len(text) > MaxIDLength {
			t.Errorf("an id of %d bytes was read", len(text))
		}
	})
}

func FuzzDecodeRows(f *testing.F) {
	f.Add(encodeClaim(ref("a", 7), 1, start))
	f.Add(encodeResult(&job.Result{State: job.Complete, Tasks: []task.Outcome{{TaskID: "x", State: task.Answered, Answer: []byte("1")}}}, 1))
	f.Fuzz(func(t *testing.T, value []byte) {
		if row, err := decodeClaim(value); err == nil && row.home().Incarnation == 0 {
			t.Errorf("%q names no home", value)
		}
		r, wantHash, err := decodeResult("fee-1", value)
		if err != nil {
			return
		}
		again, hash, err := decodeResult("fee-1", encodeResult(&r, wantHash))
		if err != nil || again.State != r.State || hash != wantHash || len(again.Tasks) != len(r.Tasks) {
			t.Errorf("%+v became %+v: %v", r, again, err)
		}
	})
}
