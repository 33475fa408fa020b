package pool

import (
	"cmp"
	"container/heap"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

type (
	// queuedJob is a job as the one queue sees it: a number of equal tasks that
	// must all have started by startBy.
	queuedJob struct {
		arrival  time.Duration
		priority int
		startBy  time.Duration
		tasks    int
		run      time.Duration
	}

	// runEnds are the times at which slots become free, the earliest first.
	runEnds []time.Duration
)

func (h runEnds) Len() int           { return len(h) }
func (h runEnds) Less(i, j int) bool { return h[i] < h[j] }
func (h runEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runEnds) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *runEnds) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// oneQueueRefusals returns, for each job in the order of arrival, whether a queue
// that sees all slots can't start all of its tasks in time. It serves the jobs by
// priority, then by startBy, and drops a job as soon as it is late, which it
// finds out only then: an instance has to say so at arrival.
func oneQueueRefusals(jobs []queuedJob, slots int) []bool {
	refused := make([]bool, len(jobs))
	var waiting []int // indexes of jobs, the most urgent first
	var busy runEnds
	left := make([]int, len(jobs))
	serve := func(now time.Duration) {
		for len(busy) > 0 && busy[0] <= now {
			heap.Pop(&busy)
		}
		for len(waiting) > 0 && len(busy) < slots {
			i := waiting[0]
			if refused[i] = jobs[i].startBy < now; !refused[i] {
				heap.Push(&busy, now+jobs[i].run)
				left[i]--
			}
			if refused[i] || left[i] == 0 {
				waiting = waiting[1:]
			}
		}
	}
	for i, j := range jobs {
		for len(busy) > 0 && busy[0] <= j.arrival {
			serve(busy[0])
		}
		left[i] = j.tasks
		at, _ := slices.BinarySearchFunc(waiting, i, func(a, b int) int {
			return cmp.Or(cmp.Compare(jobs[a].priority, jobs[b].priority), cmp.Compare(jobs[a].startBy, jobs[b].startBy), cmp.Compare(a, b))
		})
		waiting = slices.Insert(waiting, at, i)
		serve(j.arrival)
	}
	for len(busy) > 0 {
		serve(busy[0])
	}
	return refused
}

func TestOneQueue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const ms = time.Millisecond
	jobs := []queuedJob{
		{arrival: 0, priority: 1, startBy: 10 * ms, tasks: 2, run: 100 * ms},
		{arrival: ms, priority: 1, startBy: 90 * ms, tasks: 1, run: 100 * ms}, // both slots are busy until 100 ms
		{arrival: 2 * ms, priority: 1, startBy: 300 * ms, tasks: 2, run: 100 * ms},
		{arrival: 3 * ms, priority: 0, startBy: 100 * ms, tasks: 2, run: 50 * ms},
	}
	is.Equal(oneQueueRefusals(jobs, 2), []bool{false, true, false, false})
	is.Equal(oneQueueRefusals(jobs, 5), []bool{false, false, false, false})
}
