package dispatch

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/team"
)

// SetConfiguration applies a version of the classes and quotas and queues the
// waiting tasks again by the ranks of their classes in it.
func (s *Scheduler) SetConfiguration(now time.Time, d *configuration.Document, out *Output) {
	s.document = d
	s.setQuotas(now)
	old := s.queues
	s.classes = d.Classes
	s.classRanks = class.Ranks(d.Classes)
	s.queues = nil
	for range slices.Max(append(s.classRanks, 0)) + 1 {
		s.queues = append(s.queues, &rankQueue{rank: class.Rank(len(s.queues))})
	}
	for i, c := range s.classes {
		s.queues[s.classRanks[i]].slackMargin = min(max(c.Target/slackMarginDivisor, minSlackMargin), maxSlackMargin)
	}
	for _, q := range old {
		for _, sq := range q.subqueues {
			s.requeueTasks(sq)
		}
	}
	s.schedule(now, out)
}

// requeueTasks moves the waiting tasks of a subqueue of the previous
// configuration to the current queues.
func (s *Scheduler) requeueTasks(sq *subqueue) {
	for _, tq := range sq.teams {
		for _, p := range tq.parts.items {
			j := p.job
			var c class.Class
			j.queue, c = s.queueOf(j.class)
			if c.Target > 0 && j.deadline.IsZero() {
				j.answerBy = j.accepted.Add(c.Target)
			}
			j.parts = slices.DeleteFunc(j.parts, func(o *jobPart) bool { return o == p })
			for _, t := range p.tasks {
				s.waiting--
				s.bytes -= int64(t.bytes)
				j.account.waiting--
				s.enqueueTask(j, sq.groupMask, t)
			}
		}
	}
}

// queueOf returns the queue of the class and the class itself. A class that is
// not in the current configuration gets the least urgent rank.
func (s *Scheduler) queueOf(name string) (*rankQueue, class.Class) {
	for i, c := range s.classes {
		if c.Name == name {
			return s.queues[s.classRanks[i]], c
		}
	}
	if len(s.queues) == 0 {
		s.queues = []*rankQueue{{}}
	}
	return s.queues[len(s.queues)-1], class.Class{Name: name}
}

func (s *Scheduler) setQuotas(now time.Time) {
	weights := team.Weights(s.document.Teams)
	for _, a := range s.accounts {
		a.SetQuota(now, team.Team{}, 1)
		a.weight = 1
	}
	for i, t := range s.document.Teams {
		a := s.accountOf(t.Name)
		a.SetQuota(now, t, len(s.peers)+1)
		a.weight = weights[i]
	}
}

func (s *Scheduler) accountOf(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, weight: 1}
		s.accounts[name] = a
	}
	return a
}
