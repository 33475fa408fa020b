package pool

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// leaveMargin is by how much a run must outlast its endpoint at least to be
	// moved.
	leaveMargin = 100 * time.Millisecond
	// earliestShare is the least share of its estimate that a run takes. Estimates
	// are off by up to 40 %.
	earliestShare = 0.6
	// minPercent is the progress from which on a run's end is extrapolated.
	minPercent = 10
	// maxMovedShare is the largest share of its estimate that a run of another home
	// may have run when it is moved. The holder does not know the job's goal, which
	// is the work times a factor of about 1.6 or more.
	maxMovedShare = 0.5
	// moveTime is the time from the decision to move a run to the start of the next
	// one, without the time of the stop: three round trips between data centres.
	moveTime = 15 * time.Millisecond
	// moveWindow is how long after a move its task may not yet have taken the slot
	// elsewhere: a stop, its proof, the start and the next report of free slots.
	moveWindow = 150 * time.Millisecond
)

// move is a run that was stopped because its endpoint leaves.
type move struct {
	service string
	at      time.Time
}

// applyRemaining records what a poll reply says of the endpoint's end.
func (m *Machine) applyRemaining(now time.Time, e *endpointState, reply PollReply, out *Output) {
	l := &e.lifetime
	l.beginBoot(reply.StartedAt)
	if !reply.Draining {
		l.leavesAt = time.Time{}
		return
	}
	l.draining, l.boot = true, reply.StartedAt
	if !l.observeRemaining(now, reply.Sent, reply.Remaining) && !l.invalid {
		l.invalid = true
		out.log(event.RemainingTimeInvalid, e.info.ID, "the endpoint drains, but the time that it reports to have left is negative or longer than "+MaxRemaining.String())
	}
	if !e.info.Draining {
		e.info.Draining = true
		m.logDraining(now, e, "reported by the endpoint", out)
	}
}

// applyListed records what the platform's list says of the endpoint's lifetime.
func (e *endpointState) applyListed(now time.Time, info endpoint.Info) {
	e.lifetime.beginBoot(info.StartedAt)
	e.lifetime.setListed(info.Draining)
	if e.lifetime.setCold(now, info.ColdUntil) {
		for _, r := range e.runs {
			e.expectCold(now, r)
		}
	}
}

// earliestEnd returns the earliest end of a run that has started, by its progress
// or else by its estimate.
func (r *heldRun) earliestEnd() time.Time {
	if r.progress.percent < minPercent {
		return r.startedAt.Add(time.Duration(earliestShare * float64(r.estimate)))
	}
	ran := r.progress.increasedAt.Sub(r.startedAt)
	return r.startedAt.Add(time.Duration(float64(ran) * 100 / (r.progress.percent + 1))) // percentages are rounded down
}

// outlasts reports whether a run would end after its endpoint has left.
func (e *endpointState) outlasts(now time.Time, r *heldRun) bool {
	return e.lifetime.leaving() && !r.startedAt.IsZero() && r.earliestEnd().After(e.lifetime.end(now).Add(leaveMargin))
}

// shouldMove reports whether a run is to be stopped, so that its task starts
// elsewhere before its endpoint leaves.
func (m *Machine) shouldMove(now time.Time, e *endpointState, r *heldRun) bool {
	return e.outlasts(now, r) && m.usefulElsewhere(now, r) && m.hasRoomElsewhere(now, e, r)
}

// usefulElsewhere reports whether a new run of the task that starts now would end in
// time: by the job's goal, or while its answer is of use if the present run misses
// the goal too.
func (m *Machine) usefulElsewhere(now time.Time, r *heldRun) bool {
	if r.home != m.cfg.Self.Ref {
		return r.ref.Number == 1 && float64(now.Sub(r.startedAt)) <= maxMovedShare*float64(r.work)
	}
	t := m.tasks[r.ref.Task]
	if t == nil || t.number != r.ref.Number || t.state != placed {
		return false
	}
	j := t.job
	rest := workAfter(j.Steps, t.step)
	end := now.Add(m.cfg.StopTime + moveTime + r.work + rest)
	if !end.After(j.goal) {
		return true
	}
	return r.earliestEnd().Add(rest).After(j.goal) && !end.After(earlier(j.expiresAt, j.Deadline))
}

