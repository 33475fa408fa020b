package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// coldSlowdown is how many times as long a run takes that starts on a cold
	// endpoint.
	coldSlowdown = 2.5
	// listDelay is the longest time between a change of an endpoint and that of the
	// platform's list.
	listDelay = 600 * time.Millisecond
)

// fakeLeaving is the announced end of an endpoint.
type fakeLeaving struct {
	// at is when the endpoint leaves at the earliest; zero if it stays.
	at time.Time
	// listedAt is when the list tells it to the instances.
	listedAt time.Time
	// malformed makes the endpoint report a time that can't be right.
	malformed bool
}

// remaining returns what the endpoint reports of its end.
func (l fakeLeaving) remaining(now time.Time) (draining bool, left time.Duration) {
	switch {
	case l.at.IsZero():
		return false, 0
	case l.malformed:
		return true, -1
	}
	return true, max(l.at.Sub(now), 0)
}

// currentSlowdown returns the factor of the run times of runs that start now.
func (e *fakeEndpoint) currentSlowdown() float64 {
	if e.sim.now.Before(e.coldUntil) {
		return coldSlowdown * e.slowdown
	}
	return e.slowdown
}

// listed returns the endpoint's entry in the platform's list.
func (e *fakeEndpoint) listed() endpoint.Info {
	if e.staleEntry != nil {
		return *e.staleEntry
	}
	info := e.info
	info.Draining = info.Draining || !e.leaving.at.IsZero()
	if e.listedSize != (task.Needs{}) {
		info.Size = e.listedSize
	}
	if e.sim.now.Before(e.coldUntil) {
		info.ColdUntil = e.coldUntil
	}
	return info
}

// leave announces that the endpoint leaves after the notice, and ends it after
// the time that it really stays. The list tells it later than its polls.
func (e *fakeEndpoint) leave(notice, stays time.Duration) {
	sim, startedAt := e.sim, e.startedAt
	e.leaving.at = sim.now.Add(notice)
	sim.after(randomTime(sim.rng, listDelay), func() {
		if e.startedAt == startedAt && e.up {
			e.leaving.listedAt = sim.now
			sim.listEndpoints()
		}
	})
	sim.after(stays, func() {
		if e.startedAt != startedAt || !e.up {
			return
		}
		e.down()
		sim.after(randomTime(sim.rng, listDelay), sim.listEndpoints)
	})
}

// replaceAfter adds a new endpoint of the same size after d, which is cold for the
// given time.
func (e *fakeEndpoint) replaceAfter(d, cold time.Duration) {
	sim := e.sim
	sim.after(d, func() {
		n := newFakeEndpoint(sim, len(sim.endpoints))
		n.info.DataCentre = e.info.DataCentre
		n.startedAt = sim.now.Truncate(time.Millisecond)
		n.info.StartedAt = n.startedAt
		sim.endpoints = append(sim.endpoints, n)
		sim.byID[n.info.ID] = n
		n.becomeCold(cold)
		sim.after(randomTime(sim.rng, listDelay), sim.listEndpoints)
	})
}

// becomeCold makes the endpoint slow for the given time.
func (e *fakeEndpoint) becomeCold(d time.Duration) { e.coldUntil = e.sim.now.Add(d) }

// startSent checks that an instance sends no start to an endpoint after the list
// that it was given says that it is draining.
func (o *observer) startSent(n *fakeInstance, s Start) {
	e := o.endpoint(s.Endpoint.ID)
	if !e.leaving.listedAt.IsZero() && e.up && !n.suspended {
		o.sim.t.Errorf("%s sends a start of %s to %s, which is listed as draining", n.self.ID, s.Run.Task, e.info.ID)
	}
}

// lifetimeFailures are endpoints that leave with notice and cold endpoints.
func lifetimeFailures() []failure {
	leave := func(sim *simulation, notice, stays time.Duration) {
		e := sim.randomEndpoint()
		if e.leaving.at.IsZero() {
			e.leave(notice, stays)
			e.replaceAfter(stays+2*time.Second, 2*time.Second)
		}
	}
	second := time.Second
	return []failure{
		{"an endpoint leaves as announced", func(sim *simulation) { leave(sim, 2*second, 2*second) }},
		{"an endpoint leaves earlier than announced", func(sim *simulation) { leave(sim, 3*second, second) }},
		{"an endpoint stays longer than announced", func(sim *simulation) { leave(sim, second, 4*second) }},
		{"an endpoint leaves with a malformed notice", func(sim *simulation) {
			e := sim.randomEndpoint()
			if e.leaving.at.IsZero() {
				e.leaving.malformed = true
				e.leave(2*second, 2*second)
			}
		}},
		{"an endpoint restarts after its notice", func(sim *simulation) {
			e := sim.randomEndpoint()
			if e.leaving.at.IsZero() {
				e.leave(2*second, 5*second)
				sim.after(2*second, func() { e.crash(300 * time.Millisecond); sim.after(400*time.Millisecond, sim.listEndpoints) })
			}
		}},
		{"the endpoints of a data centre are cold", func(sim *simulation) {
			dc := sim.randomEndpoint().info.DataCentre
			for _, e := range sim.endpoints {
				if e.info.DataCentre == dc {
					e.becomeCold(3 * second)
				}
			}
			sim.after(randomTime(sim.rng, listDelay), sim.listEndpoints)
			sim.after(3*second+randomTime(sim.rng, listDelay), sim.listEndpoints)
		}},
	}
}
