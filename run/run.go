package run

// The statuses of a run, as the endpoint's holder reports them to the task's
// home.
const (
	// Started means that the endpoint has started the run.
	Started Status = iota
	// NotRun means that the run provably never started and never will.
	NotRun
	// Done means that the run succeeded.
	Done
	// Failed means that the run failed, due to the task or the endpoint.
	Failed
	// Stopped means that the run was stopped on request.
	Stopped
	// Expired means that the run ended because the endpoint's lease expired, or
	// the endpoint stopped or restarted.
	Expired
	// Unconfirmed means that the outcome is unknown because the holder has lost
	// the endpoint. The run ends when the lease expires or when the next holder
	// stops it; the home gets no further update.
	Unconfirmed
	numStatuses
)

type (
	// Ref names one run of a task.
	Ref struct {
		// Task is the task's name, unique among all tasks of all jobs.
		Task string
		// Number is the number of the run among those of the task, from 1.
		Number int64
	}

	// Status is the status of a run.
	Status uint8
)

var statusNames = [numStatuses]string{"started", "not_run", "done", "failed", "stopped", "lapsed", "uncertain"}

// String returns the status's name in snake case.
func (s Status) String() string {
	if s >= numStatuses {
		return "unknown"
	}
	return statusNames[s]
}

// Valid reports whether s is one of the statuses.
func (s Status) Valid() bool { return s < numStatuses }

// Final reports whether the run has ended or never started. It is false for
// Unconfirmed.
func (s Status) Final() bool { return s != Started && s != Unconfirmed }
