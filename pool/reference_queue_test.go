package pool

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

type (
	// referenceQueue is one queue that sees all jobs and all slots at once. It is
	// what sharing is compared with on the same arrivals.
	referenceQueue struct {
		jobs []*referenceJob
	}

	referenceJob struct {
		queue      string
		priority   int
		arrived    time.Time
		startBy    time.Time
		goal       time.Time
		run        time.Duration
		tasks      int
		unfinished int
	}
)

// add adds a job as the generator of the load submits it. Like an instance, the
// queue knows only its estimate.
func (r *referenceQueue) add(now time.Time, c *callerJob) {
	tasks, estimate := 0, longestChain(c.job.Steps)
	for _, s := range c.job.Steps {
		tasks += s.Tasks
	}
	r.jobs = append(r.jobs, &referenceJob{
		queue: c.job.Queue.Name, priority: c.job.Queue.Priority, arrived: now, startBy: now.Add(c.job.Queue.Goal(estimate) - estimate), goal: c.goal,
		run: c.runTime, tasks: tasks, unfinished: tasks,
	})
}

// inGoal serves the jobs with that many slots, the most urgent first, and returns
// the share that ends within the goal, by queue. A slot is busy for a task's run
// and a round trip, in which its end is reported and the next start is sent. A job
// that can't meet its goal any more by its estimate when its turn comes is left
// out.
func (r *referenceQueue) inGoal(slots int) map[string]float64 {
	jobs := slices.Clone(r.jobs)
	served, submitted := map[string]int{}, map[string]int{}
	var waiting []*referenceJob
	ends := &eventHeap{}
	var now time.Time
	for sequence := 0; len(jobs) > 0 || ends.Len() > 0; {
		if ends.Len() > 0 && (len(jobs) == 0 || !jobs[0].arrived.Before((*ends)[0].at)) {
			e := heap.Pop(ends).(eventItem)
			now = e.at
			e.do()
			slots++
		} else {
			now = jobs[0].arrived
			submitted[jobs[0].queue]++
			waiting = append(waiting, jobs[0])
			jobs = jobs[1:]
		}
		for slots > 0 && len(waiting) > 0 {
			j := slices.MinFunc(waiting, func(a, b *referenceJob) int {
				return cmp.Or(cmp.Compare(a.priority, b.priority), a.startBy.Compare(b.startBy))
			})
			if j.tasks == 0 || j.tasks == j.unfinished && now.After(j.startBy) {
				waiting = slices.DeleteFunc(waiting, func(o *referenceJob) bool { return o == j })
				continue
			}
			j.tasks--
			slots--
			sequence++
			heap.Push(ends, eventItem{now.Add(j.run + 2*testOneWayDelay), sequence, func() {
				if j.unfinished--; j.unfinished == 0 && !now.After(j.goal) {
					served[j.queue]++
				}
			}})
		}
	}
	shares := map[string]float64{}
	for name, n := range submitted {
		shares[name] = float64(served[name]) / float64(n)
	}
	return shares
}
