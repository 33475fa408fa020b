package dispatch

import (
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/task"
)

// Reasons why a task waits.
const (
	// NoSlot means that every slot that fits is in use.
	NoSlot WaitReason = iota
	// BehindClass means that tasks of a more urgent class wait too.
	BehindClass
	// TeamQuota means that the team's quota does not allow the start.
	TeamQuota
	// CapacityLost means that no endpoint that fits has usable slots.
	CapacityLost
)

type (
	// WaitReason is the reason why a task waits.
	WaitReason uint8

	// Wait describes why one task waits.
	Wait struct {
		Ref    task.Ref
		Reason WaitReason
		// Class is the more urgent class if Reason is BehindClass.
		Class string
		// Since is when the job was accepted.
		Since time.Time
	}

	// Backlog is the waiting tasks of one rank.
	Backlog struct {
		Rank  class.Rank
		Tasks int
		// Wait is how long a new task of the rank is expected to wait.
		Wait time.Duration
	}
)

// String returns the name of the reason, such as "no_slot".
func (r WaitReason) String() string {
	switch r {
	case BehindClass:
		return "behind_class"
	case TeamQuota:
		return "team_quota"
	case CapacityLost:
		return "capacity_lost"
	default:
		return "no_slot"
	}
}

// Next returns when to call Tick next, which is the last Output.Wake.
func (s *Scheduler) Next() time.Time { return s.wake }

// Counters returns the totals since the start of the instance.
func (s *Scheduler) Counters() Counters { return s.counters }

// Waiting returns the number of waiting tasks.
func (s *Scheduler) Waiting() int { return s.waiting }

// Backlogs returns the waiting tasks by rank.
func (s *Scheduler) Backlogs() []Backlog {
	backlogs := make([]Backlog, 0, len(s.queues))
	for _, q := range s.queues {
		backlogs = append(backlogs, Backlog{Rank: q.rank, Tasks: q.tasks, Wait: s.expectedWait(q.rank)})
	}
	return backlogs
}

// Waits returns why each waiting task of the submission waits.
func (s *Scheduler) Waits(now time.Time, submission string) []Wait {
	j := s.jobs[submission]
	if j == nil {
		return nil
	}
	var waits []Wait
	for _, p := range j.parts {
		reason, class := s.waitReason(now, p)
		for _, t := range p.tasks {
			ref := task.Ref{Submission: submission, Index: t.index}
			waits = append(waits, Wait{Ref: ref, Reason: reason, Class: class, Since: j.accepted})
		}
	}
	return waits
}

func (s *Scheduler) waitReason(now time.Time, p *jobPart) (reason WaitReason, class string) {
	if !p.job.account.Allows(now) {
		return TeamQuota, ""
	}
	if !s.anyUsable(p.subqueue.groupMask) {
		return CapacityLost, ""
	}
	for _, q := range s.queues[:p.job.queue.rank] {
		if q.tasks > 0 {
			return BehindClass, s.className(q.rank)
		}
	}
	return NoSlot, ""
}

func (s *Scheduler) anyUsable(fits uint64) bool {
	for _, e := range s.endpoints {
		if e.group.bit&fits != 0 && s.usableSlots(e) > 0 {
			return true
		}
	}
	return false
}

// className returns the name of the first class of the rank.
func (s *Scheduler) className(r class.Rank) string {
	for i, c := range s.classes {
		if s.classRanks[i] == r {
			return c.Name
		}
	}
	return ""
}

// ownCapacity returns this instance's equal part of the capacity in slots, at
// least 1.
func (s *Scheduler) ownCapacity() float64 {
	return max(1, float64(s.capacity)/float64(len(s.peers)+1))
}

// expectedWait returns the time that the instance's part of the capacity needs
// for the waiting tasks of the rank and of more urgent ranks.
func (s *Scheduler) expectedWait(r class.Rank) time.Duration {
	var work time.Duration
	for _, q := range s.queues {
		if q.rank <= r {
			work += q.queuedWork
		}
	}
	return time.Duration(float64(work) / s.ownCapacity())
}
