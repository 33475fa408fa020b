package entry

import (
	"time"

	"github.com/lovagecrank/lovagecrank/dispatch"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/submission"
	"github.com/lovagecrank/lovagecrank/task"
)

// The kinds of steps in a submission's history.
const (
	// Accepted means that the job was accepted.
	Accepted StepKind = iota
	// Waiting means that a task is waiting now.
	Waiting
	// Sent means that a task was sent to an endpoint.
	Sent
	// Refused means that the endpoint refused the task.
	Refused
	// Answered means that the endpoint answered.
	Answered
	// TaskFailed means that the task ran and failed.
	TaskFailed
	// Lost means that the outcome of the task is not known.
	Lost
	// Ended means that the job has its final result.
	Ended
)

// historySteps is the maximum number of steps kept for all submissions
// together.
const historySteps = 1 << 16

// wholeJob is the task index of steps that concern the whole job.
const wholeJob = -1

type (
	// StepKind is the kind of a step.
	StepKind uint8

	// Step is one event in the history of a submission.
	Step struct {
		Time time.Time
		Ref  task.Ref
		Kind StepKind
		// Endpoint is the id of the endpoint, if the step involves one.
		Endpoint string
		// Waited is the time from acceptance to the start if Kind is Sent, and
		// the time waited so far if Kind is Waiting.
		Waited time.Duration
		// Reason explains the step. It may be empty.
		Reason string
	}

	// Explanation is the history of one submission.
	Explanation struct {
		Home instance.Ref
		// Steps are in chronological order. Old ones are dropped.
		Steps []Step
	}

	// history is a ring buffer of the latest steps. Its zero value is empty.
	history struct {
		steps []Step
		next  int
	}
)

// String returns the step kind as it appears in operators' answers.
func (k StepKind) String() string {
	return [...]string{"accepted", "waits", "sent", "refused", "answered", "failed", "lost", "ended"}[k]
}

func (h *history) add(s Step) {
	if len(h.steps) < historySteps {
		h.steps = append(h.steps, s)
		return
	}
	h.steps[h.next] = s
	h.next = (h.next + 1) % historySteps
}

// forSubmission returns a submission's steps in chronological order.
func (h *history) forSubmission(id string) []Step {
	var found []Step
	for i := range h.steps {
		s := h.steps[(h.next+i)%len(h.steps)]
		if s.Ref.Submission == id {
			found = append(found, s)
		}
	}
	return found
}

// Explain returns the history of a submission whose home is this instance, and
// why its waiting tasks wait. It returns a NotFound error if it has no steps of
// the submission.
func (m *Machine) Explain(now time.Time, id string) (Explanation, *fault.Error) {
	e := Explanation{Home: m.settings.Self.Ref, Steps: m.history.forSubmission(id)}
	for _, w := range m.scheduler.Waits(now, id) {
		e.Steps = append(e.Steps, Step{Time: now, Ref: w.Ref, Kind: Waiting, Waited: now.Sub(w.Since), Reason: waitReason(w)})
	}
	if len(e.Steps) > 0 {
		return e, nil
	}
	if parsed, f := submission.ParseID(id); f == nil && parsed.Home != m.settings.Self.Ref {
		return e, fault.New(fault.NotFound, "the home of %q is %s in %s; ask that instance", id, parsed.Home.ID, parsed.Home.DataCentre)
	}
	return e, fault.New(fault.NotFound, "submission %q", id)
}

func waitReason(w dispatch.Wait) string {
	if w.Class == "" {
		return w.Reason.String()
	}
	return w.Reason.String() + " " + w.Class
}

func stepKindOf(o endpoint.Outcome) StepKind {
	switch o {
	case endpoint.Answered:
		return Answered
	case endpoint.Failed:
		return TaskFailed
	case endpoint.Refused:
		return Refused
	default:
		return Lost
	}
}
