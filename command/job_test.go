package command

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/caller"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/matryer/is"
)

// fakeService completes every job except those of the team "refused".
type fakeService struct{}

func (fakeService) Submit(_ context.Context, j job.Job) (job.Result, error) {
	if j.Team == "refused" {
		return job.Refusal(j, fault.New(fault.OverQuota, "")), nil
	}
	outcomes := make([]task.Outcome, 0, len(j.Tasks))
	for _, t := range j.Tasks {
		outcomes = append(outcomes, task.Outcome{TaskID: t.ID, State: task.Answered, Answer: []byte("42")})
	}
	return job.Result{SubmissionID: j.SubmissionID, State: job.Complete, Tasks: outcomes}, nil
}

func (fakeService) SubmitAsync(_ context.Context, j job.Job) (job.Result, error) {
	return job.Result{SubmissionID: j.SubmissionID, State: job.Running}, nil
}

func (fakeService) Show(_ context.Context, id string, _ bool) (job.Result, error) {
	if id != "known" {
		return job.Result{}, fault.New(fault.NotFound, "%s", id)
	}
	return job.Result{SubmissionID: id, State: job.Running}, nil
}

func (fakeService) Cancel(_ context.Context, id string) (job.Result, error) {
	return job.Result{SubmissionID: id, State: job.Failed, Fault: fault.New(fault.Cancelled, "")}, nil
}

func (fakeService) IssueIDs(context.Context, int) ([]string, error) { return []string{"issued"}, nil }

func (fakeService) Ready() error { return nil }

// callerAddress serves the callers' HTTP API with a fakeService and returns its
// address.
func callerAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(caller.NewHandler(caller.Config{
		Service: fakeService{},
		Limits: caller.Limits{
			BodyBytes: 1 << 20, TasksPerJob: 100, PayloadBytes: 1 << 10, HeaderBytes: 1 << 14,
			IdleTime: time.Minute, ReadTime: time.Minute, WaitTime: time.Minute,
		},
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestJobCommands(t *testing.T) {
	address := callerAddress(t)
	refused := filepath.Join(t.TempDir(), "refused.json")
	is.New(t).NoErr(os.WriteFile(refused, []byte(`{"class":"c","team":"refused","tasks":[{"task_id":"t"}]}`), 0o600))
	tests := []struct {
		name   string
		args   []string
		status int
		// out is a substring of standard output, or of standard error if the
		// status is not 0.
		out string
	}{
		{"submit", []string{"submit", "../examples/jobs/filing-fees.json"}, statusOK, "submission issued: complete"},
		{"submit as JSON", []string{"submit", "-output", "json", "../examples/jobs/corner-sweep.json"}, statusOK, `"state": "complete"`},
		{"submit without waiting", []string{"submit", "-async", "../examples/jobs/filing-fees.json"}, statusOK, "running"},
		{"submit refused", []string{"submit", refused}, statusFailed, "LC1007"},
		{"submit missing file", []string{"submit", "none.json"}, statusFailed, "check the path"},
		{"submit empty input", []string{"submit", "-"}, statusFailed, "LC1001"},
		{"show", []string{"show", "known"}, statusOK, "running"},
		{"show waits", []string{"show", "-wait", "1s", "known"}, statusOK, "running"},
		{"show unknown", []string{"show", "unknown"}, statusFailed, "LC1016"},
		{"show invalid id", []string{"show", "a/../b?c"}, statusFailed, "LC1001"},
		{"cancel", []string{"cancel", "known"}, statusOK, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			args := append([]string{"job", tt.args[0], "-address", address}, tt.args[1:]...)
			status, out, errs := run(t, args...)
			is.Equal(status, tt.status)
			if status != statusOK {
				out = errs
			}
			is.True(strings.Contains(out, tt.out))
		})
	}
}
