package entry

import (
	"time"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/dispatch"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/submission"
	"github.com/lovagecrank/lovagecrank/task"
)

// DefaultTaskTimeout is the default time limit after which an endpoint ends a
// task.
const DefaultTaskTimeout = 60 * time.Second

type (
	// Settings are the parameters of a Machine. Only Self is required. Self
	// and Seed override the corresponding fields in the settings of the
	// components.
	Settings struct {
		// Self is this instance. Each start of the process needs a new
		// Incarnation.
		Self instance.Info
		// Seed makes the machine's jitter repeatable.
		Seed uint64
		// TaskTimeout is how long an endpoint may run a task;
		// DefaultTaskTimeout if zero.
		TaskTimeout   time.Duration
		Submission    submission.Settings
		Dispatch      dispatch.Settings
		Endpoint      endpoint.Settings
		Instance      instance.Settings
		Configuration configuration.Settings
		Estimator     task.EstimatorSettings
	}

	// Machine is the state machine of one entry instance.
	Machine struct {
		settings      Settings
		submissions   *submission.Manager
		scheduler     *dispatch.Scheduler
		endpoints     *endpoint.Tracker
		estimator     *task.Estimator
		membership    *instance.Membership
		configuration *configuration.Tracker
		// listedEndpoints is the platform's last list of endpoints, by id.
		listedEndpoints map[string]endpoint.Info
		running         map[task.Ref]run
		stopping        bool
		// selfListed reports whether the platform's last list of instances
		// contains this instance.
		selfListed bool
		circuit    *storage.Circuit
		// peerVersions are the configuration versions last received from
		// peers, by instance id.
		peerVersions map[string]uint64
		statistics   statistics
		history      history

		// Outputs of the components, reused for each input.
		fromSubmissions   submission.Output
		fromScheduler     dispatch.Output
		fromEndpoints     endpoint.Output
		fromMembership    instance.Output
		fromConfiguration configuration.Output
	}

	// run is a task that was sent to an endpoint and has not ended.
	run struct {
		attempt  uint64
		key      task.Key
		endpoint string
		// expectedRunTime is the estimated median run time on an endpoint of
		// speed 1. The endpoint's speed is measured against it.
		expectedRunTime time.Duration
		// stopRequested is set once the driver was asked to stop the task.
		stopRequested bool
	}

	// Start asks the driver to send a task to an endpoint, exactly once.
	Start struct {
		Ref task.Ref
		// Attempt identifies one send of the task. Every attempt before the
		// last was refused by its endpoint.
		Attempt  uint64
		Job      *job.Job
		Endpoint endpoint.Info
		// FencingToken is the fencing token of this instance's starts on the
		// endpoint. It increases when the instance's leases there have expired
		// or were revoked, or the holder changes; the endpoint then refuses
		// starts with a lower token that arrive late.
		FencingToken uint64
		// TaskTimeout is how long the endpoint may run the task.
		TaskTimeout time.Duration
	}

	// End reports how one attempt to run a task ended.
	End struct {
		Ref     task.Ref
		Attempt uint64
		Outcome endpoint.Outcome
		// Reason explains the Outcome unless it is Answered.
		Reason string
		// Answer is the endpoint's JSON answer, if it ran the task.
		Answer []byte
		// Load is the state that the endpoint reported; zero if it sent none.
		Load endpoint.Load
		// RunTime is the run time on the endpoint.
		RunTime time.Duration
	}

	// Stop names a running task whose answer is no longer needed.
	Stop struct {
		Ref      task.Ref
		Endpoint endpoint.Info
	}

	// Actions collects what the driver must execute. The driver may reuse it
	// after Reset.
	Actions struct {
		Starts   []Start
		Stops    []Stop
		Messages []message.Message
		Calls    []storage.Call
		Replies  []submission.Reply
		// Changes are the results of configuration changes.
		Changes []configuration.ChangeResult
		Events  []event.Record
		// Peers are the instances that may receive messages from now on, with
		// their addresses; nil if unchanged.
		Peers []instance.Info
		// Wake is the time of the next Tick; zero if none is needed.
		Wake time.Time
	}
)

// New returns a Machine without endpoints, peers or configuration.
func New(s Settings, now time.Time) *Machine {
	if s.TaskTimeout == 0 {
		s.TaskTimeout = DefaultTaskTimeout
	}
	m := &Machine{
		settings:        s,
		estimator:       task.NewEstimator(s.Estimator),
		listedEndpoints: map[string]endpoint.Info{},
		running:         map[task.Ref]run{},
		circuit:         storage.NewCircuit(s.Seed),
		peerVersions:    map[string]uint64{},
		statistics:      newStatistics(),
	}
	s.Endpoint.DataCentre = s.Self.DataCentre
	s.Endpoint.Seed = s.Seed
	m.endpoints = endpoint.New(s.Endpoint, now)
	s.Dispatch.Self = s.Self.Ref
	s.Dispatch.Health = m.endpoints
	s.Dispatch.Estimates = estimates{m.estimator}
	m.scheduler = dispatch.New(s.Dispatch, now)
	s.Submission.Self = s.Self.Ref
	s.Submission.Seed = s.Seed
	s.Submission.Circuit = m.circuit
	m.submissions = submission.New(s.Submission, m, now)
	s.Instance.Self = s.Self
	s.Instance.Seed = s.Seed
	m.membership = instance.New(s.Instance, now)
	s.Configuration.Self = s.Self.Ref
	s.Configuration.Seed = s.Seed
	m.configuration = configuration.New(s.Configuration, now)
	return m
}

// Reset clears the actions and keeps the allocated memory.
func (a *Actions) Reset() {
	clear(a.Starts)
	clear(a.Messages)
	clear(a.Calls)
	clear(a.Replies)
	*a = Actions{
		Starts:   a.Starts[:0],
		Stops:    a.Stops[:0],
		Messages: a.Messages[:0],
		Calls:    a.Calls[:0],
		Replies:  a.Replies[:0],
		Changes:  a.Changes[:0],
		Events:   a.Events[:0],
	}
}

// estimates provides learned run times to the scheduler.
type estimates struct{ estimator *task.Estimator }

func (e estimates) RunTime(class, team string, t *task.Task) time.Duration {
	return e.estimator.Estimate(task.Key{Class: class, Team: team, Kind: t.Kind}, t.RunTime).Mean
}
