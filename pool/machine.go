package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// gatherTime is how long a new instance waits for its peers before it
	// claims endpoints: one set-up of a stream and a round trip.
	gatherTime = 600 * time.Millisecond
	// tickPeriod is the longest time between two ticks, so that a freeze of
	// the process shows.
	tickPeriod = 50 * time.Millisecond
	// assignPause is the least time between two searches for holders, which
	// take a millisecond or more where there are hundreds of endpoints; it is
	// small beside the time of a claim.
	assignPause = 10 * time.Millisecond
	// frozenTime is how late a tick must be to count as a freeze: well under
	// the time after which a caller asks elsewhere.
	frozenTime = 600 * time.Millisecond
)

type (
	// Config sets up a Machine.
	Config struct {
		Self instance.Info
		// LeaseTime is the longest lease that an endpoint gives.
		LeaseTime time.Duration
		// StopTime is how long an endpoint takes to end a run by order.
		StopTime time.Duration
	}

	// Machine is the home and the holder of one instance. It is not safe for
	// concurrent use.
	Machine struct {
		cfg Config
		// begun is when the instance started, and ticked when the last input
		// came.
		begun, ticked time.Time
		// lags tells that the last tick came late.
		lags    bool
		version uint64
		// leaving tells that the planned stop has begun, and endsAt when the
		// process ends then.
		leaving bool
		endsAt  time.Time

		// endpoints are those that the platform lists, by ID; ordered has
		// them in the order of their IDs.
		endpoints map[string]*held
		ordered   []*held
		// mine are those of them that are held here, in the same order.
		mine []*held

		peers map[instance.Ref]*peer
		// lost are the peers whose stream has just ended.
		lost    map[instance.Ref]*peer
		members members
		// unsettled tells that holders are to be found anew: the endpoints,
		// the peers or what they hold changed, or some time has passed.
		unsettled  bool
		assignedAt time.Time
		// abroad is what is known of the ways to other data centres.
		abroad map[string]*abroad
		// told are the ends that peers were told lately, by home.
		told map[instance.Ref][]toldEnd
		// nearPeers are the peers, those of the own data centre first.
		nearPeers []*peer
		// listed is how many peers the platform lists, and listedNear how
		// many of them in the own data centre; listRead tells that it did.
		listed, listedNear int
		listRead           bool

		jobs  map[string]*homeJob
		calls map[uint64]*homeJob
		// queue holds the jobs with waiting tasks, the most urgent first.
		queue []*homeJob
		// tasks are those of all jobs, by name.
		tasks map[string]*homeTask
		// doubts are the tasks whose last run may be over, by name.
		doubts map[string]*homeTask
		// ghosts are runs of jobs that were answered before they ended.
		ghosts map[string]ghost
		// parked are jobs that wait for ghosts of the same ID, by ID.
		parked map[string]*homeJob

		offers    map[uint64]*offer
		lastOffer uint64
		arrivals  arrivals
		// usual is what a task of each service usually needs.
		usual map[string]task.Needs

		standing  standingState
		vacancies vacanciesState
	}
)

// New returns the machine of an instance that starts now.
func New(now time.Time, cfg Config) *Machine {
	return &Machine{
		cfg:       cfg,
		begun:     now,
		ticked:    now,
		endpoints: map[string]*held{},
		peers:     map[instance.Ref]*peer{},
		lost:      map[instance.Ref]*peer{},
		abroad:    map[string]*abroad{},
		told:      map[instance.Ref][]toldEnd{},
		jobs:      map[string]*homeJob{},
		calls:     map[uint64]*homeJob{},
		tasks:     map[string]*homeTask{},
		doubts:    map[string]*homeTask{},
		members:   members{round: 1},
		ghosts:    map[string]ghost{},
		parked:    map[string]*homeJob{},
		offers:    map[uint64]*offer{},
		usual:     map[string]task.Needs{},
	}
}

// SetEndpoints replaces the list of the endpoints that the platform knows.
func (m *Machine) SetEndpoints(now time.Time, infos []endpoint.Info, out *Output) {
	listed := make(map[string]bool, len(infos))
	for _, info := range infos {
		listed[info.ID] = true
		m.setEndpoint(now, info, out)
	}
	for _, h := range m.ordered {
		if !listed[h.info.ID] && !h.info.Leaving {
			h.info.Leaving = true
			out.log(event.EndpointLeaving, h.info.ID, "the platform's list does not have it any more")
		}
	}
	m.forgetUnlisted(listed)
	m.unsettled = true
	m.settle(now, out)
}

