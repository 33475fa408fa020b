package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var limits = Limits{
	BodyBytes:    4096,
	TasksPerJob:  3,
	PayloadBytes: 64,
	HeaderBytes:  2048,
	IdleTime:     5 * time.Second,
	ReadTime:     200 * time.Millisecond,
	WaitTime:     5 * time.Second,
}

// fakeService is a Service that returns result and err at once. If block is true,
// waits last until their context ends.
type fakeService struct {
	submitted chan job.Job
	result    job.Result
	err       error
	// ended receives the context's error when a blocked Submit returns.
	ended chan error
	block bool
}

func (f *fakeService) Submit(ctx context.Context, j job.Job) (job.Result, error) {
	f.submitted <- j
	if f.block {
		<-ctx.Done()
		f.ended <- ctx.Err()
		return job.Result{}, ctx.Err()
	}
	f.result.SubmissionID = j.SubmissionID
	return f.result, f.err
}

func (f *fakeService) SubmitAsync(_ context.Context, j job.Job) (job.Result, error) {
	f.submitted <- j
	return job.Result{SubmissionID: j.SubmissionID}, f.err
}

func (f *fakeService) Show(ctx context.Context, _ string, wait bool) (job.Result, error) {
	if wait && f.block {
		<-ctx.Done()
		return job.Result{}, ctx.Err()
	}
	return f.result, f.err
}

func (f *fakeService) Cancel(context.Context, string) (job.Result, error) { return f.result, f.err }

func (f *fakeService) IssueIDs(_ context.Context, n int) ([]string, error) {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("issued-", i)
	}
	return ids, f.err
}

func (f *fakeService) Ready() error { return f.err }

func startServer(t *testing.T, f *fakeService, l Limits) string {
	f.submitted = make(chan job.Job, 10)
	f.ended = make(chan error, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := NewServer(NewHandler(Config{Service: f, Limits: l}), l, httpapi.Bounds{}, nil, nil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() { s.Close(); <-done; http.DefaultTransport.(*http.Transport).CloseIdleConnections() })
	return listener.Addr().String()
}

type wireReply struct {
	SubmissionID string `json:"submission_id"`
	State        string `json:"state"`
	Error        struct {
		Kind, Reason, Remedy string
		RetryAfterMS         int64 `json:"retry_after_ms"`
	}
	Tasks []struct {
		TaskID string `json:"task_id"`
		State  string
		Answer json.RawMessage
	}
}

func request(t *testing.T, method, url, body string, headers ...string) (*http.Response, wireReply) {
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.NoErr(err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	is.NoErr(err)
	var r wireReply
	is.NoErr(json.Unmarshal(data, &r)) // every reply is JSON
	return res, r
}

const goodJob = `{"submission_id":"s-1","class":"urgent","team":"t","deadline":"5s","tasks":[{"task_id":"a","payload":{"x": 1},"cores":1.5,"run_time_ms":50}]}`

func TestSubmitAndWait(t *testing.T) {
	is := is.New(t)
	f := &fakeService{result: job.Result{State: job.Complete, Tasks: []task.Outcome{{TaskID: "a", State: task.Answered, Answer: []byte(`{"y": 2}`)}}}}
	addr := startServer(t, f, limits)
	res, r := request(t, "POST", "http://"+addr+"/v1/jobs", goodJob, "Traceparent", "00-x")
	is.Equal(res.StatusCode, 200)
	is.Equal(r.State, "complete")
	is.Equal(string(r.Tasks[0].Answer), `{"y": 2}`)
	j := <-f.submitted
	is.Equal(j.SubmissionID, "s-1")
	is.Equal(j.TraceParent, "00-x")
	is.True(time.Until(j.Deadline) > 0)
	is.Equal(j.Tasks, []task.Task{{ID: "a", Payload: []byte(`{"x": 1}`), Needs: task.Needs{Cores: 1.5}, RunTime: 50 * time.Millisecond}})
}

func TestRespondAsync(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, &fakeService{}, limits)
	res, r := request(t, "POST", "http://"+addr+"/v1/jobs", strings.Replace(goodJob, `"submission_id":"s-1",`, "", 1), "Prefer", "wait=1, Respond-Async")
	is.Equal(res.StatusCode, 202)
	is.Equal(res.Header.Get("Location"), "/v1/jobs/issued-0")
	is.Equal(r.State, "running")
	is.Equal(r.SubmissionID, "issued-0")
}

func TestNoPartialAnswer(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, &fakeService{result: job.Result{State: job.Failed, Fault: fault.New(fault.TaskUnknown, ""), Tasks: []task.Outcome{
		{TaskID: "a", State: task.Answered, Answer: []byte(`1`)},
		{TaskID: "b", State: task.Answered, Failed: true, Answer: []byte(`"why"`)},
		{TaskID: "c", State: task.Unknown},
	}}}, limits)
	_, r := request(t, "GET", "http://"+addr+"/v1/jobs/s", "")
	is.Equal(r.State, "failed")
	is.Equal(len(r.Tasks[0].Answer), 0)
	is.Equal(string(r.Tasks[1].Answer), `"why"`) // the reason why the task failed
	is.Equal(r.Tasks[2].State, "unknown")
}

func TestRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	refusal := fault.New(fault.QueueFull, "").WithRetryAfter(1500 * time.Millisecond)
	addr := startServer(t, &fakeService{result: job.Result{State: job.NotRun, Fault: refusal}}, limits)
	res, r := request(t, "POST", "http://"+addr+"/v1/jobs", goodJob)
	is.Equal(res.StatusCode, 503)
	is.Equal(res.Header.Get("Retry-After"), "2")
	is.Equal(r.Error.RetryAfterMS, int64(1500))
	is.Equal(r.State, "not_run")
	addr = startServer(t, &fakeService{err: errors.New("odd")}, limits)
	res, r = request(t, "POST", "http://"+addr+"/v1/jobs", goodJob)
	is.Equal(res.StatusCode, 500)
	is.Equal(r.State, "unknown") // after an internal error the state of the job is unknown
}

func TestWaitTimesOutBeforeJobFinishes(t *testing.T) {
	is := is.New(t)
	shortWait := limits
	shortWait.WaitTime = 20 * time.Millisecond
	f := &fakeService{block: true}
	addr := startServer(t, f, shortWait)
	res, r := request(t, "POST", "http://"+addr+"/v1/jobs", goodJob)
	is.Equal(res.StatusCode, 202)
	is.Equal(res.Header.Get("Location"), "/v1/jobs/s-1")
	is.Equal(r.State, "running")
	res, r = request(t, "GET", "http://"+addr+"/v1/jobs/s-1?wait=10ms", "")
	is.Equal(res.StatusCode, 200)
	is.Equal(r.State, "running")
}

func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	f := &fakeService{block: true}
	addr := startServer(t, f, limits)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/v1/jobs", strings.NewReader(goodJob))
	is.NoErr(err)
	go func() { <-f.submitted; cancel() }()
	_, err = http.DefaultClient.Do(req)
	is.True(errors.Is(err, context.Canceled))
	is.True(errors.Is(<-f.ended, context.Canceled)) // the wait ends without a call of Cancel
}

func TestReadTimeDoesNotLimitWait(t *testing.T) {
	is := is.New(t)
	longWait := limits
	longWait.ReadTime = 50 * time.Millisecond
	longWait.WaitTime = 300 * time.Millisecond
	f := &fakeService{block: true}
	addr := startServer(t, f, longWait)
	_, r := request(t, "POST", "http://"+addr+"/v1/jobs", goodJob)
	is.Equal(r.State, "running")
	is.True(errors.Is(<-f.ended, context.DeadlineExceeded)) // the wait time ended, not the read deadline
}

