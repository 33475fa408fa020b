package pool

import (
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// The evidence that a run is over or never began, other than its end in an
// endpoint's list.
const (
	stopAccepted        evidence = "its stop was accepted and has had time to complete"
	absentAfterStop     evidence = "a list requested after its stop was accepted lacks it"
	absentAfterStart    evidence = "a list requested after its start was accepted lacks it"
	absentAfterDeadline evidence = "a list requested after its start was sent, from a time when the start is late, lacks it"
	endpointOver        evidence = "the endpoint restarted, or its lease expired by the clock"
	leaseOver           evidence = "its lease must have expired"
	startNotReceived    evidence = "its holder never received the start"
)

// evidence is why a run counts as over, for logs.
type evidence string

// logConclusion logs that a run counts as over.
func (o *Output) logConclusion(ref run.Ref, place string, status run.Status, why evidence) {
	o.log(event.RunConcluded, ref.Task, fmt.Sprintf("run %d at %s counts as %s: %s", ref.Number, place, status, why))
}

// logFailedEnd logs that an endpoint has listed the end of a run as failed.
func (o *Output) logFailedEnd(e *endpointState, end End) {
	o.log(event.RunFailed, end.Run.Task, fmt.Sprintf("run %d at %s: end %d since its start at %s",
		end.Run.Number, e.info.ID, end.Number, e.info.StartedAt.UTC().Format(time.RFC3339Nano)))
}

// logFailure logs that the home has counted a failed run of a task.
func (o *Output) logFailure(t *homeTask, u message.RunUpdate) {
	o.log(event.FailureCounted, t.name, fmt.Sprintf("run %d at %s, held by %s: %d of %d",
		u.Run.Number, u.Endpoint, t.holder.ID, t.failures, max(t.job.Queue.Attempts, 1)))
}
