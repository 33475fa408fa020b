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
	// firstRetry is the least time that a refused caller is asked to wait.
	firstRetry = 500 * time.Millisecond
	// retrySpread is over how much more the callers are spread that are
	// refused together.
	retrySpread = time.Second
	// loadError is by how much what is known of the load may be off, and
	// tailWidth how many standard deviations of the wait a job must survive to
	// be in time: the last of its tasks decides.
	loadError = 0.2
	tailWidth = 3
	// leastLeft is the part of all places that counts as left by more urgent
	// jobs in any case, so that a short peak of theirs refuses nobody.
	leastLeft = 0.1
	// stopFactor is how many times its work a job must have until the process
	// ends to be taken in: estimates may be off by a half.
	stopFactor = 2
	// startTime is how long after its start an instance takes jobs in before
	// endpoints have holders: a read of the lists and a claim.
	startTime = time.Second
	// freshTime is how old a peer's word on what waits there may be to count.
	freshTime = time.Second
)

// admit returns why a job is refused as not run, or nil.
func (m *Machine) admit(now time.Time, j *homeJob) (*fault.Error, load) {
	f, l := m.refusal(now, j)
	if f == nil {
		m.arrivals.add(now, j.Queue.Service, j.Queue.Priority, workOf(j.Job))
	}
	return f, l
}

// refusal returns why a job that has not begun can't be served in time, or nil,
// and the load that it finds.
func (m *Machine) refusal(now time.Time, j *homeJob) (*fault.Error, load) {
	ever := m.everFits(j.Job)
	if ever {
		m.learnNeeds(j)
	}
	l := m.load(now, j)
	if !ever {
		return fault.New(fault.NoEndpointFits, "no endpoint of service %s is large enough", j.Queue.Service), l
	}
	return m.refusalAt(now, j, l), l
}

// refusalAt is the same for a job that fits, at a known load.
func (m *Machine) refusalAt(now time.Time, j *homeJob, l load) *fault.Error {
	if m.leaving && now.Add(stopFactor*longestChain(j.Steps)+answerMargin).After(m.endsAt) {
		return fault.New(fault.Stopping, "the process ends in %s", m.endsAt.Sub(now)).WithRetryAfter(m.retryAfter(j))
	}
	if l.places == 0 {
		return fault.New(fault.EndpointsUnavailable, "no endpoint of service %s takes work", j.Queue.Service).WithRetryAfter(m.retryAfter(j))
	}
	wait := l.wait(j.undone)
	end := now.Add(wait).Add(longestChain(j.Steps))
	switch {
	case end.After(j.Deadline):
		return fault.New(fault.DeadlineTooNear, "%d tasks wait for %d places", l.tasks, l.places).WithRetryAfter(wait + m.retryAfter(j))
	case now.Add(wait).After(j.startBy):
		return fault.New(fault.QueueFull, "%d tasks wait for %d places, a start in %s comes too late", l.tasks, l.places, wait).WithRetryAfter(wait + m.retryAfter(j))
	}
	return nil
}

// everFits reports whether some listed endpoint could run each step if it were
// empty. Where no endpoint is known that is not known either.
func (m *Machine) everFits(j Job) bool {
	known := false
	for _, h := range m.ordered {
		if h.info.Service != j.Queue.Service {
			continue
		}
		known = true
		fits := true
		for _, s := range j.Steps {
			fits = fits && within(s.Needs, h.info.Size)
		}
		if fits {
			return true
		}
	}
	return !known
}

// load is what a job finds ahead of it.
type load struct {
	// places and free are those of the instances that tell of them here.
	places, free int
	// tasks wait ahead of the job, of that much work.
	tasks int
	work  time.Duration
	// urgent is how many places the more urgent jobs that come keep busy.
	urgent float64
}

// String returns the load for a log line.
func (l load) String() string {
	return fmt.Sprintf("places=%d free=%d ahead=%d work=%s urgent=%.0f", l.places, l.free, l.tasks, milliseconds(l.work), l.urgent)
}

// load returns what goes before a job: waiting tasks of its priority or a more
// urgent one, here and at the peers, and the more urgent ones that will come.
func (m *Machine) load(now time.Time, j *homeJob) load {
	service := j.Queue.Service
	var l load
	l.places, l.free = m.totals(now, service)
	for _, q := range m.queue {
		if q.Queue.Service != service || q.Queue.Priority > j.Queue.Priority {
			continue
		}
		for _, t := range q.waiting {
			l.tasks++
			l.work += q.Steps[t.step].Estimate
		}
	}
	known := 1
	for _, p := range m.nearPeers {
		r := p.room(service)
		if r == nil {
			continue
		}
		known++
		l.places += r.Places
		l.free += r.Free
		if now.Sub(p.roomsAt) > freshTime {
			continue
		}
		l.addWaits(r.Waits, j.Queue.Priority)
	}
	if now.Sub(m.begun) < startTime {
		// The places are being claimed, and nothing runs there.
		l.places = max(l.places, m.listedPlaces(service))
		l.free = max(l.free, l.places)
	}
	l.work += workOf(j.Job)
	l.urgent = m.arrivals.before(now, service, j.Queue.Priority) * float64(known)
	return l
}

// listedPlaces returns how many tasks of the usual size all listed endpoints of
// a service can run.
func (m *Machine) listedPlaces(service string) int {
	all := 0
	for _, h := range m.ordered {
		if h.info.Service == service && !h.info.Leaving {
			all += fits(m.usual[service], h.info.Size, h.info.Slots)
		}
	}
	return all
}

// workOf returns the expected run time of all tasks together.
func workOf(j Job) time.Duration {
	work := time.Duration(0)
	for _, s := range j.Steps {
		work += time.Duration(s.Tasks) * s.Estimate
	}
	return work
}

func (l *load) addWaits(waits []message.Wait, priority int) {
	for _, w := range waits {
		if w.Priority <= priority {
			l.tasks += w.Tasks
			l.work += w.Work
		}
	}
}

// wait returns when the last of the job's tasks is expected to start: the work
// ahead of the free places, spread over the places that more urgent jobs leave.
func (l load) wait(tasks int) time.Duration {
	all := l.tasks + tasks
	excess := all - l.free
	if excess <= 0 || l.places == 0 {
		return 0
	}
	mean := l.work / time.Duration(all)
	left := max(float64(l.places)-l.urgent, leastLeft*float64(l.places))
	return time.Duration(tail(excess) * float64(excess) * float64(mean) / left)
}

// tail returns by how much the wait for that many ends of runs may exceed the
// expected one. The more ends, the closer their sum is to what is expected.
func tail(ends int) float64 { return 1 + loadError + tailWidth/math.Sqrt(float64(ends)) }

// retryAfter returns when a refused caller should come back. It is spread by
// the job's ID, so that those refused together come back apart.
func (m *Machine) retryAfter(j *homeJob) time.Duration {
	return firstRetry + time.Duration(draw(j.ID)*float64(retrySpread))
}

// draw returns a number between zero and one, neither included, that looks
// random and is always the same for a text.
func draw(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}
