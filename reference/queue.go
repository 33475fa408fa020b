package reference

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// UsefulFactor is how many times its goal a job may take before its answer is of no use.
const UsefulFactor = 3

type (
	// Endpoints is the installation that the queue serves.
	Endpoints struct {
		// Cores is the size of each endpoint.
		Cores float64
		// Changes are the times from which on there are so many endpoints, the earliest
		// first.
		Changes []Change
		// Idle is how long a slot stands idle after each run.
		Idle time.Duration
		// Deviation is the standard deviation of the run times of a job's tasks,
		// relative to their mean.
		Deviation float64
	}

	// Change is a change of the number of endpoints.
	Change struct {
		At     time.Duration
		Number int
	}

	// Result is what becomes of a job.
	Result struct {
		// Served reports that the job is complete while its answer is of use, and
		// InGoal that it is within its goal.
		Served, InGoal bool
		// LastStart is when its last task started, from its arrival; valid if Served.
		LastStart time.Duration
	}

	queue struct {
		endpoints Endpoints
		rng       *rand.Rand
		// free are the free cores of each endpoint, and number how many of them exist.
		free    []float64
		number  int
		waiting []*queuedJob
		runs    runHeap
	}

	queuedJob struct {
		Job
		result *Result
		// run is the mean run time of its tasks, and startBy the latest start by the
		// estimate.
		run     time.Duration
		startBy time.Duration
		// unstarted and unfinished are the numbers of its tasks.
		unstarted, unfinished int
	}

	run struct {
		ends     time.Duration
		job      *queuedJob
		endpoint int
	}

	runHeap []run
)

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(run)) }
func (h *runHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Serve serves the jobs, which are in the order of arrival, by priority and then by their
// latest start. A job that missed that goes behind those of its priority that have not,
// and one whose answer can't be of use any more is dropped. A task goes to the endpoint
// that it fills best. The run times of jobs that have none are drawn from those of their
// queue, relative to the estimate.
func Serve(jobs []Job, endpoints Endpoints, seed uint64) []Result {
	q := &queue{endpoints: endpoints, rng: rand.New(rand.NewPCG(seed, 0))}
	ratios := runRatios(jobs, endpoints.Deviation)
	results := make([]Result, len(jobs))
	for i, j := range jobs {
		q.advance(j.Arrived)
		run := time.Duration(float64(j.Run) / expectedMax(j.Tasks, endpoints.Deviation))
		if list := ratios[j.Queue]; run <= 0 && len(list) > 0 {
			run = time.Duration(list[q.rng.IntN(len(list))] * float64(j.Estimate))
		} else if run <= 0 {
			run = j.Estimate
		}
		q.waiting = append(q.waiting, &queuedJob{
			Job: j, result: &results[i], run: run, startBy: j.Arrived + j.Goal - j.Estimate, unstarted: j.Tasks, unfinished: j.Tasks,
		})
		q.place(j.Arrived)
	}
	for len(q.runs) > 0 {
		q.advance(q.runs[0].ends)
	}
	return results
}

// expectedMax returns the expected longest run time of n tasks, divided by their mean, if
// the run times are about normally distributed (Blom's approximation).
func expectedMax(n int, deviation float64) float64 {
	share := (float64(n) - 0.375) / (float64(n) + 0.25)
	return 1 + deviation*math.Sqrt2*math.Erfinv(2*share-1)
}

// runRatios returns the known mean run times by queue, divided by the estimates.
func runRatios(jobs []Job, deviation float64) map[string][]float64 {
	ratios := map[string][]float64{}
	for _, j := range jobs {
		if j.Run > 0 && j.Estimate > 0 {
			ratios[j.Queue] = append(ratios[j.Queue], float64(j.Run)/expectedMax(j.Tasks, deviation)/float64(j.Estimate))
		}
	}
	return ratios
}

// advance ends the runs that end until now, and starts what then fits.
func (q *queue) advance(now time.Duration) {
	for len(q.runs) > 0 && q.runs[0].ends <= now {
		r := heap.Pop(&q.runs).(run)
		q.free[r.endpoint] += r.job.Cores
		if r.job.unfinished--; r.job.unfinished == 0 {
			took := r.ends - q.endpoints.Idle - r.job.Arrived
			r.job.result.Served = took <= UsefulFactor*r.job.Goal
			r.job.result.InGoal = took <= r.job.Goal
		}
		q.place(r.ends)
	}
}

// place starts the tasks that fit, the most urgent first.
func (q *queue) place(now time.Duration) {
	q.resize(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(j *queuedJob) bool {
		return j.unstarted == j.Tasks && now+j.Estimate > j.Arrived+UsefulFactor*j.Goal
	})
	slices.SortStableFunc(q.waiting, func(a, b *queuedJob) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(missed(a, now), missed(b, now)), cmp.Compare(a.startBy, b.startBy))
	})
	for _, j := range q.waiting {
		for j.unstarted > 0 {
			e := q.fullestFor(j.Cores)
			if e < 0 {
				break
			}
			q.start(now, j, e)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j *queuedJob) bool { return j.unstarted == 0 })
}

// missed returns 1 if the job can't meet its goal any more.
func missed(j *queuedJob, now time.Duration) int {
	if now > j.startBy {
		return 1
	}
	return 0
}

// resize applies the changes of the number of endpoints until now. Runs at endpoints that
// are gone end as usual.
func (q *queue) resize(now time.Duration) {
	for len(q.endpoints.Changes) > 0 && q.endpoints.Changes[0].At <= now {
		q.number = q.endpoints.Changes[0].Number
		q.endpoints.Changes = q.endpoints.Changes[1:]
		for len(q.free) < q.number {
			q.free = append(q.free, q.endpoints.Cores)
		}
	}
}

// fullestFor returns the endpoint with the fewest free cores of those that have so many;
// negative if there is none.
func (q *queue) fullestFor(cores float64) int {
	const rounding = 1e-6
	best := -1
	for i, free := range q.free[:q.number] {
		if free >= cores-rounding && (best < 0 || free < q.free[best]) {
			best = i
		}
	}
	return best
}

func (q *queue) start(now time.Duration, j *queuedJob, e int) {
	j.unstarted--
	q.free[e] -= j.Cores
	j.result.LastStart = now - j.Arrived
	took := time.Duration(float64(j.run) * max(1+q.endpoints.Deviation*q.rng.NormFloat64(), 0))
	heap.Push(&q.runs, run{now + took + q.endpoints.Idle, j, e})
}
