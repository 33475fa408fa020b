package pool

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// minRetryAfter is the shortest retry delay sent to a refused caller.
	minRetryAfter = 500 * time.Millisecond
	// retryJitter is the shortest range of the delay added to minRetryAfter, so
	// that callers refused together do not retry together.
	retryJitter = time.Second
	// loadErrorMargin is the assumed relative error of the known load.
	// waitStdDevs is by how many standard deviations the wait of the job's last
	// task may exceed its mean while the job is still on time.
	loadErrorMargin = 0.2
	waitStdDevs     = 3
	// minCapacityShare is the share of all slots that more urgent jobs are
	// always assumed to leave, so that a short peak of theirs refuses no job.
	// It is smaller for a late job, which waits behind all others.
	minCapacityShare     = 0.1
	minLateCapacityShare = 0.02
	// lateHeadroom is the share of all slots that late jobs leave free, so that
	// they make no job late that arrives after them.
	lateHeadroom = 0.05
	// stopWorkFactor is how many times a job's longest chain of work must fit
	// into the time until the process stops; otherwise the job is refused.
	// Estimates may be off by a half.
	stopWorkFactor = 2
	// startupTime is how long after its start an instance counts all listed
	// endpoints as free, since they are still being claimed. It covers reading
	// the lists and one claim.
	startupTime = time.Second
	// maxReportAge is the age beyond which a backlog reported by a peer is
	// ignored.
	maxReportAge = time.Second
)

// admit returns why a job is refused as not run, or nil, and the load that it
// finds. A job that can't meet its goal but can still be answered in time to be
// useful is admitted as late: it takes only the slots that all others leave. It
// counts other admitted jobs as arrived.
func (m *Machine) admit(now time.Time, j *homeJob) (*fault.Error, load) {
	f, l := m.refusal(now, j)
	if f == nil {
		if now.Sub(m.startedAt) >= startupTime && !m.isRetry(now, j) { // earlier arrivals are mostly retries
			m.arrivals.add(now, j.Queue.Service, j.Queue.Priority, totalWork(j.Job))
		}
		return nil, l
	}
	if f.Kind != fault.QueueFull {
		return f, l
	}
	j.late = true
	j.deferUntilExpiry()
	if m.refusalForLoad(now, j, m.load(now, j)) != nil {
		m.refusals.add(now, j)
		return f, l
	}
	return nil, l
}

// deferUntilExpiry makes the job wait behind those of its priority that can meet
// their goal.
func (j *homeJob) deferUntilExpiry() {
	j.deferred = true
	j.startBy = earlier(j.expiresAt, j.Deadline.Add(-answerMargin)).Add(-longestChain(j.Steps))
}

// refusal returns why a job that has not started can't be served in time, or
// nil, and the load that it finds. It includes the job in the sizes of tasks
// unless the job is too large for every endpoint.
func (m *Machine) refusal(now time.Time, j *homeJob) (*fault.Error, load) {
	fits := m.fitsAnyEndpoint(j.Job)
	if fits {
		m.countSizes(j)
	}
	l := m.load(now, j)
	if !fits {
		return fault.New(fault.NoEndpointFits, "no endpoint of service %s is large enough", j.Queue.Service), l
	}
	if m.recentlyResumed(now) {
		return suspendedRefusal(), l
	}
	if f := m.evacuatedFault(now, j); f != nil {
		return f, l
	}
	return m.refusalForLoad(now, j, l), l
}

