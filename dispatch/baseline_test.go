package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

// naiveRetryDelay is the delay after which a baseline retries a refused task or
// endpoint.
const naiveRetryDelay = 10 * time.Millisecond

type (
	// roundRobin sends each task at once to the next endpoint, which has a
	// FIFO queue.
	roundRobin struct {
		ids  []string
		next int
	}

	// powerOfTwo sends each task at once to the less loaded of two random
	// endpoints, and retries it after naiveRetryDelay if it is refused.
	powerOfTwo struct {
		sim        *simulation
		self       int
		rng        *rand.Rand
		ids        []string
		inFlight   map[string]int
		load       map[string]int
		endpointOf map[task.Ref]string
	}

	// classedPowerOfTwo queues tasks by class and slack, and sends the first
	// to the least loaded of d random endpoints that do not seem full. It
	// learns loads from replies.
	classedPowerOfTwo struct {
		powerOfTwo
		d         int
		waiting   []*queuedTask
		fullUntil map[string]time.Time
	}

	queuedTask struct {
		ref     task.Ref
		class   int
		startBy time.Time
	}
)

func endpointIDs(infos []endpoint.Info) []string {
	ids := make([]string, len(infos))
	for i, info := range infos {
		ids[i] = info.ID
	}
	return ids
}

func (s *simulation) addNode(n node) {
	s.nodes = append(s.nodes, n)
	s.wakes = append(s.wakes, time.Time{})
}

func (s *simulation) addRoundRobin(n int) {
	s.endpointsQueue = true
	ids := endpointIDs(endpointInfos(len(s.endpoints)))
	for i := range n {
		s.addNode(&roundRobin{ids: ids, next: i * len(ids) / n})
	}
}

func (s *simulation) newPowerOfTwo(i int) powerOfTwo {
	return powerOfTwo{
		sim:        s,
		self:       i,
		rng:        rand.New(rand.NewPCG(uint64(i), 2)),
		ids:        endpointIDs(endpointInfos(len(s.endpoints))),
		inFlight:   map[string]int{},
		load:       map[string]int{},
		endpointOf: map[task.Ref]string{},
	}
}

func (s *simulation) addPowerOfTwo(n int) {
	for i := range n {
		p := s.newPowerOfTwo(i)
		s.addNode(&p)
	}
}

func (s *simulation) addClassedPowerOfTwo(n, d int) {
	for i := range n {
		s.addNode(&classedPowerOfTwo{powerOfTwo: s.newPowerOfTwo(i), d: d, fullUntil: map[string]time.Time{}})
	}
}

func (r *roundRobin) submit(_ time.Time, j *job.Job, out *Output) {
	for i := range j.Tasks {
		out.Starts = append(out.Starts, Start{Ref: task.Ref{Submission: j.SubmissionID, Index: i}, Endpoint: r.ids[r.next]})
		r.next = (r.next + 1) % len(r.ids)
	}
}

func (*roundRobin) finished(time.Time, task.Ref, endpoint.Outcome, time.Duration, endpoint.Load, *Output) {
}
func (*roundRobin) receive(time.Time, message.Message, *Output) {}
func (*roundRobin) tick(time.Time, *Output)                     {}

func (p *powerOfTwo) submit(_ time.Time, j *job.Job, out *Output) {
	for i := range j.Tasks {
		p.send(task.Ref{Submission: j.SubmissionID, Index: i}, p.leastLoaded(2), out)
	}
}

// leastLoaded returns the least loaded of d random endpoints.
func (p *powerOfTwo) leastLoaded(d int) string {
	best := p.ids[p.rng.IntN(len(p.ids))]
	for range d - 1 {
		if id := p.ids[p.rng.IntN(len(p.ids))]; p.estimatedLoad(id) < p.estimatedLoad(best) {
			best = id
		}
	}
	return best
}

func (p *powerOfTwo) estimatedLoad(id string) int { return max(p.inFlight[id], p.load[id]) }

func (p *powerOfTwo) send(ref task.Ref, id string, out *Output) {
	p.inFlight[id]++
	p.endpointOf[ref] = id
	out.Starts = append(out.Starts, Start{Ref: ref, Endpoint: id})
}

func (p *powerOfTwo) removeTask(ref task.Ref, load endpoint.Load) string {
	id := p.endpointOf[ref]
	delete(p.endpointOf, ref)
	p.inFlight[id]--
	p.load[id] = load.Running
	return id
}

func (p *powerOfTwo) finished(_ time.Time, ref task.Ref, o endpoint.Outcome, _ time.Duration, load endpoint.Load, _ *Output) {
	p.removeTask(ref, load)
	if o != endpoint.Refused {
		return
	}
	p.sim.after(naiveRetryDelay, func() {
		p.sim.step(p.self, func(out *Output) { p.send(ref, p.leastLoaded(2), out) })
	})
}

func (*powerOfTwo) receive(time.Time, message.Message, *Output) {}
func (*powerOfTwo) tick(time.Time, *Output)                     {}

func (c *classedPowerOfTwo) submit(now time.Time, j *job.Job, out *Output) {
	sj := c.sim.jobs[j.SubmissionID]
	for i := range j.Tasks {
		startBy := now.Add(min(j.Tasks[i].RunTime, simClasses[sj.class].Target-j.Tasks[i].RunTime))
		c.enqueue(&queuedTask{ref: task.Ref{Submission: j.SubmissionID, Index: i}, class: sj.class, startBy: startBy})
	}
	c.tick(now, out)
}

func (c *classedPowerOfTwo) enqueue(q *queuedTask) {
	at, _ := slices.BinarySearchFunc(c.waiting, q, func(a, b *queuedTask) int {
		if a.class != b.class {
			return a.class - b.class
		}
		return a.startBy.Compare(b.startBy)
	})
	c.waiting = slices.Insert(c.waiting, at, q)
}

func (c *classedPowerOfTwo) finished(now time.Time, ref task.Ref, o endpoint.Outcome, _ time.Duration, load endpoint.Load, out *Output) {
	id := c.removeTask(ref, load)
	if o == endpoint.Refused {
		c.fullUntil[id] = now.Add(naiveRetryDelay)
		sj := c.sim.jobs[ref.Submission]
		c.enqueue(&queuedTask{ref: ref, class: sj.class, startBy: sj.submitted})
	}
	c.tick(now, out)
}

// tick sends waiting tasks while it finds endpoints with free slots.
func (c *classedPowerOfTwo) tick(now time.Time, out *Output) {
	for len(c.waiting) > 0 {
		best := ""
		for found, draws := 0, 0; found < c.d && draws < 4*len(c.ids); draws++ {
			id := c.ids[c.rng.IntN(len(c.ids))]
			if c.inFlight[id] >= slotsPerEndpoint || now.Before(c.fullUntil[id]) {
				continue
			}
			found++
			if best == "" || c.estimatedLoad(id) < c.estimatedLoad(best) {
				best = id
			}
		}
		if best == "" {
			out.wakeAt(now.Add(naiveRetryDelay))
			return
		}
		c.send(c.waiting[0].ref, best, out)
		c.waiting = c.waiting[1:]
	}
}
