package pool

import (
	"fmt"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
)

// maxHistory is the maximum number of tasks in a log line.
const maxHistory = 16

// description returns what a job asks for, for its log line: its queue, its number of
// tasks, the most cores that one of them needs, the estimate of its longest chain and its
// goal. With these, package reference can serve the jobs of a log.
func (j *homeJob) description() string {
	tasks, cores := 0, 0.0
	for _, s := range j.Steps {
		tasks += s.Tasks
		cores = max(cores, s.Needs.Cores)
	}
	return fmt.Sprintf("queue=%s priority=%d tasks=%d cores=%.4g estimate=%s goal=%s",
		j.Queue.Name, j.Queue.Priority, tasks, cores, milliseconds(longestChain(j.Steps)), milliseconds(j.goal.Sub(j.arrived)))
}

// history returns a summary of a job for its log line: its description, its response
// time, and the last run of each task with its holder and endpoint.
func (j *homeJob) history(now time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s took=%s", j.description(), milliseconds(now.Sub(j.arrived)))
	switch {
	case j.late:
		fmt.Fprintf(&b, " late waited=%s", milliseconds(j.waited))
	case j.deferred:
		b.WriteString(" deferred")
	}
	b.WriteString(" runs=")
	n := 0
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if n == maxHistory {
				b.WriteString("...")
				return b.String()
			}
			if n > 0 {
				b.WriteByte(',')
			}
			t.describe(&b, j.arrived)
			n++
		}
	}
	return b.String()
}

// describe writes step.index#run@endpoint/holder+start, followed by the state
// unless the task is done, and by the numbers of its failed runs and of the starts
// that holders declined, if there are any. start is the time from the job's arrival
// to the start of the last run.
func (t *homeTask) describe(b *strings.Builder, arrived time.Time) {
	fmt.Fprintf(b, "%d.%d#%d", t.step, t.index, t.number)
	if t.endpoint != "" {
		b.WriteString("@" + t.endpoint)
	}
	if t.holder.ID != "" {
		b.WriteString("/" + t.holder.ID)
	}
	if !t.startedAt.IsZero() {
		b.WriteString("+" + milliseconds(t.startedAt.Sub(arrived)).String())
	}
	switch t.state {
	case placed:
		b.WriteString("(running)")
	case waiting, blocked:
		b.WriteString("(waiting)")
	}
	if t.failures > 0 {
		fmt.Fprintf(b, "(%d failed)", t.failures)
	}
	if t.declined > 0 {
		fmt.Fprintf(b, "(%d declined)", t.declined)
	}
}

// milliseconds rounds a duration for a log line.
func milliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// logAnswer logs how a job ended and which runs it had.
func (m *Machine) logAnswer(now time.Time, j *homeJob, f *fault.Error, out *Output) {
	kind, reason := event.JobAnswered, "complete"
	switch {
	case f != nil && f.Kind.Row().NotRun:
		kind, reason = event.JobRefused, f.Error()
	case f != nil:
		kind, reason = event.JobFailed, f.Error()
	}
	out.log(kind, j.ID, reason+"; "+j.history(now))
}
