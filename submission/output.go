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
	// Output collects the actions that the driver performs after an input. The
	// driver may reuse it after Reset.
	Output struct {
		// Enqueue lists tasks to add to the queue, in order.
		Enqueue []QueuedTasks
		// Drop lists submissions whose waiting tasks must be removed from the
		// queue.
		Drop []string
		// Stop lists sent tasks whose answers nobody waits for any more. They
		// may be stopped on their endpoint.
		Stop       []task.Ref
		Messages   []message.Message
		Replies    []Reply
		StoreCalls []storage.Call
		Events     []event.Record
		// Ended lists accepted jobs that have just got their final result.
		Ended []EndedJob
		// Wake is when the driver should call Tick; zero means never. Every
		// method that takes an Output sets it.
		Wake time.Time
	}

	// QueuedTasks is a set of tasks of one job that wait to be started.
	QueuedTasks struct {
		// Job must not be modified.
		Job *job.Job
		// Accepted is when the job was accepted. It does not change when a
		// task is queued again.
		Accepted time.Time
		// Indexes are positions in Job.Tasks.
		Indexes []int
	}

	// EndedJob describes the end of an accepted job.
	EndedJob struct {
		SubmissionID string
		Class, Team  string
		// Dropped is the number of tasks that were in the queue at the end.
		Dropped  int
		State    job.State
		Accepted time.Time
		Finished time.Time
		// Fault is nil if State is Complete.
		Fault *fault.Error
	}

	// Reply is the result of a caller's call. It ends the call.
	Reply struct {
		Call   uint64
		Result job.Result
	}
)

// Reset empties the output and keeps its allocated memory.
func (o *Output) Reset() {
	clear(o.Enqueue)
	clear(o.Messages)
	clear(o.Replies)
	clear(o.StoreCalls)
	clear(o.Ended)
	*o = Output{
		Enqueue:    o.Enqueue[:0],
		Drop:       o.Drop[:0],
		Stop:       o.Stop[:0],
		Messages:   o.Messages[:0],
		Replies:    o.Replies[:0],
		StoreCalls: o.StoreCalls[:0],
		Events:     o.Events[:0],
		Ended:      o.Ended[:0],
	}
}