// refusalForLoad is like refusal for a job that fits, at a given load.
func (m *Machine) refusalForLoad(now time.Time, j *homeJob, l load) *fault.Error {
	if m.draining && now.Add(stopWorkFactor*longestChain(j.Steps)+answerMargin).After(m.stopsAt) {
		return fault.New(fault.Stopping, "the process ends in %s", m.stopsAt.Sub(now)).WithRetryAfter(m.retryAfter(now, j, l))
	}
	if l.slots == 0 {
		return fault.New(fault.EndpointsUnavailable, "no endpoint of service %s takes work", j.Queue.Service).WithRetryAfter(m.retryAfter(now, j, l))
	}
	wait := l.decidingWait(j)
	end := now.Add(wait).Add(longestChain(j.Steps))
	switch {
	case end.After(j.Deadline):
		return fault.New(fault.DeadlineTooNear, "%d tasks wait for %d places", l.tasks, l.slots).WithRetryAfter(wait + m.retryAfter(now, j, l))
	case now.Add(wait).After(j.startBy):
		return fault.New(fault.QueueFull, "%d tasks wait for %d places, a start in %s comes too late", l.tasks, l.slots, wait).WithRetryAfter(wait + m.retryAfter(now, j, l))
	}
	return nil
}

// fitsAnyEndpoint reports whether some listed endpoint could run every step if
// it were empty. It returns true if no endpoint of the service is known.
func (m *Machine) fitsAnyEndpoint(j Job) bool {
	known := false
	for _, e := range m.sortedEndpoints {
		if e.info.Service != j.Queue.Service {
			continue
		}
		known = true
		if e.canHold(j.Steps) {
			return true
		}
	}
	return !known
}

// canHold reports whether the endpoint could run each of the steps if it were
// empty.
func (e *endpointState) canHold(steps []Step) bool {
	for _, s := range steps {
		if !fitsWithin(s.Needs, e.info.Size) {
			return false
		}
	}
	return true
}

// load is the work that competes with a job.
type load struct {
	// slots and free count the slots here and at the peers that report them to
	// this instance.
	slots, free int
	// tasks and work are the number and total run time of the tasks that are
	// served before the job. work includes the job itself.
	tasks int
	work  time.Duration
	// urgentSlots is how many slots future more urgent jobs are expected to
	// occupy.
	urgentSlots float64
	// minShare is the share of the slots that they are assumed to leave in any
	// case.
	minShare float64
	// arrivals is how many slots all arriving work keeps busy, if known.
	arrivals float64
	// uncertainty is by how much work may be wrong because of the age of the
	// views that it comes from.
	uncertainty time.Duration
}

// String returns the load for a log line.
func (l load) String() string {
	return fmt.Sprintf("places=%d free=%d ahead=%d work=%s urgent=%.0f", l.slots, l.free, l.tasks, milliseconds(l.work), l.urgentSlots)
}

// precededBy reports whether tasks of the given priority, of late jobs or others,
// are served before the job.
func (j *homeJob) precededBy(late bool, priority int) bool {
	if late != j.late {
		return j.late
	}
	return priority <= j.Queue.Priority
}

// load returns the work ahead of a job: the waiting tasks, here and at the peers,
// that are served before it, and those that are expected to arrive.
func (m *Machine) load(now time.Time, j *homeJob) load {
	l := m.competingLoad(now, j)
	l.work += totalWork(j.Job)
	if j.late {
		l.urgentSlots += lateHeadroom * float64(l.slots)
	}
	return l
}

// competingLoad is like load without the job itself.
func (m *Machine) competingLoad(now time.Time, j *homeJob) load {
	if m.usesViews() && now.Sub(m.startedAt) >= startupTime {
		return m.installationLoad(now, j)
	}
	service := j.Queue.Service
	l := load{minShare: minCapacityShare}
	l.slots, l.free = m.slotTotals(now, service)
	for _, q := range m.queue {
		if q == j || q.Queue.Service != service || !j.precededBy(q.late, q.Queue.Priority) {
			continue
		}
		for _, t := range q.waiting {
			l.tasks++
			l.work += q.Steps[t.step].Estimate
		}
	}
	priority := j.Queue.Priority
	if j.late {
		priority, l.minShare = math.MaxInt, minLateCapacityShare
	}
	l.urgentSlots = urgentSlots(m.arrivals.rates(now, service), priority)
	for _, p := range m.sortedPeers {
		c := p.capacity(service)
		if c == nil {
			continue
		}
		if !p.closed {
			l.slots += c.Slots
			l.free += c.Free
		}
		if now.Sub(p.capacitiesAt) > maxReportAge {
			continue
		}
		l.addBacklog(c.Backlog, j)
		l.urgentSlots += urgentSlots(c.Arrivals, priority)
	}
	if now.Sub(m.startedAt) < startupTime {
		// Endpoints are still being claimed, and nothing runs on them.
		l.slots = max(l.slots, m.expectedSlots(service))
		l.free = max(l.free, l.slots)
		if len(m.endpoints) == 0 { // the list is still being read
			l.slots, l.free = max(l.slots, 1), math.MaxInt32
		}
	}
	return l
}

