package pool

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
	"github.com/lovagecrank/lovagecrank/fault"
)

const (
	// minRetryAfter is the shortest retry delay sent to a refused caller.
	minRetryAfter = 500 * time.Millisecond
	// retryJitter is the shortest range of the delay added to minRetryAfter, so
	// that callers refused together do not retry together.
	retryJitter = time.Second
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
// useful waits behind those of its priority that can.
func (m *Machine) admit(now time.Time, j *homeJob) (*fault.Error, admission.Load) {
	f, l := m.refusal(now, j)
	if f != nil && f.Kind == fault.QueueFull {
		j.deferUntilExpiry()
		if m.refusalForLoad(now, j, m.load(now, j)) == nil {
			f = nil
		}
	}
	switch {
	case f == nil:
		if now.Sub(m.startedAt) >= startupTime && !j.late && !m.isRetry(now, j) { // earlier arrivals are mostly retries
			m.arrivals.add(now, j.Queue.Service, j.Queue.Priority, totalWork(j.Job))
		}
	case f.Kind == fault.QueueFull:
		m.refusals.add(now, j)
	}
	return f, l
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
func (m *Machine) refusal(now time.Time, j *homeJob) (*fault.Error, admission.Load) {
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
func (m *Machine) refusalForLoad(now time.Time, j *homeJob, l admission.Load) *fault.Error {
	if m.draining && now.Add(stopWorkFactor*longestChain(j.Steps)+answerMargin).After(m.stopsAt) {
		return fault.New(fault.Stopping, "the process ends in %s", m.stopsAt.Sub(now)).WithRetryAfter(m.retryAfter(now, j, l))
	}
	if l.Slots == 0 {
		return fault.New(fault.EndpointsUnavailable, "no endpoint of service %s takes work", j.Queue.Service).WithRetryAfter(m.retryAfter(now, j, l))
	}
	wait := l.DecidingWait(j.ID, j.unfinished)
	end := now.Add(wait).Add(longestChain(j.Steps))
	switch {
	case end.After(j.Deadline):
		return fault.New(fault.DeadlineTooNear, "%d tasks wait for %d places", l.Tasks, l.Slots).WithRetryAfter(wait + m.retryAfter(now, j, l))
	case now.Add(wait).After(j.startBy):
		return fault.New(fault.QueueFull, "%d tasks wait for %d places, a start in %s comes too late", l.Tasks, l.Slots, wait).WithRetryAfter(wait + m.retryAfter(now, j, l))
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

// priorityAhead returns the priority below which arriving work is served before the
// job. A deferred job waits behind all new ones of its own priority.
func (j *homeJob) priorityAhead() int {
	if j.deferred {
		return j.Queue.Priority + 1
	}
	return j.Queue.Priority
}

// rank returns the job's place in the order in which jobs are served.
func (j *homeJob) rank() admission.Rank {
	return admission.Rank{Late: j.late, Priority: j.Queue.Priority}
}

// load returns the work ahead of a job: the waiting tasks, here and at the peers,
// that are served before it, and those that are expected to arrive.
func (m *Machine) load(now time.Time, j *homeJob) admission.Load {
	l := m.competingLoad(now, j)
	l.Work += totalWork(j.Job)
	return l
}

// competingLoad is like load without the job itself.
func (m *Machine) competingLoad(now time.Time, j *homeJob) admission.Load {
	if m.usesViews() && now.Sub(m.startedAt) >= startupTime {
		return m.installationLoad(now, j)
	}
	service, rank := j.Queue.Service, j.rank()
	var l admission.Load
	l.Slots, l.Free = m.slotTotals(now, service)
	for _, q := range m.queue {
		if q == j || q.Queue.Service != service || !rank.PrecededBy(q.rank()) {
			continue
		}
		for _, t := range q.waiting {
			l.Tasks++
			l.Work += q.Steps[t.step].Estimate
		}
	}
	l.UrgentSlots = admission.UrgentSlots(m.arrivals.rates(now, service), j.priorityAhead())
	for _, p := range m.sortedPeers {
		c := p.capacity(service)
		if c == nil {
			continue
		}
		if !p.closed {
			l.Slots += c.Slots
			l.Free += c.Free
		}
		if now.Sub(p.capacitiesAt) > maxReportAge {
			continue
		}
		l.AddBacklog(c.Backlog, rank)
		l.UrgentSlots += admission.UrgentSlots(c.Arrivals, j.priorityAhead())
	}
	if now.Sub(m.startedAt) < startupTime {
		// Endpoints are still being claimed, and nothing runs on them.
		l.Slots = max(l.Slots, m.expectedSlots(service))
		l.Free = max(l.Free, l.Slots)
		if len(m.endpoints) == 0 { // the list is still being read
			l.Slots, l.Free = max(l.Slots, 1), math.MaxInt32
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

// retryAfter returns when a refused caller should retry. The delay depends on
// the job's ID, so that jobs refused together are retried at different times.
func (m *Machine) retryAfter(now time.Time, j *homeJob, l admission.Load) time.Duration {
	return minRetryAfter + time.Duration(admission.HashFraction(j.ID)*float64(m.retrySpread(now, j.Queue.Service, l)))
}
