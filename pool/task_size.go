package pool

import (
	"math"
	"slices"

	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// minSizeWeight is the least weight of one task in the averages of its
	// service's sizes.
	minSizeWeight = 0.001
	// minCoresDeviation is the standard deviation of the cores, relative to their
	// mean, below which all tasks count as equally large.
	minCoresDeviation = 1e-3
)

type (
	// taskSizes describes what the tasks of one service need.
	taskSizes struct {
		mean task.Needs
		// variance is the variance of the cores.
		variance float64
		// tasks is how many tasks have been counted, up to 1/minSizeWeight.
		tasks float64
	}

	// blockedSizes has the needs of tasks that have just found no slot, by
	// service. Tasks that need no less find none either.
	blockedSizes map[string][]task.Needs
)

// add counts a number of tasks of the same size.
func (s *taskSizes) add(n task.Needs, tasks int) {
	if tasks <= 0 {
		return
	}
	s.tasks = min(s.tasks+float64(tasks), 1/minSizeWeight)
	weight := min(float64(tasks)/s.tasks, 1)
	delta := n.Cores - s.mean.Cores
	s.mean.Cores += weight * delta
	s.mean.MemoryBytes += int64(weight * float64(n.MemoryBytes-s.mean.MemoryBytes))
	s.variance = (1 - weight) * (s.variance + weight*delta*delta)
}

// fits returns the expected number of tasks of the service that fit into the
// available resources and slots one after another. It is not a whole number: if
// tasks need about half of an endpoint, then two of them fit often, but not
// always, and a count of tasks of the mean size would jump between one and two.
func (s taskSizes) fits(available task.Needs, slots int) float64 {
	limit := float64(max(slots, 0))
	if s.mean.MemoryBytes > 0 {
		limit = min(limit, math.Floor(float64(available.MemoryBytes)/float64(s.mean.MemoryBytes)))
	}
	if s.mean.Cores <= 0 || limit <= 0 {
		return max(limit, 0)
	}
	deviation := math.Sqrt(s.variance)
	if deviation < minCoresDeviation*s.mean.Cores {
		return max(min(limit, math.Floor(available.Cores/s.mean.Cores+1e-6)), 0)
	}
	sum := 0.0
	for n := 1.0; n <= limit; n++ {
		// The cores of n tasks are about normally distributed.
		p := normalCDF((available.Cores - n*s.mean.Cores) / (deviation * math.Sqrt(n)))
		if p < 1e-3 {
			break
		}
		sum += p
	}
	return sum
}

// displaced returns how many tasks fewer are expected to fit into the available
// resources once a task with the given needs runs there.
func (s taskSizes) displaced(available, n task.Needs, slots int) float64 {
	return s.fits(available, slots) - s.fits(addScaled(available, n, -1), slots-1)
}

// normalCDF returns the probability that a standard normal variable is at most x.
func normalCDF(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }

// sizesOf returns the sizes of the tasks of a service.
func (m *Machine) sizesOf(service string) taskSizes {
	if s := m.taskSizes[service]; s != nil {
		return *s
	}
	return taskSizes{}
}

// countSizes includes the tasks of a job in the sizes of its service.
func (m *Machine) countSizes(j *homeJob) {
	if j.sizesCounted {
		return
	}
	j.sizesCounted = true
	for _, s := range j.Steps {
		m.countSize(j.Queue.Service, s.Needs, s.Tasks)
	}
}

func (m *Machine) countSize(service string, n task.Needs, tasks int) {
	s := m.taskSizes[service]
	if s == nil {
		s = &taskSizes{}
		m.taskSizes[service] = s
	}
	s.add(n, tasks)
}

func (b blockedSizes) add(service string, n task.Needs) { b[service] = append(b[service], n) }

// cover reports whether a task with these needs can't find a slot.
func (b blockedSizes) cover(service string, n task.Needs) bool {
	return slices.ContainsFunc(b[service], func(blocked task.Needs) bool { return fitsWithin(blocked, n) })
}

// coverJob reports whether none of the job's waiting tasks can find a slot.
func (b blockedSizes) coverJob(j *homeJob) bool {
	if len(b[j.Queue.Service]) == 0 {
		return false
	}
	for _, t := range j.waiting {
		if !b.cover(j.Queue.Service, j.Steps[t.step].Needs) {
			return false
		}
	}
	return true
}
