package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

// fairnessWindow bounds how far a team's service may exceed that of the team with
// the least. Beyond the bound, the team's tasks wait regardless of their slack.
// Service is run time divided by the team's weight; the bound is the run time that
// all usable slots together provide in this time, divided by the sum of the
// weights of the active teams.
const fairnessWindow = 200 * time.Millisecond

// minActiveWeight replaces a sum of weights of zero in a division.
const minActiveWeight = 1e-9

type (
	// rankQueue holds the waiting jobs of the classes of one rank.
	rankQueue struct {
		rank      class.Rank
		usages    []*teamUsage
		subqueues []*subqueue
		// virtualTime is the least service among the teams that could start a
		// task at the last choice; it never decreases. A team that becomes
		// active again starts from this value.
		virtualTime float64
		// activeWeight is the sum of the weights of the teams that could start
		// a task at the last choice; anyEligible is set if there was one.
		activeWeight float64
		anyEligible  bool
		tasks        int
		// slackMargin is by how much the slack of tasks of two instances must
		// differ for the difference to count.
		slackMargin time.Duration
		// firstPeer is the index of the peer that is asked first for slots.
		firstPeer int
		// lastProgress is the latest of these times: a task was added to the
		// empty queue, a task started, or the demand was sent to more peers
		// because no task had started.
		lastProgress time.Time
		// queuedWork is the sum of the expected run times of the waiting tasks.
		queuedWork time.Duration
	}

	// teamUsage is the service that one team has received in one rank.
	teamUsage struct {
		account *account
		// normalizedService is the run time in seconds of the team's tasks
		// divided by its weight.
		normalizedService float64
		waiting           int
	}

	// subqueue holds the waiting tasks of one rank that fit the same size
	// groups.
	subqueue struct {
		queue     *rankQueue
		groupMask uint64
		teams     []*teamQueue
		tasks     int
	}

	// teamQueue holds the tasks of one team in a subqueue.
	teamQueue struct {
		usage *teamUsage
		parts heap[*jobPart]
	}

	// waitingJob is a job with waiting tasks.
	waitingJob struct {
		job        *job.Job
		submission string
		class      string
		account    *account
		queue      *rankQueue
		accepted   time.Time
		deadline   time.Time
		// answerBy is when the job should be answered: at its class's target or
		// at its deadline, whichever is earlier.
		answerBy time.Time
		parts    []*jobPart
	}

	// jobPart holds the waiting tasks of one job in one subqueue.
	jobPart struct {
		job       *waitingJob
		subqueue  *subqueue
		teamQueue *teamQueue
		// startBy is when the part should start: when its wait equals the
		// expected run time of its longest task, but not later than the latest
		// start that meets the job's answerBy.
		startBy time.Time
		// tasks are in order of decreasing expected run time.
		tasks     []waitingTask
		heapIndex int
	}

	waitingTask struct {
		index      int
		needs      task.Needs
		expected   time.Duration
		bytes      int
		idempotent bool
	}
)

func (p *jobPart) position() *int { return &p.heapIndex }

// before orders parts by slack. A part keeps its position until all its tasks
// have started, so that jobs complete one after the other rather than many jobs
// being partly done.
func (p *jobPart) before(o *jobPart) bool {
	if !p.startBy.Equal(o.startBy) {
		return p.startBy.Before(o.startBy)
	}
	if !p.job.accepted.Equal(o.job.accepted) {
		return p.job.accepted.Before(o.job.accepted)
	}
	return p.job.submission < o.job.submission
}

// choose returns the part with the most urgent task that fits the groups of the
// mask, or nil.
func (s *Scheduler) choose(now time.Time, mask uint64) *jobPart {
	for _, q := range s.queues {
		if q.tasks == 0 {
			continue
		}
		if p := s.chooseFromRank(now, q, mask); p != nil {
			return p
		}
	}
	return nil
}

// chooseFromRank returns the part with the rank's most urgent task, or nil. It
// compares the teams with the virtual time of the last choice, and scans again
// with the updated one if no team qualifies.
func (s *Scheduler) chooseFromRank(now time.Time, q *rankQueue, mask uint64) *jobPart {
	if p := s.scanTeams(now, q, mask); p != nil || !q.anyEligible {
		return p
	}
	return s.scanTeams(now, q, mask)
}

// scanTeams returns the part with the least slack among the teams within the
// fairness window, and updates the virtual time and the active weight.
func (s *Scheduler) scanTeams(now time.Time, q *rankQueue, mask uint64) *jobPart {
	maxService := q.virtualTime + fairnessWindow.Seconds()*float64(max(1, s.capacity))/max(q.activeWeight, minActiveWeight)
	minService := math.Inf(1)
	activeWeight := 0.0
	var best *jobPart
	for _, sq := range q.subqueues {
		if sq.groupMask&mask == 0 {
			continue
		}
		for _, tq := range sq.teams {
			if !tq.usage.account.Allows(now) {
				continue
			}
			minService = min(minService, tq.usage.normalizedService)
			activeWeight += tq.usage.account.weight
			if tq.usage.normalizedService > maxService {
				continue
			}
			if p := tq.parts.top(); best == nil || p.before(best) {
				best = p
			}
		}
	}
	q.anyEligible = activeWeight > 0
	q.activeWeight = activeWeight
	if q.anyEligible {
		q.virtualTime = max(q.virtualTime, minService)
	}
	return best
}

