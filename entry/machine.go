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

// DefaultLease is how long an endpoint may run a task before it ends it.
const DefaultLease = 60 * time.Second

type (
	// Settings are the parameters of a Machine. Only Self is required; its
	// parts replace the parts' own Self and Seed.
	Settings struct {
		// Self is this instance; its Incarnation must be unique to each start.
		Self instance.Info
		// Seed makes the machine's jitter repeatable.
		Seed uint64
		// Lease is how long an endpoint may run a task.
		Lease         time.Duration
		Submission    submission.Settings
		Dispatch      dispatch.Settings
		Endpoint      endpoint.Settings
		Instance      instance.Settings
		Configuration configuration.Settings
		Estimator     task.EstimatorSettings
	}

	// Machine is one entry instance without I/O.
	Machine struct {
		settings      Settings
		submissions   *submission.Manager
		scheduler     *dispatch.Scheduler
		endpoints     *endpoint.Tracker
		estimator     *task.Estimator
		membership    *instance.Membership
		configuration *configuration.Tracker
		// listed is the platform's last list of endpoints, by their id.
		listed   map[string]endpoint.Info
		running  map[task.Ref]run
		stopping bool
		// selfListed tells that the platform's last list has this instance.
		selfListed bool
		circuit    *storage.Circuit
		// versions are the configuration versions that peers told, by id.
		versions   map[string]uint64
		statistics statistics
		history    history

		// Outputs of the parts, reused for each input.
		fromSubmissions   submission.Output
		fromScheduler     dispatch.Output
		fromEndpoints     endpoint.Output
		fromMembership    instance.Output
		fromConfiguration configuration.Output
	}

	// run is one task that was sent and has not ended.
	run struct {
		attempt  uint64
		key      task.Key
		endpoint string
		// expected is the median run time at speed 1, against which the
		// endpoint's speed is judged.
		expected time.Duration
		// stopped tells that the endpoint was asked to stop the task.
		stopped bool
	}

	// Start tells to send a task to an endpoint, once.
	Start struct {
		Ref task.Ref
		// Attempt tells the sends of one task apart, of which all but the
		// last were refused.
		Attempt  uint64
		Job      *job.Job
		Endpoint endpoint.Info
		Epoch    uint64
		Lease    time.Duration
	}

	// End is how the send of a task ended.
	End struct {
		Ref     task.Ref
		Attempt uint64
		Outcome endpoint.Outcome
		// Reason tells why, unless Outcome is Answered.
		Reason string
		// Answer is the endpoint's JSON, if it ran the task.
		Answer []byte
		// Load is what the endpoint told of itself; zero if nothing.
		Load endpoint.Load
		// Ran is the time on the endpoint.
		Ran time.Duration
	}

	// Stop tells that the answer of a running task is not wanted any more.
	Stop struct {
		Ref      task.Ref
		Endpoint endpoint.Info
	}

	// Actions collects what the driver must carry out. The driver may reuse
	// it after Reset.
	Actions struct {
		Starts   []Start
		Stops    []Stop
		Messages []message.Message
		Calls    []storage.Call
		Replies  []submission.Reply
		// Changes are the ends of changes of the configuration.
		Changes []configuration.Answer
		Events  []event.Record
		// Peers are the instances that messages may go to from now on, with
		// their addresses; nil if they are the same as before.
		Peers []instance.Info
		// Wake is when Tick is wanted; zero means not at all.
		Wake time.Time
	}
)

// New returns an instance that knows no endpoints, no peers and no
// configuration yet.
func New(s Settings, now time.Time) *Machine {
	if s.Lease == 0 {
		s.Lease = DefaultLease
	}
	m := &Machine{
		settings:   s,
		estimator:  task.NewEstimator(s.Estimator),
		listed:     map[string]endpoint.Info{},
		running:    map[task.Ref]run{},
		circuit:    storage.NewCircuit(s.Seed),
		versions:   map[string]uint64{},
		statistics: newStatistics(),
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

// Reset empties the actions and keeps their memory.
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

// estimates gives the scheduler the learnt run times.
type estimates struct{ estimator *task.Estimator }

func (e estimates) RunTime(class, team string, t *task.Task) time.Duration {
	return e.estimator.Estimate(task.Key{Class: class, Team: team, Kind: t.Kind}, t.RunTime).Mean
}
