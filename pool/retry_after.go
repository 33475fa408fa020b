package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
)

const (
	// maxRetrySpread is the longest time over which refused callers are told to
	// come back. After that the load is likely to be another one.
	maxRetrySpread = 6 * time.Second
	// minSpareShare is the share of the slots that are assumed to be left for
	// refused jobs in any case.
	minSpareShare = 0.05
	// refusalMemory is how long a refused job is recognised when it comes again,
	// and maxRefusedJobs how many of them are.
	refusalMemory  = maxRetrySpread + 4*time.Second
	maxRefusedJobs = 4096
)

// refusals are the jobs that were refused for lack of capacity.
type refusals struct {
	// rates are the refused work by service and priority, without jobs that came
	// again.
	rates arrivals
	// byJob is when a job was refused, and order has the same jobs, the first
	// refused first.
	byJob map[string]time.Time
	order []string
}

// add counts a refused job.
func (r *refusals) add(now time.Time, j *homeJob) {
	if r.known(now, j.ID) {
		return
	}
	r.rates.add(now, j.Queue.Service, j.Queue.Priority, totalWork(j.Job))
	if len(r.order) >= maxRefusedJobs {
		delete(r.byJob, r.order[0])
		r.order = r.order[1:]
	}
	r.byJob[j.ID] = now
	r.order = append(r.order, j.ID)
}

// known reports whether the job was refused here before.
func (r *refusals) known(now time.Time, id string) bool {
	at, ok := r.byJob[id]
	return ok && now.Sub(at) < refusalMemory
}

// expire forgets the jobs that were refused long ago.
func (r *refusals) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.byJob[r.order[0]]) >= refusalMemory {
		delete(r.byJob, r.order[0])
		r.order = r.order[1:]
	}
}

// retrySpread returns the time over which the refused jobs of the last second can
// be served beside what arrives, if other instances refuse as much of what arrives
// there as this one.
func (m *Machine) retrySpread(now time.Time, service string, l admission.Load) time.Duration {
	if !m.usesViews() || l.Slots == 0 {
		return retryJitter
	}
	refused := admission.AllSlots(m.refusals.rates.rates(now, service))
	instances := float64(m.neighbourhood.total + 1)
	if own := admission.AllSlots(m.arrivals.rates(now, service)); own > 0 && l.Arrivals > own {
		instances = min(l.Arrivals/own, instances)
	}
	refused *= instances
	spare := max(float64(l.Slots)-l.Arrivals, minSpareShare*float64(l.Slots))
	spread := time.Duration(refused / spare * float64(arrivalWindow))
	return min(max(spread, retryJitter), maxRetrySpread)
}

// isRetry reports whether the job was refused here before. It is not counted as a
// new arrival, so that an overload does not add to itself.
func (m *Machine) isRetry(now time.Time, j *homeJob) bool {
	return m.usesViews() && m.refusals.known(now, j.ID)
}