func TestBadRequests(t *testing.T) {
	job := func(tasks string) string { return `{"class":"c","team":"t","tasks":[` + tasks + `]}` }
	const ok = `{"task_id":"a"}`
	tests := []struct {
		name, method, path, body string
		status                   int
		reason                   string
	}{
		{"empty body", "POST", "/v1/jobs", "", 400, "ends early"},
		{"not an object", "POST", "/v1/jobs", "[]", 400, "not a JSON object"},
		{"incomplete body", "POST", "/v1/jobs", goodJob[:60], 400, "ends early"},
		{"trailing garbage", "POST", "/v1/jobs", job(ok) + "{}", 400, "goes on after"},
		{"invalid trailing garbage", "POST", "/v1/jobs", job(ok) + "}", 400, "not valid JSON"},
		{"unknown field", "POST", "/v1/jobs", `{"klass":"c"}`, 400, "klass: is not a field"},
		{"duplicate field", "POST", "/v1/jobs", `{"class":"c","class":"d"}`, 400, "class: is given twice"},
		{"empty job", "POST", "/v1/jobs", job(""), 400, "tasks: is empty"},
		{"no tasks", "POST", "/v1/jobs", `{"class":"c","team":"t"}`, 400, "tasks: is empty"},
		{"no class", "POST", "/v1/jobs", `{"team":"t","tasks":[` + ok + `]}`, 400, "class: is missing"},
		{"tasks not a list", "POST", "/v1/jobs", `{"tasks":5}`, 400, "tasks: is not a list"},
		{"duplicate task id", "POST", "/v1/jobs", job(ok + "," + ok), 400, "tasks[1].task_id"},
		{"too many tasks", "POST", "/v1/jobs", job(`{"task_id":"a"},{"task_id":"b"},{"task_id":"c"},{"task_id":"d"}`), 413, "at most 3"},
		{"task without id", "POST", "/v1/jobs", job(`{}`), 400, "tasks[0].task_id: is missing"},
		{"unknown field of a task", "POST", "/v1/jobs", job(`{"task_id":"a","x":1}`), 400, "tasks[0]: \"x\" is not a field"},
		{"NaN", "POST", "/v1/jobs", job(`{"task_id":"a","cores":NaN}`), 400, "not valid JSON"},
		{"quoted NaN", "POST", "/v1/jobs", job(`{"task_id":"a","cores":"NaN"}`), 400, "tasks[0].cores: got a JSON string"},
		{"float overflow", "POST", "/v1/jobs", job(`{"task_id":"a","run_time_ms":1e999}`), 400, "tasks[0].run_time_ms"},
		{"negative cores", "POST", "/v1/jobs", job(`{"task_id":"a","cores":-1}`), 400, "tasks[0].cores"},
		{"negative memory", "POST", "/v1/jobs", job(`{"task_id":"a","memory_bytes":-1}`), 400, "tasks[0].memory_bytes"},
		{"huge run time", "POST", "/v1/jobs", job(`{"task_id":"a","run_time_ms":1e30}`), 400, "tasks[0].run_time_ms"},
		{"payload too large", "POST", "/v1/jobs", job(`{"task_id":"a","payload":"` + strings.Repeat("x", 100) + `"}`), 413, "tasks[0].payload: has 102 bytes"},
		{"body too large", "POST", "/v1/jobs", job(`{"task_id":"a","payload":"` + strings.Repeat("x", 100_000) + `"}`), 413, "exceeds 4096 bytes"},
		{"id too long", "GET", "/v1/jobs/" + strings.Repeat("i", 1900), "", 400, "has 1900 bytes and the limit is 128"},
		{"header too large", "GET", "/v1/jobs/" + strings.Repeat("i", 10_000), "", 413, "header has"},
		{"unsafe id", "POST", "/v1/jobs", `{"submission_id":"a/b","class":"c","team":"t","tasks":[` + ok + `]}`, 400, "submission_id"},
		{"deadline in the past", "POST", "/v1/jobs", `{"deadline":"2020-01-01T00:00:00Z"}`, 400, "has passed"},
		{"deadline not a time", "POST", "/v1/jobs", `{"deadline":"soon"}`, 400, "deadline: \"soon\""},
		{"wait not a duration", "GET", "/v1/jobs/a?wait=soon", "", 400, "wait: \"soon\""},
		{"no count", "POST", "/v1/submission_ids", `{}`, 400, "count"},
		{"count too large", "POST", "/v1/submission_ids", `{"count":1000000}`, 400, "count"},
		{"count and trailing garbage", "POST", "/v1/submission_ids", `{"count":1}]`, 400, "goes on after"},
		{"no such path", "GET", "/v2/jobs", "", 404, "no such path"},
		{"no such method", "PUT", "/v1/jobs", "", 405, "method"},
	}
	f := &fakeService{}
	addr := startServer(t, f, limits)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			res, r := request(t, tt.method, "http://"+addr+tt.path, tt.body)
			is.Equal(res.StatusCode, tt.status)
			if !strings.Contains(r.Error.Reason, tt.reason) {
				t.Errorf("reason %q lacks %q", r.Error.Reason, tt.reason)
			}
			is.True(r.Error.Remedy != "")
			is.Equal(r.State, "not_run")
			is.Equal(len(f.submitted), 0)
		})
	}
}

func TestIncompleteBody(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, &fakeService{}, limits)
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(goodJob), goodJob[:40])
	res, err := http.ReadResponse(bufio.NewReader(conn), nil) // the rest of the body never arrives
	is.NoErr(err)
	defer res.Body.Close()
	is.Equal(res.StatusCode, 400)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "did not arrive in time"))
}

func TestHealthAndIDs(t *testing.T) {
	is := is.New(t)
	f := &fakeService{}
	addr := startServer(t, f, limits)
	res, _ := request(t, "GET", "http://"+addr+"/healthz", "")
	is.Equal(res.StatusCode, 200)
	res, _ = request(t, "GET", "http://"+addr+"/readyz", "")
	is.Equal(res.StatusCode, 200)
	res, _ = request(t, "POST", "http://"+addr+"/v1/submission_ids", `{"count":2}`)
	is.Equal(res.StatusCode, 200)
	f.err = fault.New(fault.Stopping, "").WithRetryAfter(time.Second)
	res, r := request(t, "GET", "http://"+addr+"/readyz", "")
	is.Equal(res.StatusCode, 503)
	is.Equal(r.Error.Kind, "stopping")
}