// workAfter returns the total estimate of the longest chain of steps that depend on
// the step.
func workAfter(steps []Step, step int) time.Duration {
	after := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		for _, a := range steps[i].After {
			if a < i {
				after[a] = max(after[a], steps[i].Estimate+after[i])
			}
		}
	}
	return after[step]
}

// hasRoomElsewhere reports whether a slot for the run's task is free: an own one, or
// one of this instance's share of those of the peers. Earlier moves need theirs first.
func (m *Machine) hasRoomElsewhere(now time.Time, e *endpointState, r *heldRun) bool {
	free, peersFree := 0, 0
	s := message.StartRun{Service: e.info.Service, Needs: r.needs, Estimate: r.work, Requires: r.requires}
	if m.pickEndpoint(now, s) != nil {
		free = m.freeSlotCount(now, e.info.Service)
	}
	for _, p := range m.sortedPeers {
		c := p.capacity(e.info.Service)
		if c != nil && r.requires == "" && !p.status.Draining && fitsWithin(r.needs, c.Largest) {
			peersFree += c.Free
		}
	}
	return free+peersFree/(len(m.sortedPeers)+1) > m.pendingMoves(now, e.info.Service)
}

// pendingMoves returns the number of moves whose tasks have not taken their slots
// elsewhere yet.
func (m *Machine) pendingMoves(now time.Time, service string) int {
	m.moves = slices.DeleteFunc(m.moves, func(v move) bool { return now.Sub(v.at) > moveWindow })
	n := 0
	for _, v := range m.moves {
		if v.service == service {
			n++
		}
	}
	for _, e := range m.held {
		if e.info.Service != service || !e.lifetime.leaving() {
			continue
		}
		for _, r := range e.runs {
			if r.moved && now.Sub(r.stopRequestedAt) > moveWindow {
				n++ // not among m.moves any more
			}
		}
	}
	return n
}

// moveRun stops a run, so that its home starts the task elsewhere once its end is
// proved.
func (m *Machine) moveRun(now time.Time, e *endpointState, r *heldRun, out *Output) {
	r.moved = true
	m.moves = append(m.moves, move{e.info.Service, now})
	out.log(event.RunMoved, r.ref.Task, fmt.Sprintf("run %d on endpoint %s, which leaves in %s or later: it began %s ago with an estimate of %s, is at %.0f %% and ends in %s at the earliest",
		r.ref.Number, e.info.ID, milliseconds(e.lifetime.end(now).Sub(now)), milliseconds(now.Sub(r.startedAt)), milliseconds(r.work), r.progress.percent, milliseconds(r.earliestEnd().Sub(now))))
	m.sendStop(now, e, r, out)
}

// logLeft logs that a draining endpoint no longer answers.
func (e *endpointState) logLeft(out *Output) {
	out.log(event.EndpointLeft, e.info.ID, fmt.Sprintf("%d runs ended with it", len(e.runs)))
}

// announceCapacity sets how many of the reported slots are about to be taken by runs
// that outlast their endpoints, and how many will be usable soon.
func (m *Machine) announceCapacity(now time.Time, c *message.Capacity) {
	leaving, joining := 0, 0.0
	sizes := m.sizesOf(c.Service)
	for _, e := range m.held {
		switch {
		case e.info.Service != c.Service:
		case e.info.Draining:
			leaving += e.outlastingRuns(now)
		case !e.active:
			if e.unresponsiveSince.IsZero() && !e.silent(now) && !e.releasing {
				joining += sizes.fits(e.info.Size, e.info.Slots)
			}
		case e.lifetime.cold(now) && e.ready(now):
			total := sizes.fits(e.info.Size, e.info.Slots)
			usable, _ := e.coldSlots(now, sizes, total, 0)
			joining += total - usable
		}
	}
	c.Leaving, c.Joining = min(float64(leaving), float64(c.Slots)), math.Round(joining) // whole numbers change less often
}

// outlastingRuns returns the number of runs whose tasks will have to start elsewhere
// because the endpoint leaves.
func (e *endpointState) outlastingRuns(now time.Time) int {
	n := 0
	for _, r := range e.runs {
		if !r.orphaned && (r.moved || e.outlasts(now, r)) {
			n++
		}
	}
	return n
}
