package run

// The states of a run, as its holder tells them to the task's home.
const (
	// Started means that the endpoint has begun the run.
	Started Status = iota
	// NotRun means proof that the run never began and never will.
	NotRun
	// Done means that the run ended with success.
	Done
	// Failed means that the run ended by its own or the endpoint's fault.
	Failed
	// Stopped means that the run was ended by order.
	Stopped
	// Lapsed means that the run ended with the endpoint's lease, or with the
	// endpoint.
	Lapsed
	// Uncertain means that the holder has lost the endpoint: the run ends
	// with the lease, or is stopped by the next holder, and nobody tells.
	Uncertain
	statuses
)

type (
	// Ref names one run of a task.
	Ref struct {
		// Task is the task's name, unique among all tasks of all jobs.
		Task string
		// Number counts the task's runs from 1.
		Number int64
	}

	// Status is how far a run has come.
	Status uint8
)

var names = [statuses]string{"started", "not_run", "done", "failed", "stopped", "lapsed", "uncertain"}

// String returns the status in snake case.
func (s Status) String() string {
	if s >= statuses {
		return "unknown"
	}
	return names[s]
}

// Valid reports whether s is one of the statuses.
func (s Status) Valid() bool { return s < statuses }

// Final reports whether the run has ended or never began.
func (s Status) Final() bool { return s != Started && s != Uncertain }
