package pool

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// compareUrgency orders jobs by priority, then by their latest start time.
// Late jobs come after all others.
func compareUrgency(a, b *homeJob) int {
	return cmp.Or(
		compareBool(a.late, b.late),
		cmp.Compare(a.Queue.Priority, b.Queue.Priority),
		a.startBy.Compare(b.startBy),
		strings.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func sortJobs(jobs []*homeJob) { slices.SortFunc(jobs, compareUrgency) }

// sortedJobs returns all jobs, the most urgent first.
func (m *Machine) sortedJobs() []*homeJob {
	list := make([]*homeJob, 0, len(m.jobs))
	for _, j := range m.jobs {
		list = append(list, j)
	}
	sortJobs(list)
	return list
}

func (m *Machine) enqueue(j *homeJob) {
	if j.queued {
		return
	}
	j.queued = true
	i, _ := slices.BinarySearchFunc(m.queue, j, compareUrgency)
	m.queue = slices.Insert(m.queue, i, j)
}

func (m *Machine) dequeue(j *homeJob) {
	if !j.queued {
		return
	}
	j.queued = false
	if i := slices.Index(m.queue, j); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

// sortedKeys returns the keys of a set in ascending order.
func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
