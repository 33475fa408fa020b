package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(goodJob))
	f.Add([]byte(`{"tasks":[{"task_id":"a"},{"task_id":"b","payload":[1,{"c":null}]}]}`))
	f.Add([]byte(`{"deadline":"2026-01-02T03:04:06Z"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := decodeJob(bytes.NewReader(data), limits, now)
		if err != nil {
			if k := fault.KindOf(err); k != fault.BadRequest && k != fault.TooLarge {
				t.Fatalf("kind %v: %v", k, err)
			}
			return
		}
		if len(j.Tasks) == 0 || len(j.Tasks) > limits.TasksPerJob {
			t.Fatalf("%d tasks", len(j.Tasks))
		}
		for _, tk := range j.Tasks {
			if len(tk.Payload) > 0 && !json.Valid(tk.Payload) || tk.Needs.Cores < 0 || tk.RunTime < 0 {
				t.Fatalf("task %+v", tk)
			}
		}
	})
}

func makeJob(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"class":"urgent","team":"t","tasks":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"task_id":"task-%d","kind":"corner","payload":{"corner":%d,"values":[1.5,2.5,3.5],"name":"amplifier"},"cores":1,"memory_bytes":1048576,"run_time_ms":50}`, i, i)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

func BenchmarkDecodeJob(b *testing.B) {
	largeLimits := limits
	largeLimits.TasksPerJob = 1000
	largeLimits.BodyBytes = 1 << 20
	for _, n := range []int{1, 10, 100} {
		data := makeJob(n)
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decodeJob(bytes.NewReader(data), largeLimits, now); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/task")
		})
	}
}

func makeResult(n int) job.Result {
	r := job.Result{SubmissionID: "s-1", State: job.Complete, Accepted: now, Finished: now}
	for i := range n {
		r.Tasks = append(r.Tasks, task.Outcome{TaskID: fmt.Sprint("task-", i), State: task.Answered, Endpoint: "w-1", Answer: []byte(`{"volts":[1.5,2.5,3.5],"iterations":7}`)})
	}
	return r
}

type jsonTask struct {
	TaskID   string          `json:"task_id"`
	State    string          `json:"state"`
	Endpoint string          `json:"endpoint,omitempty"`
	Answer   json.RawMessage `json:"answer"`
}

type jsonResult struct {
	SubmissionID string     `json:"submission_id"`
	State        string     `json:"state"`
	Accepted     time.Time  `json:"accepted"`
	Finished     time.Time  `json:"finished"`
	Tasks        []jsonTask `json:"tasks"`
}

func encodeWithJSONPackage(r job.Result) ([]byte, error) {
	l := jsonResult{r.SubmissionID, r.State.String(), r.Accepted, r.Finished, make([]jsonTask, 0, len(r.Tasks))}
	for _, t := range r.Tasks {
		l.Tasks = append(l.Tasks, jsonTask{t.TaskID, t.State.String(), t.Endpoint, t.Answer})
	}
	return json.Marshal(l)
}

func TestAppendResultMatchesJSONPackage(t *testing.T) {
	want, err := encodeWithJSONPackage(makeResult(3))
	if got := appendResult(nil, makeResult(3)); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("got\n%s\nwant\n%s", got, want)
	}
}

func BenchmarkEncodeResult(b *testing.B) {
	r := makeResult(100)
	b.Run("append", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			appendResult(make([]byte, 0, 16<<10), r)
		}
	})
	b.Run("library", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := encodeWithJSONPackage(r); err != nil {
				b.Fatal(err)
			}
		}
	})
}