// expectedSlots returns how many of the listed slots this instance will know of
// once all endpoints are claimed: those of the peers that will report to it, and
// its own.
func (m *Machine) expectedSlots(service string) int {
	instances := m.neighbourhood.total + 1
	return m.listedSlots(service) * min(instances, maxRecipients+1) / instances
}

// listedSlots returns how many tasks all listed endpoints of a service are
// expected to run.
func (m *Machine) listedSlots(service string) int {
	total, sizes := 0.0, m.sizesOf(service)
	for _, e := range m.sortedEndpoints {
		if e.info.Service == service && !e.info.Draining && !m.evacuations.contains(e.info.DataCentre) {
			total += sizes.fits(e.info.Size, e.info.Slots)
		}
	}
	return int(math.Round(total))
}

// totalWork returns the expected run time of all tasks of the job.
func totalWork(j Job) time.Duration {
	work := time.Duration(0)
	for _, s := range j.Steps {
		work += time.Duration(s.Tasks) * s.Estimate
	}
	return work
}

// addBacklog adds the tasks in a peer's backlog that are served before the job.
func (l *load) addBacklog(backlog []message.WaitingTasks, j *homeJob) {
	for _, w := range backlog {
		if j.precededBy(w.Late, w.Priority) {
			l.tasks += w.Tasks
			l.work += w.Work
		}
	}
}

// wait returns an upper bound of the time until the last of the job's tasks
// starts: the work beyond the free slots, divided by the slots that more urgent
// jobs leave, times tailFactor.
func (l load) wait(tasks int) time.Duration {
	total := l.tasks + tasks
	excess := total - l.free
	if excess <= 0 || l.slots == 0 {
		return 0
	}
	mean := l.work / time.Duration(total)
	available := max(float64(l.slots)-l.urgentSlots, l.minShare*float64(l.slots))
	return time.Duration(tailFactor(excess) * float64(excess) * float64(mean) / available)
}

// decidingWait returns the wait by which a job is admitted or refused. Within the
// uncertainty of the load it depends on the job's ID. So of the jobs that arrive
// anywhere while the wait is near their bound, the share is admitted for which
// there is likely to be room, and neither all nor none.
func (l load) decidingWait(j *homeJob) time.Duration {
	wait := l.wait(j.unfinished)
	if l.uncertainty == 0 || wait == 0 {
		return wait
	}
	available := max(float64(l.slots)-l.urgentSlots, l.minShare*float64(l.slots))
	spread := float64(l.uncertainty) / available
	return max(wait+time.Duration((2*hashFraction(j.ID)-1)*spread), 0)
}

// tailFactor returns the upper bound of the wait for n runs to end, relative to
// the expected wait. The bound falls with n, since the relative spread of a sum
// falls with its number of terms.
func tailFactor(n int) float64 { return 1 + loadErrorMargin + waitStdDevs/math.Sqrt(float64(n)) }

// retryAfter returns when a refused caller should retry. The delay depends on
// the job's ID, so that jobs refused together are retried at different times.
func (m *Machine) retryAfter(now time.Time, j *homeJob, l load) time.Duration {
	return minRetryAfter + time.Duration(hashFraction(j.ID)*float64(m.retrySpread(now, j.Queue.Service, l)))
}

// hashFraction maps a text to a fixed, evenly distributed number between zero
// and one, both excluded.
func hashFraction(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}