func (m *Machine) setEndpoint(now time.Time, info endpoint.Info, out *Output) {
	h, ok := m.endpoints[info.ID]
	if !ok {
		h = newHeld(info)
		m.endpoints[info.ID] = h
		m.ordered = append(m.ordered, h)
		slices.SortFunc(m.ordered, compareIDs)
		out.log(event.EndpointAdded, info.ID, info.Service+" at "+info.Address.String())
		return
	}
	if info.Leaving && !h.info.Leaving {
		out.log(event.EndpointLeaving, info.ID, "the platform's list says so")
	}
	if bornAfter(h.info.Born, info.Born) {
		info.Address = h.info.Address // the entry is that of an earlier boot
	}
	reborn := bornAfter(info.Born, h.info.Born)
	moved := info.Address != h.info.Address
	switch {
	case reborn && (moved || len(h.runs) == 0):
		m.reborn(now, h, out)
	case moved && !reborn && (info.Born.IsZero() || h.info.Born.IsZero()):
		m.doubtEndpoint(now, h, out)
	}
	said := h.saidLeaving && !reborn
	born := h.info.Born
	h.info = info
	if !moved {
		h.info.Born = born // a look tells of another boot, and what it runs
	}
	h.info.Leaving = h.info.Leaving || said
}

// bornAfter reports whether one boot is surely later than another.
func bornAfter(a, b time.Time) bool { return !a.IsZero() && !b.IsZero() && a.After(b) }

func compareIDs(a, b *held) int { return cmp.Compare(a.info.ID, b.info.ID) }

// forgetUnlisted drops the endpoints that the list lacks and that run nothing.
func (m *Machine) forgetUnlisted(listed map[string]bool) {
	m.ordered = slices.DeleteFunc(m.ordered, func(h *held) bool {
		if listed[h.info.ID] || len(h.runs) > 0 || h.looking {
			return false
		}
		m.drop(h)
		delete(m.endpoints, h.info.ID)
		return true
	})
}

// SetVersion tells which version of the configuration is in force.
func (m *Machine) SetVersion(now time.Time, version uint64, out *Output) {
	m.version = version
	m.standing.changed = true
	m.settle(now, out)
}

// BeginStop makes the machine hand its endpoints over. What it has goes on, and
// new jobs are taken as long as they can be answered before the process ends.
func (m *Machine) BeginStop(now, end time.Time, out *Output) {
	m.leaving = true
	m.membersChanged()
	m.endsAt = end
	for _, j := range m.jobs {
		j.Deadline = earlier(j.Deadline, end)
	}
	m.standing.changed = true
	m.settle(now, out)
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time, out *Output) {
	if now.Sub(m.ticked) > frozenTime {
		m.Thaw(now, out)
	}
	m.lags = now.Sub(m.ticked) > tickPeriod+lagging
	m.ticked = now
	m.expirePeers(now, out)
	m.expireJobs(now, out)
	m.deferJobs(now, out)
	m.expireOffers(now)
	m.expireGhosts(now)
	m.expireTold(now)
	m.unsettled = true
	for _, h := range slices.Clone(m.mine) {
		m.tend(now, h, out)
	}
	m.settle(now, out)
}

// reassign finds holders anew if that is due. Where many instances come or go
// together, it is done once for several of them.
func (m *Machine) reassign(now time.Time, out *Output) {
	if !m.unsettled {
		return
	}
	if due := m.assignedAt.Add(assignPause); now.Before(due) {
		out.wakeAt(due)
		return
	}
	m.unsettled, m.assignedAt = false, now
	m.assign(now, out)
}

// settle does all that the last input made possible and says when Tick is
// wanted.
func (m *Machine) settle(now time.Time, out *Output) {
	m.reassign(now, out)
	m.place(now, out)
	m.tellStanding(now, out)
	m.tellVacancies(now, out)
	out.wakeAt(m.ticked.Add(tickPeriod))
}
