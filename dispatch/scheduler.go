package dispatch

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/lovagecrank/lovagecrank/team"
)

const (
	// defaultMaxTasks bounds the waiting tasks of one instance.
	defaultMaxTasks = 100_000
	// defaultMaxBytes bounds the payloads of the waiting tasks.
	defaultMaxBytes = 96 << 20
	// defaultMaxWait bounds the predicted wait plus run time of a job without a
	// deadline. The target of the job's class bounds it instead if it is longer.
	defaultMaxWait = 60 * time.Second
	// defaultLeaseLength is how long a borrower keeps lent slots after the last
	// message from the holder. The holder waits a quarter longer for a message
	// from the borrower before it takes them back, see expireLeases.
	defaultLeaseLength = 5 * time.Second
	// defaultRunTime is the expected run time of a task that declares none.
	defaultRunTime = 250 * time.Millisecond
	// refreshInterval is how often the health of all endpoints is read.
	refreshInterval = 250 * time.Millisecond
)

type (
	// Health provides the observed health of endpoints. endpoint.Tracker
	// implements it.
	Health interface {
		// Usable returns how many of the endpoint's slots may be used now.
		Usable(now time.Time, id string) int
		// Speed returns the endpoint's observed speed divided by the expected
		// one; 1 is normal.
		Speed(id string) float64
	}

	// Estimates provides the expected run times of tasks, learned or declared.
	Estimates interface {
		// RunTime returns the expected run time of a task of the class and team.
		RunTime(class, team string, t *task.Task) time.Duration
	}

	// Settings are the parameters of a Scheduler. Only Self is required.
	Settings struct {
		Self instance.Ref
		// Health is the health of endpoints. If it is nil, every slot is usable.
		Health Health
		// Estimates provides expected run times. If it is nil, the declared ones
		// are used.
		Estimates Estimates
		// MaxTasks bounds the number of waiting tasks, MaxBytes the size of their
		// payloads.
		MaxTasks int
		MaxBytes int64
		// MaxWait bounds the predicted wait plus run time of a job without a
		// deadline. The target of the job's class bounds it instead if it is
		// longer.
		MaxWait time.Duration
		// LeaseLength is how long a borrower keeps lent slots after the last
		// message from the holder. The holder waits a quarter longer for a
		// message from the borrower before it takes them back.
		LeaseLength time.Duration
	}

	// Output collects the decisions of a Scheduler. The driver executes them
	// and may then reuse the slices.
	Output struct {
		Starts   []Start
		Stops    []Stop
		Messages []message.Message
		Events   []event.Record
		// Wake is when to call Tick next.
		Wake time.Time
	}

	// Start asks the driver to send a task to an endpoint.
	Start struct {
		Ref task.Ref
		// Job contains the task at index Ref.Index.
		Job *job.Job
		// Accepted is when the job was accepted.
		Accepted time.Time
		Endpoint string
		// FencingToken is sent to the endpoint as the epoch of the start. It
		// increases when the sender's leases on the endpoint expire or are
		// revoked, and when the holder changes, not when slots are returned. The
		// endpoint then refuses starts with a lower epoch that arrive late.
		FencingToken uint64
		// Expected is the expected run time.
		Expected time.Duration
	}

	// Stop asks the driver to stop a running idempotent task whose answer is no
	// longer needed.
	Stop struct {
		Ref      task.Ref
		Endpoint string
	}

	// Scheduler queues the tasks of one instance and assigns them to endpoints.
	// It is not safe for concurrent use.
	Scheduler struct {
		settings Settings
		stopping bool
		// lendsIdleOnly makes the instance lend slots only while it has no
		// waiting tasks. Only benchmarks set it, to compare the policies.
		lendsIdleOnly bool

		classes    []class.Class
		classRanks []class.Rank
		queues     []*rankQueue
		accounts   map[string]*account
		jobs       map[string]*waitingJob
		waiting    int
		bytes      int64

		running             map[task.Ref]runningTask
		runningBySubmission map[string][]task.Ref
		endpoints           []*endpointState
		endpointByID        map[string]*endpointState
		groups              []*sizeGroup
		capacity            int
		// paused are endpoints that get no tasks until their pausedUntil.
		paused []*endpointState

		peers []*peer
		// lastWantSequence is the sequence number of the last Want to any peer.
		// It is not kept per peer, since a peer that was removed here may still
		// remember this instance's last number.
		lastWantSequence uint64
		demands          []peerDemand
		// nextFirstPeer is the firstPeer of the next queue that gets waiting
		// tasks.
		nextFirstPeer int
		document      *configuration.Document
		nextRefresh   time.Time
		wake          time.Time
		counters      Counters
	}

	// account is a team's quota and weight.
	account struct {
		team.Account
		name   string
		weight float64
		// waiting is the number of the team's waiting tasks.
		waiting int
	}

	runningTask struct {
		endpoint   *endpointState
		account    *account
		usage      *teamUsage
		expected   time.Duration
		idempotent bool
		// token is the fencing token of the endpoint when the task started.
		token uint64
	}

	// Counters are totals since the start of the instance.
	Counters struct {
		// Starts counts task starts.
		Starts uint64
		// Refusals counts the starts that the endpoint refused.
		Refusals uint64
		// SlotsBorrowed counts slots borrowed from other instances, and
		// SlotsUnused those that were returned without a start.
		SlotsBorrowed, SlotsUnused uint64
		// Transferred counts borrowed slots that were transferred to a third
		// instance without a start.
		Transferred uint64
		// Wants, Returns and GrantsSent count the Want, Return and Grant
		// messages sent, without the Grants that revoke leases.
		Wants, Returns, GrantsSent uint64
		// Unanswered counts Wants that were withdrawn before any slot came.
		Unanswered uint64
	}
)

// New returns a Scheduler without endpoints and peers. Zero settings get
// defaults.
func New(s Settings, now time.Time) *Scheduler {
	if s.Health == nil {
		s.Health = allUsable{}
	}
	if s.Estimates == nil {
		s.Estimates = declaredRunTimes{}
	}
	if s.MaxTasks == 0 {
		s.MaxTasks = defaultMaxTasks
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = defaultMaxBytes
	}
	if s.MaxWait == 0 {
		s.MaxWait = defaultMaxWait
	}
	if s.LeaseLength == 0 {
		s.LeaseLength = defaultLeaseLength
	}
	return &Scheduler{
		settings:            s,
		accounts:            map[string]*account{},
		jobs:                map[string]*waitingJob{},
		running:             map[task.Ref]runningTask{},
		runningBySubmission: map[string][]task.Ref{},
		endpointByID:        map[string]*endpointState{},
		nextRefresh:         now.Add(refreshInterval),
	}
}

type (
	allUsable        struct{}
	declaredRunTimes struct{}
)

func (allUsable) Usable(time.Time, string) int { return math.MaxInt }
func (allUsable) Speed(string) float64         { return 1 }

func (declaredRunTimes) RunTime(_, _ string, t *task.Task) time.Duration {
	if t.RunTime > 0 {
		return t.RunTime
	}
	return defaultRunTime
}
