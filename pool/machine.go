package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/patience"
	"github.com/lovagecrank/lovagecrank/sharing"
)

const (
	// gatherTimeout is how long a new instance waits for its peers before it
	// claims endpoints: two stream set-ups and a round trip.
	gatherTimeout = 600 * time.Millisecond
	// tickPeriod is the maximum time between two ticks, so that a suspended
	// process is detected.
	tickPeriod = 50 * time.Millisecond
	// minAssignInterval is the minimum time between two assignments of
	// endpoints. One takes a millisecond or more with hundreds of endpoints;
	// the interval is short compared with the time of a claim.
	minAssignInterval = 10 * time.Millisecond
	// suspendThreshold is the time without a tick beyond which the process
	// counts as having been suspended. It is well below the time after which a
	// caller retries elsewhere.
	suspendThreshold = 600 * time.Millisecond
	// longSuspension is the shortest suspension after which a request or a start
	// that waited unread may have been sent elsewhere. A caller waits 1.3 s before
	// that, and a home longer.
	longSuspension = time.Second
	// resumeTime is how long after a long suspension such requests and starts may
	// still be read.
	resumeTime = 300 * time.Millisecond
)

type (
	// Config configures a Machine.
	Config struct {
		// Self is this instance. Its incarnation is its start time in Unix
		// nanoseconds.
		Self instance.Info
		// FirstStart reports that the whole installation starts for the first
		// time, so that the list of instances is still incomplete.
		FirstStart bool
		// LeaseTime is the longest lease that an endpoint grants.
		LeaseTime time.Duration
		// StopTime is how long an endpoint takes to stop a run.
		StopTime time.Duration
		// AwaitEvacuations reports that the endpoints get no work before a read
		// of the store or a peer has shown which data centres are evacuated; see
		// SetEvacuations.
		AwaitEvacuations bool
	}

	// Machine is the scheduling state machine of one instance in both of its
	// roles, home and holder. It is not safe for concurrent use.
	Machine struct {
		cfg Config
		// startedAt is when the instance started, and lastTick when Tick was
		// last called.
		startedAt, lastTick time.Time
		// uncounted is how long the machine was suspended since then, as far as
		// the clock of the inputs does not count it.
		uncounted time.Duration
		// resumed reports that a suspension was noticed since the last tick.
		resumed bool
		// resumedAt is when the last long suspension was noticed; zero if there
		// was none.
		resumedAt time.Time
		// tickLate reports that the last tick was late, so missing answers may
		// be this process's fault.
		tickLate    bool
		evacuations evacuations
		// configVersion is the version of the configuration in force, and unguarded
		// are the services whose endpoints don't refuse what exceeds their size.
		configVersion uint64
		unguarded     []string
		// draining reports that the planned stop has begun, and stopsAt is when
		// the process stops.
		draining bool
		stopsAt  time.Time

		// endpoints are the endpoints listed by the platform, by ID, and those
		// removed from the list while they still run something.
		// sortedEndpoints has them sorted by ID.
		endpoints       map[string]*endpointState
		sortedEndpoints []*endpointState
		// endpointsByDataCentre has the same endpoints by data centre, and
		// endpointDataCentres the sorted names of the data centres.
		endpointsByDataCentre map[string][]*endpointState
		endpointDataCentres   []string
		// held are the endpoints held by this instance, sorted by ID.
		held []*endpointState
		// holdings are the claims and releases that are not logged yet.
		holdings holdings
		// turnovers are the services of which endpoints drain or are new.
		turnovers map[string]*turnover
		// moves are the recent moves of runs from endpoints that leave.
		moves []move

		peers map[instance.Ref]*peer
		// lostPeers are the peers whose stream ended less than reconnectTimeout
		// ago.
		lostPeers map[instance.Ref]*peer
		// peerLostAt is when the last peer was lost without a planned stop; zero if
		// none was.
		peerLostAt time.Time
		membership membership
		// reassignNeeded reports that the endpoints must be assigned again: the
		// endpoints, the peers or what they hold changed, or a tick passed.
		reassignNeeded bool
		assignedAt     time.Time
		// remoteClaims has the claim state of the other data centres, by name.
		remoteClaims map[string]*remoteClaims
		// reportedEnds are the ends of runs recently reported to peers, by
		// home.
		reportedEnds map[instance.Ref][]reportedEnd
		// sortedPeers are the peers, those of the local data centre first.
		sortedPeers   []*peer
		neighbourhood neighbourhood
		// peersListed reports that the platform's list of instances was read.
		// gathered reports that this instance no longer waits for listed peers
		// to connect; see gatherTimeout.
		peersListed, gathered bool
		// isolatedSince is since when fewer than half of the neighbours are
		// reached; zero if more are.
		isolatedSince time.Time

		jobs  map[string]*homeJob
		calls map[uint64]*homeJob
		// queue holds the jobs with waiting tasks, the most urgent first.
		queue []*homeJob
		// tasks has the waiting and the placed tasks of all jobs, by name.
		tasks map[string]*homeTask
		// unconfirmed has the tasks whose last run may continue, or have ended,
		// without a report, by name.
		unconfirmed map[string]*homeTask
		// orphans are runs whose jobs were answered before the runs ended, by
		// task name.
		orphans map[string]orphan
		// runNumbers are the last run numbers of recently ended jobs.
		runNumbers runNumbers
		// parked are jobs that wait for orphaned runs of the same job ID to
		// end, by ID.
		parked map[string]*homeJob

		answerTimes answerTimes

		offers map[uint64]*offer
		// shares are the shares of the waiting tasks that holders may offer
		// slots for.
		shares    *sharing.Shares
		lastOffer uint64
		// offerCounts counts the offers, for metrics.
		offerCounts OfferCounts
		arrivals    arrivals
		// patience is what is known of how long callers wait.
		patience *patience.Learner
		// taskSizes describes the sizes of tasks, by service.
		taskSizes map[string]*taskSizes

		status    statusState
		freeSlots freeSlotsState
		judge     judge
		// losses are the endpoints that were lost with runs, and lossCounts counts
		// those that were held here.
		losses     *crash.Ledger
		lossCounts LossCounts
		// suspects are the waiting tasks with which endpoints were lost and that are
		// not in their jobs' queues, by name.
		suspects map[string]*homeTask
		profiles profilesState
		views    viewState
		refusals refusals
		routes   routeChoice
	}
)