// dequeueTask removes the part's first task from the queue.
func (s *Scheduler) dequeueTask(p *jobPart) waitingTask {
	t := p.tasks[0]
	p.tasks = p.tasks[1:]
	s.addToTotals(p, t, -1)
	if len(p.tasks) == 0 {
		s.removePart(p)
	}
	return t
}

// addToTotals adds the task n times to the totals; n is 1 or -1.
func (s *Scheduler) addToTotals(p *jobPart, t waitingTask, n int) {
	s.waiting += n
	s.bytes += int64(n * t.bytes)
	p.subqueue.tasks += n
	p.teamQueue.usage.waiting += n
	p.job.account.waiting += n
	p.job.queue.tasks += n
	p.job.queue.queuedWork += time.Duration(n) * t.expected
}

// removePart removes a part without tasks, and its job with the last part.
func (s *Scheduler) removePart(p *jobPart) {
	p.teamQueue.parts.remove(p.heapIndex)
	if p.teamQueue.parts.empty() {
		sq := p.subqueue
		i := slices.Index(sq.teams, p.teamQueue)
		sq.teams[i] = sq.teams[len(sq.teams)-1]
		sq.teams = sq.teams[:len(sq.teams)-1]
	}
	j := p.job
	j.parts = slices.DeleteFunc(j.parts, func(o *jobPart) bool { return o == p })
	if len(j.parts) == 0 {
		delete(s.jobs, j.submission)
	}
}

// enqueueTask adds a task to its job, which must be in s.jobs.
func (s *Scheduler) enqueueTask(j *waitingJob, mask uint64, t waitingTask) {
	p := s.partOf(j, mask)
	at, _ := slices.BinarySearchFunc(p.tasks, t, compareTasks)
	p.tasks = slices.Insert(p.tasks, at, t)
	s.addToTotals(p, t, 1)
	if at == 0 {
		p.startBy = earliest(j.accepted.Add(t.expected), j.answerBy.Add(-t.expected))
	}
	if p.heapIndex == notInHeap {
		p.teamQueue.parts.push(p)
		return
	}
	p.teamQueue.parts.fix(p.heapIndex)
}

// compareTasks sorts the longest task first, since a job ends with its last
// task.
func compareTasks(a, b waitingTask) int {
	return cmp.Or(cmp.Compare(b.expected, a.expected), cmp.Compare(a.index, b.index))
}

func (s *Scheduler) partOf(j *waitingJob, mask uint64) *jobPart {
	for _, p := range j.parts {
		if p.subqueue.groupMask == mask {
			return p
		}
	}
	sq := j.queue.subqueueOf(mask)
	p := &jobPart{job: j, subqueue: sq, teamQueue: sq.teamQueueOf(j.queue.usageOf(j.account)), heapIndex: notInHeap}
	j.parts = append(j.parts, p)
	return p
}

func (q *rankQueue) subqueueOf(mask uint64) *subqueue {
	for _, sq := range q.subqueues {
		if sq.groupMask == mask {
			return sq
		}
	}
	sq := &subqueue{queue: q, groupMask: mask}
	q.subqueues = append(q.subqueues, sq)
	return sq
}

func (sq *subqueue) teamQueueOf(u *teamUsage) *teamQueue {
	for _, tq := range sq.teams {
		if tq.usage == u {
			return tq
		}
	}
	tq := &teamQueue{usage: u}
	sq.teams = append(sq.teams, tq)
	return tq
}

// usageOf returns the team's usage of the rank. A team without waiting tasks
// is moved up to the virtual time, so that it gets no credit for its idle time.
func (q *rankQueue) usageOf(a *account) *teamUsage {
	for _, u := range q.usages {
		if u.account == a {
			if u.waiting == 0 {
				u.normalizedService = max(u.normalizedService, q.virtualTime)
			}
			return u
		}
	}
	u := &teamUsage{account: a, normalizedService: q.virtualTime}
	q.usages = append(q.usages, u)
	return u
}

// charge adds run time to the team's service; d may be negative.
func (u *teamUsage) charge(d time.Duration) {
	u.normalizedService += d.Seconds() / u.account.weight
}

// expectedRunTime returns the expected run time of a task, at least 1 ms.
func (s *Scheduler) expectedRunTime(class, team string, t *task.Task) time.Duration {
	return max(time.Millisecond, s.settings.Estimates.RunTime(class, team, t))
}
