package task

import "time"

// The states of a task.
const (
	// Waiting means that the task is accepted but not yet sent.
	Waiting State = iota
	// Sent means that an endpoint may have started the task.
	Sent
	// Answered means that the endpoint has answered.
	Answered
	// NotRun means that the task never started and never will.
	NotRun
	// Unknown means that the task was sent and no answer was received. It is
	// never sent again.
	Unknown
)

type (
	// State is the state of a task.
	State uint8

	// Ref identifies a task by its submission's id and its index in the job.
	Ref struct {
		Submission string
		Index      int
	}

	// Needs is the set of resources that a task occupies on an endpoint while
	// it runs.
	Needs struct {
		Cores        float64
		MemoryBytes  int64
		Accelerators int
	}

	// Task is one unit of work, sent to one endpoint.
	Task struct {
		// ID is unique within the job.
		ID string
		// Kind groups tasks with similar run times. It may be empty.
		Kind string
		// Payload is JSON that is sent to the endpoint unchanged.
		Payload []byte
		// Idempotent reports whether a second run would be harmless. The
		// system doesn't start such a task twice either.
		Idempotent bool
		// Needs is the declared resource demand.
		Needs Needs
		// RunTime is the declared run time; zero if not declared.
		RunTime time.Duration
	}

	// Outcome is the known state and answer of a task.
	Outcome struct {
		TaskID string
		State  State
		// Answer is the endpoint's JSON answer if State is Answered.
		Answer []byte
		// Failed reports whether the task ran on the endpoint and failed.
		Failed bool
		// Endpoint is the id of the endpoint that the task was sent to, if
		// any.
		Endpoint string
	}
)

// String returns the state's wire name.
func (s State) String() string {
	switch s {
	case Waiting:
		return "waiting"
	case Sent:
		return "sent"
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Max returns the larger of each resource.
func (n Needs) Max(o Needs) Needs {
	return Needs{
		Cores:        max(n.Cores, o.Cores),
		MemoryBytes:  max(n.MemoryBytes, o.MemoryBytes),
		Accelerators: max(n.Accelerators, o.Accelerators),
	}
}

// Min returns the smaller of each resource.
func (n Needs) Min(o Needs) Needs {
	return Needs{
		Cores:        min(n.Cores, o.Cores),
		MemoryBytes:  min(n.MemoryBytes, o.MemoryBytes),
		Accelerators: min(n.Accelerators, o.Accelerators),
	}
}
