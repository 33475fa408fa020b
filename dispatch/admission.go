package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
)

const (
	// minRetryAfter is the shortest retry delay that a refusal asks for.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest one.
	maxRetryAfter = 60 * time.Second
	// lowestRankFraction is the fraction of the bounds on waiting tasks up to
	// which jobs of the least urgent rank are admitted. The fraction is 1 for
	// the most urgent rank and linear in between.
	lowestRankFraction = 0.5
)

// jobTotals are sums over the tasks of a job.
type jobTotals struct {
	bytes int64
	// work is the sum of the expected run times, longest their maximum.
	work, longest time.Duration
}

// Admit returns the error with which the job must be refused before any of its
// tasks runs, or nil if the job can be accepted. It does not change the
// Scheduler.
func (s *Scheduler) Admit(now time.Time, j *job.Job) *fault.Error {
	if s.stopping {
		return fault.New(fault.Stopping, "").WithRetryAfter(minRetryAfter)
	}
	rank, c, f := s.classByName(j.Class)
	if f != nil {
		return f
	}
	if !s.knowsTeam(j.Team) {
		return fault.New(fault.UnknownTeam, "%q", j.Team)
	}
	if f := s.checkFit(j); f != nil {
		return f
	}
	totals := s.totalsOf(j)
	if f := s.checkBounds(rank, j, totals); f != nil {
		return f
	}
	return s.checkTime(now, rank, c, j, totals)
}

func (s *Scheduler) classByName(name string) (class.Rank, class.Class, *fault.Error) {
	for i, c := range s.classes {
		if c.Name == name {
			return s.classRanks[i], c, nil
		}
	}
	return 0, class.Class{}, fault.New(fault.UnknownClass, "%q", name)
}

// knowsTeam reports whether the team may submit jobs. A configuration without
// teams admits every team, without quotas.
func (s *Scheduler) knowsTeam(name string) bool {
	if s.document == nil || len(s.document.Teams) == 0 {
		return true
	}
	for _, t := range s.document.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}

// checkFit refuses a job with a task that no listed endpoint can run.
func (s *Scheduler) checkFit(j *job.Job) *fault.Error {
	if len(s.endpoints) == 0 {
		return fault.New(fault.EndpointsUnavailable, "no endpoint is known").WithRetryAfter(s.retryAfter(j, minRetryAfter))
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		mask := s.fittingGroups(t.Needs)
		if mask == 0 {
			return fault.New(fault.NoEndpointFits, "task %q", t.ID)
		}
	}
	return nil
}

func (s *Scheduler) totalsOf(j *job.Job) jobTotals {
	var totals jobTotals
	for i := range j.Tasks {
		t := &j.Tasks[i]
		run := s.expectedRunTime(j.Class, j.Team, t)
		totals.bytes += int64(len(t.Payload))
		totals.work += run
		totals.longest = max(totals.longest, run)
	}
	return totals
}

// checkBounds refuses a job that would exceed the bounds on waiting tasks. The
// bounds are lower for less urgent ranks.
func (s *Scheduler) checkBounds(r class.Rank, j *job.Job, totals jobTotals) *fault.Error {
	fraction := 1.0
	if n := len(s.queues); n > 1 {
		fraction -= (1 - lowestRankFraction) * float64(r) / float64(n-1)
	}
	tasks := s.waiting + len(j.Tasks)
	bytes := s.bytes + totals.bytes
	if float64(tasks) <= fraction*float64(s.settings.MaxTasks) && float64(bytes) <= fraction*float64(s.settings.MaxBytes) {
		return nil
	}
	wait := s.expectedWait(r)
	return fault.New(fault.QueueFull, "%d tasks wait", s.waiting).WithRetryAfter(s.retryAfter(j, wait/2))
}

// checkTime refuses a job that is predicted to miss its deadline, or to exceed
// the allowed wait if it has none.
func (s *Scheduler) checkTime(now time.Time, r class.Rank, c class.Class, j *job.Job, totals jobTotals) *fault.Error {
	if s.capacity == 0 {
		return fault.New(fault.EndpointsUnavailable, "").WithRetryAfter(s.retryAfter(j, minRetryAfter))
	}
	limit := max(s.settings.MaxWait, c.Target)
	if !j.Deadline.IsZero() {
		limit = j.Deadline.Sub(now)
	}
	runTime := max(totals.longest, time.Duration(float64(totals.work)/float64(s.capacity)))
	if !j.Deadline.IsZero() && runTime > limit {
		return fault.New(fault.DeadlineTooNear, "the job alone takes %v", runTime)
	}
	if f := s.checkQuota(j, totals, limit); f != nil {
		return f
	}
	wait := s.expectedWait(r)
	if wait+runTime <= limit || wait == 0 {
		return nil
	}
	excess := wait + runTime - limit
	if j.Deadline.IsZero() {
		return fault.New(fault.QueueFull, "the expected wait is %v", wait.Round(time.Millisecond)).WithRetryAfter(s.retryAfter(j, excess))
	}
	return fault.New(fault.DeadlineTooNear, "the expected wait is %v", wait.Round(time.Millisecond)).WithRetryAfter(s.retryAfter(j, excess))
}

// checkQuota refuses a job whose tasks the team's quota alone would delay
// beyond the limit.
func (s *Scheduler) checkQuota(j *job.Job, totals jobTotals, limit time.Duration) *fault.Error {
	a := s.accounts[j.Team]
	if a == nil {
		return nil
	}
	mean := totals.work / time.Duration(max(1, len(j.Tasks)))
	delay := a.Delay(a.waiting+len(j.Tasks), mean)
	if delay <= limit {
		return nil
	}
	return fault.New(fault.OverQuota, "team %q has %d tasks waiting", j.Team, a.waiting).WithRetryAfter(s.retryAfter(j, delay-limit))
}

// retryAfter returns the delay after which the caller should retry. It adds up
// to the base delay again as jitter derived from the submission's ID, so that
// callers refused together do not retry together.
func (s *Scheduler) retryAfter(j *job.Job, base time.Duration) time.Duration {
	base = min(max(base, minRetryAfter), maxRetryAfter/2)
	jitter := xxhash.Sum64String(j.SubmissionID) % uint64(base)
	return base + time.Duration(jitter)
}
