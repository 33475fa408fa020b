package job

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/task"
)

// The states of a job.
const (
	// Running means that the job is accepted and not finished.
	Running State = iota
	// Complete means that every task has answered.
	Complete
	// Failed means that the job ended without a complete answer.
	Failed
	// NotRun means that no task has started or ever will.
	NotRun
)

type (
	// State is the state of a job.
	State uint8

	// Job is a set of tasks that a caller submits and that are answered
	// together.
	Job struct {
		// SubmissionID identifies the job. If it is empty, the system issues
		// an id.
		SubmissionID string
		Class        string
		Team         string
		// Deadline is set by the caller; zero means none.
		Deadline time.Time
		// TraceParent is the caller's trace context in the format of the W3C
		// traceparent header. It may be empty.
		TraceParent string
		Tasks       []task.Task
	}

	// Result is the state of a job and its tasks. It is final, and never
	// changes, once State is not Running.
	Result struct {
		SubmissionID string
		State        State
		// Fault is set if State is Failed or NotRun.
		Fault *fault.Error
		// Tasks are the outcomes in the order of the job's tasks.
		Tasks []task.Outcome
		// Accepted and Finished are times by the home's clock.
		Accepted, Finished time.Time
	}
)

// String returns the state's wire name.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	default:
		return "not_run"
	}
}

// Refusal returns the NotRun result of a job that was refused before any task
// started.
func Refusal(j Job, f *fault.Error) Result {
	outcomes := make([]task.Outcome, len(j.Tasks))
	for i, t := range j.Tasks {
		outcomes[i] = task.Outcome{TaskID: t.ID, State: task.NotRun}
	}
	return Result{SubmissionID: j.SubmissionID, State: NotRun, Fault: f, Tasks: outcomes}
}
