package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
)

// SetEndpoints replaces the list of endpoints and ignores those of other data
// centres. An endpoint that is no longer listed is kept while tasks of this
// instance run on it.
func (s *Scheduler) SetEndpoints(now time.Time, infos []endpoint.Info, out *Output) {
	for _, e := range s.endpoints {
		e.listed = false
	}
	for _, info := range infos {
		if info.DataCentre == s.settings.Self.DataCentre {
			s.setEndpoint(info)
		}
	}
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *endpointState) bool {
		removed := !e.listed && e.running == 0
		if removed {
			s.removeEndpoint(now, e)
		}
		return removed
	})
	slices.SortFunc(s.endpoints, func(a, b *endpointState) int { return strings.Compare(a.info.ID, b.info.ID) })
	s.assignHolders(now)
	s.refreshAll(now)
	s.regroupTasks()
	s.schedule(now, out)
}

func (s *Scheduler) setEndpoint(info endpoint.Info) {
	e := s.endpointByID[info.ID]
	if e == nil {
		e = &endpointState{group: s.groupOf(info.Size), heapIndex: notInHeap, speed: 1}
		e.group.endpoints++
		s.endpointByID[info.ID] = e
		s.endpoints = append(s.endpoints, e)
	}
	e.info = info
	e.listed = true
}

func (s *Scheduler) removeEndpoint(now time.Time, e *endpointState) {
	s.update(now, e)
	e.group.endpoints--
	delete(s.endpointByID, e.info.ID)
}

// refreshAll reads the health of every endpoint and recomputes the capacity.
func (s *Scheduler) refreshAll(now time.Time) {
	s.capacity = 0
	for _, e := range s.endpoints {
		e.usable = 0
		s.refresh(now, e)
	}
	s.nextRefresh = now.Add(refreshInterval)
}

// regroupTasks moves the waiting tasks to the subqueues that match the size
// groups, after the list of endpoints has changed.
func (s *Scheduler) regroupTasks() {
	for _, q := range s.queues {
		for _, sq := range slices.Clone(q.subqueues) {
			s.regroupSubqueue(sq)
		}
		q.subqueues = slices.DeleteFunc(q.subqueues, func(sq *subqueue) bool { return sq.tasks == 0 })
	}
}

func (s *Scheduler) regroupSubqueue(sq *subqueue) {
	var parts []*jobPart
	for _, t := range sq.teams {
		parts = append(parts, t.parts.items...)
	}
	for _, p := range parts {
		for _, t := range slices.Clone(p.tasks) {
			if mask := s.fittingGroups(t.needs); mask != sq.groupMask {
				s.moveTask(p, t, mask)
			}
		}
	}
}

func (s *Scheduler) moveTask(p *jobPart, t waitingTask, mask uint64) {
	s.enqueueTask(p.job, mask, t)
	i := slices.Index(p.tasks, t)
	p.tasks = slices.Delete(p.tasks, i, i+1)
	s.addToTotals(p, t, -1)
	if len(p.tasks) == 0 {
		s.removePart(p)
	}
}