// New returns the machine of an instance that starts now.
func New(now time.Time, cfg Config) *Machine {
	m := &Machine{
		cfg:           cfg,
		startedAt:     now,
		lastTick:      now,
		endpoints:     map[string]*endpointState{},
		turnovers:     map[string]*turnover{},
		peers:         map[instance.Ref]*peer{},
		lostPeers:     map[instance.Ref]*peer{},
		remoteClaims:  map[string]*remoteClaims{},
		reportedEnds:  map[instance.Ref][]reportedEnd{},
		jobs:          map[string]*homeJob{},
		calls:         map[uint64]*homeJob{},
		tasks:         map[string]*homeTask{},
		unconfirmed:   map[string]*homeTask{},
		membership:    membership{generation: 1, ownerGeneration: 1},
		neighbourhood: neighbourhood{awaitedSince: map[string]time.Time{}, failedAt: map[string]time.Time{}},
		orphans:       map[string]orphan{},
		parked:        map[string]*homeJob{},
		runNumbers:    runNumbers{byJob: map[string]int64{}},
		offers:        map[uint64]*offer{},
		shares:        sharing.New(cfg.Self.ID),
		taskSizes:     map[string]*taskSizes{},
		answerTimes:   newAnswerTimes(),
		patience:      patience.NewLearner(),
		losses:        crash.NewLedger(),
		suspects:      map[string]*homeTask{},
		judge:         newJudge(now, xxhash.Sum64String(cfg.Self.ID)),
		profiles:      newProfilesState(now),
		views:         viewState{reports: map[instance.Ref]receivedReport{}},
		refusals:      refusals{byJob: map[string]time.Time{}},
	}
	if cfg.AwaitEvacuations {
		m.evacuations.awaitedUntil = now.Add(evacuationWait)
	}
	return m
}

// SetConfiguration sets the version of the configuration in force and the services
// whose endpoints don't refuse what exceeds their size.
func (m *Machine) SetConfiguration(now time.Time, version uint64, unguarded []string, out *Output) {
	m.configVersion = version
	m.unguarded = unguarded
	for _, e := range m.sortedEndpoints {
		e.unguarded = slices.Contains(unguarded, e.info.Service)
	}
	m.status.changed = true
	m.advance(now, out)
}

// BeginStop starts the planned stop: the machine hands over its endpoints. Its
// runs continue, and it accepts new jobs while they can be answered before end.
func (m *Machine) BeginStop(now, end time.Time, out *Output) {
	m.draining = true
	m.membersChanged()
	m.stopsAt = end
	for _, j := range m.jobs {
		j.Deadline = earlier(j.Deadline, end)
	}
	m.status.changed = true
	m.advance(now, out)
}

// FinishStop ends the planned stop and reports true if no job is unanswered and no
// run is on a held endpoint. From then on every new job is refused.
func (m *Machine) FinishStop(now time.Time) bool {
	if len(m.jobs) > 0 || slices.ContainsFunc(m.held, func(e *endpointState) bool { return len(e.runs) > 0 }) {
		return false
	}
	m.stopsAt = earlier(m.stopsAt, now)
	return true
}

// Tick does what is due at the current time.
func (m *Machine) Tick(now time.Time, out *Output) {
	m.handleSuspension(now, out)
	m.tickLate = m.resumed || now.Sub(m.lastTick)+m.uncounted > tickPeriod+maxTickDelay
	m.resumed = false
	m.countSlotTime(now.Sub(m.lastTick))
	m.lastTick, m.uncounted = now, 0
	m.expireEvacuationWait(now, out)
	m.expireLostPeers(now, out)
	m.replaceContacts(now, out)
	m.forgetReached()
	m.expireJobs(now, out)
	m.deferJobs(now, out)
	m.expireOffers(now, out)
	m.expireOrphans(now)
	m.expireReportedEnds(now)
	m.runNumbers.expire(now)
	m.maintainJudge(now, out)
	m.losses.Expire(now)
	m.endIsolations()
	m.broadcastProfiles(now, out)
	m.refusals.expire(now)
	m.forgetReports()
	m.reassignNeeded = true
	for _, e := range slices.Clone(m.held) {
		m.maintain(now, e, out)
	}
	m.advance(now, out)
	m.logHoldings(now, out)
	m.logTurnover(now, out)
}

// reassign assigns the endpoints again if needed. It handles several changes at
// once when many instances join or leave together.
func (m *Machine) reassign(now time.Time, out *Output) {
	if !m.reassignNeeded {
		return
	}
	if due := m.assignedAt.Add(minAssignInterval); now.Before(due) {
		out.wakeAt(due)
		return
	}
	m.reassignNeeded, m.assignedAt = false, now
	m.assignEndpoints(now, out)
}

// advance performs everything that the last input made possible and schedules
// the next Tick.
func (m *Machine) advance(now time.Time, out *Output) {
	m.handleSuspension(now, out)
	m.reassign(now, out)
	m.placeTasks(now, out)
	m.broadcastStatus(now, out)
	m.broadcastFreeSlots(now, out)
	m.broadcastViews(now, out)
	out.wakeAt(m.lastTick.Add(tickPeriod))
}
