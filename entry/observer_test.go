package entry_test

import (
	"fmt"

	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/submission"
	"github.com/lovagecrank/lovagecrank/task"
)

// observer checks the system's guarantees from what endpoints and callers see,
// independently of the code under test. A nil observer checks nothing.
type observer struct {
	// jobs are the submitted jobs, by call.
	jobs map[uint64]job.Job
	// refused holds the ids reported as not run while no other request for the
	// id was pending, with the number of submits of the id at that time.
	refused map[string]int
	// pending counts the requests without a reply, by id.
	pending    map[string]int
	submits    map[string]int
	replies    map[uint64]int
	violations []string
}

func newObserver() *observer {
	return &observer{
		jobs:    map[uint64]job.Job{},
		refused: map[string]int{},
		pending: map[string]int{},
		submits: map[string]int{},
		replies: map[uint64]int{},
	}
}

func (o *observer) reportf(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *observer) submitted(call uint64, j job.Job) {
	if o == nil {
		return
	}
	o.jobs[call] = j
	if j.SubmissionID != "" {
		o.submits[j.SubmissionID]++
		o.pending[j.SubmissionID]++
	}
}

func (o *observer) started(sim *simulation, s entry.Start) {
	if o == nil {
		return
	}
	if sim.starts[s.Ref] > 1 {
		o.reportf("task %v started %d times", s.Ref, sim.starts[s.Ref])
	}
	id := s.Ref.Submission
	if n, ok := o.refused[id]; ok && n == o.submits[id] {
		o.reportf("%s was refused as not run and started later", id)
	}
}

func (o *observer) replied(sim *simulation, r submission.Reply) {
	if o == nil {
		return
	}
	o.replies[r.Call]++
	if o.replies[r.Call] > 1 {
		o.reportf("call %d got %d replies", r.Call, o.replies[r.Call])
	}
	j, ok := o.jobs[r.Call]
	if !ok {
		return
	}
	if j.SubmissionID != "" && r.Result.SubmissionID != j.SubmissionID {
		o.reportf("call %d for %s got the answer of %s", r.Call, j.SubmissionID, r.Result.SubmissionID)
	}
	o.pending[j.SubmissionID]--
	switch r.Result.State {
	case job.Complete:
		o.checkComplete(j, r.Result)
	case job.NotRun:
		o.checkNotRun(sim, j, r.Result)
	case job.Failed, job.Running:
	}
}

func (o *observer) checkComplete(j job.Job, r job.Result) {
	if len(r.Tasks) != len(j.Tasks) {
		o.reportf("%s is complete with %d of %d answers", r.SubmissionID, len(r.Tasks), len(j.Tasks))
		return
	}
	for i, t := range r.Tasks {
		if t.State != task.Answered || t.TaskID != j.Tasks[i].ID || t.Answer == nil {
			o.reportf("%s is complete but task %d is %v", r.SubmissionID, i, t)
		}
	}
}

func (o *observer) checkNotRun(sim *simulation, j job.Job, r job.Result) {
	for i := range j.Tasks {
		if n := sim.starts[task.Ref{Submission: r.SubmissionID, Index: i}]; n > 0 {
			o.reportf("%s is reported as not run but task %d started", r.SubmissionID, i)
		}
	}
	if r.SubmissionID != "" && o.pending[r.SubmissionID] <= 0 {
		o.refused[r.SubmissionID] = o.submits[r.SubmissionID]
	}
}
