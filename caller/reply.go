package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/internal/jsonappend"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// pollInterval is the Retry-After of a reply to a caller whose job is still
	// running.
	pollInterval = time.Second

	// taskReplyBytes is the estimated size in bytes of a task in a reply,
	// without its answer.
	taskReplyBytes = 96
)

// reply writes the result of a job. If the job is not finished, the HTTP status
// is runningStatus. If the wait for the result timed out, the job counts as
// running.
func (h *handler) reply(w http.ResponseWriter, runningStatus int, id string, r serviceResult) error {
	if errors.Is(r.err, context.DeadlineExceeded) {
		r = serviceResult{result: job.Result{SubmissionID: id, State: job.Running}}
	}
	if r.err != nil {
		return r.err
	}
	status := http.StatusOK
	switch {
	case r.result.State == job.Running:
		status = runningStatus
	case r.result.Fault != nil:
		status = r.result.Fault.Kind.Row().Status
		httpapi.SetRetryAfter(w, r.result.Fault.RetryAfter)
	}
	if r.result.State == job.Running {
		httpapi.SetRetryAfter(w, pollInterval)
	}
	size := 256 + len(r.result.Tasks)*taskReplyBytes
	for _, t := range r.result.Tasks {
		size += len(t.Answer)
	}
	httpapi.WriteBody(w, status, appendResult(make([]byte, 0, size), r.result))
	return nil
}

// appendResult appends the JSON object that describes a result.
func appendResult(b []byte, r job.Result) []byte {
	b = append(b, `{"submission_id":`...)
	b = jsonappend.String(b, r.SubmissionID)
	b = append(b, `,"state":"`...)
	b = append(b, r.State.String()...)
	b = append(b, '"')
	if r.Fault != nil {
		b = append(b, `,"error":`...)
		b = httpapi.AppendFault(b, r.Fault)
	}
	b = appendTime(b, "accepted", r.Accepted)
	b = appendTime(b, "finished", r.Finished)
	if len(r.Tasks) == 0 {
		return append(b, '}')
	}
	b = append(b, `,"tasks":[`...)
	for i := range r.Tasks {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendTask(b, &r.Tasks[i], r.State)
	}
	return append(b, "]}"...)
}

// appendTask appends the JSON object that describes the outcome of one task.
// Callers never get a partial answer: unless the job is complete, only the
// answers of failed tasks are included, because they contain the reason for the
// failure.
func appendTask(b []byte, t *task.Outcome, s job.State) []byte {
	b = append(b, `{"task_id":`...)
	b = jsonappend.String(b, t.TaskID)
	b = append(b, `,"state":"`...)
	b = append(b, t.State.String()...)
	b = append(b, '"')
	if t.Failed {
		b = append(b, `,"failed":true`...)
	}
	if t.Endpoint != "" {
		b = append(b, `,"endpoint":`...)
		b = jsonappend.String(b, t.Endpoint)
	}
	if t.State == task.Answered && (s == job.Complete || t.Failed) {
		b = append(b, `,"answer":`...)
		b = jsonappend.Raw(b, t.Answer)
	}
	return append(b, '}')
}

// appendTime appends a field with a time in RFC 3339 format. It appends nothing
// for the zero time.
func appendTime(b []byte, name string, t time.Time) []byte {
	if t.IsZero() {
		return b
	}
	b = append(b, `,"`...)
	b = append(b, name...)
	b = append(b, `":"`...)
	b = t.UTC().AppendFormat(b, time.RFC3339Nano)
	return append(b, '"')
}
