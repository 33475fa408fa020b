package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

type (
	// Output collects what the driver must carry out after an input. The
	// driver may reuse it after Reset.
	Output struct {
		// Enqueue hands tasks to the queue, in order.
		Enqueue []Batch
		// Drop names submissions whose waiting tasks leave the queue.
		Drop []string
		// Stop names sent tasks whose answers nobody waits for any more.
		// They may be stopped on their endpoint.
		Stop     []task.Ref
		Messages []message.Message
		Replies  []Reply
		Calls    []storage.Call
		Events   []event.Record
		// Ended are accepted jobs that have their final result now.
		Ended []Ended
		// Wake is when Tick is wanted; zero means not at all. It is set by
		// every method that takes an Output.
		Wake time.Time
	}

	// Batch is tasks of one job that wait for a start.
	Batch struct {
		// Job must not be changed.
		Job *job.Job
		// Accepted is when the job was accepted, not the task's last try.
		Accepted time.Time
		// Indexes are positions in Job.Tasks.
		Indexes []int
	}

	// Ended is an accepted job at its end.
	Ended struct {
		SubmissionID string
		Class, Team  string
		// Dropped is how many tasks were in the queue at the end.
		Dropped  int
		State    job.State
		Accepted time.Time
		Finished time.Time
		// Fault is nil if State is Complete.
		Fault *fault.Error
	}

	// Reply ends a caller's call.
	Reply struct {
		Call   uint64
		Result job.Result
	}
)

// Reset empties the output and keeps its memory.
func (o *Output) Reset() {
	clear(o.Enqueue)
	clear(o.Messages)
	clear(o.Replies)
	clear(o.Calls)
	clear(o.Ended)
	*o = Output{
		Enqueue:  o.Enqueue[:0],
		Drop:     o.Drop[:0],
		Stop:     o.Stop[:0],
		Messages: o.Messages[:0],
		Replies:  o.Replies[:0],
		Calls:    o.Calls[:0],
		Events:   o.Events[:0],
		Ended:    o.Ended[:0],
	}
}
