package caller

import (
	"context"

	"github.com/lovagecrank/lovagecrank/job"
)

// Service is the part of an instance that serves callers. An error is either a
// [fault.Error] or the context's error. A refused job is not an error but a
// result with the state [job.NotRun]. If the context ends, only the wait ends; the
// job continues.
type Service interface {
	// Submit submits a job and waits for its final result.
	Submit(ctx context.Context, j job.Job) (job.Result, error)
	// SubmitAsync submits a job. It returns when the job is accepted, with the
	// state [job.Running], or has a final result.
	SubmitAsync(ctx context.Context, j job.Job) (job.Result, error)
	// Show returns the current result of a job. If wait is true, it waits for the
	// final result.
	Show(ctx context.Context, submissionID string, wait bool) (job.Result, error)
	// Cancel cancels a job and returns its result.
	Cancel(ctx context.Context, submissionID string) (job.Result, error)
	// IssueIDs returns n new submission ids. Their home is this instance.
	IssueIDs(ctx context.Context, n int) ([]string, error)
	// Ready returns nil if the instance accepts jobs, and otherwise the reason why
	// it does not.
	Ready() error
}
