package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/submission"
)

// TestRunTimeAfterJobEndIsIgnored guards against a memory leak: the entry of a
// task that answers after its job has ended would never be removed.
func TestRunTimeAfterJobEndIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newStatistics()
	s.jobAccepted("a")
	s.recordRunTime("a", time.Second)
	is.Equal(s.longestRuns["a"], time.Second)
	s.jobEnded(submission.EndedJob{SubmissionID: "a", Class: "urgent", State: job.Failed}, time.Second)
	s.recordRunTime("a", 2*time.Second) // a task that was still running when the job failed
	is.Equal(len(s.longestRuns), 0)
}
