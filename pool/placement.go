package pool

import (
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// loadWeight makes the load decide between endpoints of similar slowdown.
	// It is about the error of the measured slowdown.
	loadWeight = 0.05
	// fitWeight makes the room that a task leaves for others decide between
	// endpoints of similar slowdown.
	fitWeight = 0.25
	// unansweredPenalty makes an endpoint that left the last start unanswered come
	// after others that are not much slower.
	unansweredPenalty = 0.5
	// otherRackFactor is how many times longer a task takes outside the rack
	// of its data. The specification of the platform's installations gives
	// factors of two and three; this is the larger.
	otherRackFactor = 3
	// minScoredSpeed is the speed at which an endpoint counts whose speed is not
	// known or implausible.
	minScoredSpeed = 0.1
	// deferredReserve is the share of the slots held here that deferred jobs leave to
	// more urgent ones, whose tasks would wait for the end of a run otherwise.
	deferredReserve = 0.2
	// minSuccessShare is the lowest share of successful runs that counts.
	minSuccessShare = 0.05
)

// placeTasks assigns free slots to the most urgent tasks, whether they wait
// here or at a peer. A slot that is too small for a more urgent task goes to a
// smaller one.
func (m *Machine) placeTasks(now time.Time, out *Output) {
	m.resolveUnconfirmed(now, out)
	m.resolveSuspects(now, out)
	blocked := blockedSizes{}
	for _, j := range slices.Clone(m.queue) {
		if j.ended || blocked.coverJob(j) {
			continue
		}
		if j.suspended {
			m.endSuspendedJob(now, j, out)
			continue
		}
		m.offerMoreUrgent(now, j.Queue.Service, j, out)
		if j.deferred && !j.mayHaveStarted() && m.needsReserve(now, j) {
			continue
		}
		m.placeJob(now, j, blocked, out)
	}
	m.offerRemaining(now, out)
}

// needsReserve reports whether the free slots here are left to the more urgent jobs
// that are expected to arrive.
func (m *Machine) needsReserve(now time.Time, j *homeJob) bool {
	service := j.Queue.Service
	if admission.UrgentSlots(m.arrivals.rates(now, service), j.Queue.Priority) == 0 {
		return false
	}
	slots, free := m.slotTotals(now, service)
	return float64(free) <= deferredReserve*float64(slots)
}

// offerRemaining offers the slots that no own task uses, once for each service
// with tasks that wait at peers.
func (m *Machine) offerRemaining(now time.Time, out *Output) {
	var offered []string
	for _, p := range m.sortedPeers {
		for _, c := range p.capacities {
			if len(c.Backlog) > 0 && !slices.Contains(offered, c.Service) {
				offered = append(offered, c.Service)
				m.offerMoreUrgent(now, c.Service, nil, out)
			}
		}
	}
}

// placeJob places the waiting tasks of a job that may fit somewhere. It adds the
// sizes that found no slot to the blocked ones.
func (m *Machine) placeJob(now time.Time, j *homeJob, blocked blockedSizes, out *Output) {
	var rest []*homeTask
	for _, t := range j.waiting {
		if t.state != waiting {
			continue
		}
		step := &j.Steps[t.step]
		if blocked.cover(j.Queue.Service, step.Needs) {
			rest = append(rest, t)
			continue
		}
		if m.waitsForReliable(now, t) {
			if !m.placeReliably(now, t, out) {
				rest = append(rest, t)
			}
			continue
		}
		if m.placeTask(now, t, out) {
			continue
		}
		rest = append(rest, t)
		if step.Spread == 0 && step.Requires == "" && len(t.avoid) == 0 { // else it may be too large for some endpoints only
			blocked.add(j.Queue.Service, step.Needs)
		}
	}
	j.waiting = rest
	if len(rest) == 0 {
		m.dequeue(j)
	}
}

// placeTask places a task here or at a peer and reports whether it did.
func (m *Machine) placeTask(now time.Time, t *homeTask, out *Output) bool {
	s := m.startRequest(t)
	e := m.pickEndpoint(now, s)
	if p := m.warmerPeer(now, e, s); p != nil {
		m.placeOnPeer(t, p, s, out)
		return true
	}
	if e != nil {
		m.placeHere(now, t, e, s, out)
		return true
	}
	if t.job.Steps[t.step].Spread > 0 && m.hasUnknownEndpoint(t) {
		return false
	}
	p := m.peerWithCapacity(s.Service, s.Needs)
	if p == nil {
		return false
	}
	m.placeOnPeer(t, p, s, out)
	return true
}

// placeHere starts the task on a held endpoint.
func (m *Machine) placeHere(now time.Time, t *homeTask, e *endpointState, s message.StartRun, out *Output) {
	assignRun(t, &s)
	t.holder = m.cfg.Self.Ref
	t.endpoint = e.info.ID
	if m.hasRunOfOtherHome(t.name, m.cfg.Self.Ref) {
		m.markUnconfirmed(t, now.Add(m.maxLeaseDuration()))
		return
	}
	m.startRun(now, e, m.cfg.Self.Ref, s, out)
}

// placeOnPeer asks the peer to run the task.
func (m *Machine) placeOnPeer(t *homeTask, p *peer, s message.StartRun, out *Output) {
	assignRun(t, &s)
	t.holder = p.info.Ref
	m.send(p.info.Ref, s, out)
}

// assignRun sets the number of the task's next run and marks the task as
// placed.
func assignRun(t *homeTask, s *message.StartRun) {
	t.number++
	t.state = placed
	t.notBefore = time.Time{}
	s.Run = run.Ref{Task: t.name, Number: t.number}
}

// startRequest returns the request to start the task, without the number of the run.
func (m *Machine) startRequest(t *homeTask) message.StartRun {
	j := t.job
	step := j.Steps[t.step]
	s := message.StartRun{
		Run:      run.Ref{Task: t.name},
		Queue:    sentName(j.Queue.Name),
		Service:  j.Queue.Service,
		Spec:     j.Spec,
		Needs:    step.Needs,
		Estimate: step.Estimate,
		Requires: step.Requires,
		Rack:     step.Rack,
	}
	s.Avoid = t.avoid
	if step.Spread > 0 {
		s.Avoid = saturatedEndpoints(j.steps[t.step], step.Spread)
		s.NotifyStart = true // other tasks of the step need to know its endpoint
	}
	return s
}

// sentName returns the name of a queue for a message; empty if it is too long for one.
func sentName(queue string) string {
	if len(queue) > maxQueueName {
		return ""
	}
	return queue
}

// saturatedEndpoints returns the endpoints on which at least spread of the
// tasks run or ran.
func saturatedEndpoints(tasks []*homeTask, spread int) []string {
	counts := map[string]int{}
	var list []string
	for _, t := range tasks {
		if t.endpoint == "" {
			continue
		}
		counts[t.endpoint]++
		if counts[t.endpoint] == spread {
			list = append(list, t.endpoint)
		}
	}
	return list
}

// hasUnknownEndpoint reports whether another task of the step runs on an
// endpoint that is not known yet.
func (m *Machine) hasUnknownEndpoint(t *homeTask) bool {
	for _, o := range t.job.steps[t.step] {
		if o != t && o.state == placed && o.endpoint == "" {
			return true
		}
	}
	return false
}

// pickEndpoint returns the best held endpoint that can run the task now, or
// nil. It prefers the requested rack, then speed, then a slot that leaves room for
// as many other tasks as possible, then low load.
func (m *Machine) pickEndpoint(now time.Time, s message.StartRun) *endpointState {
	var best *endpointState
	bestScore := math.Inf(1)
	sizes := m.sizesOf(s.Service)
	suspected := m.losses.Suspected(s.Run.Task)
	for _, e := range m.held {
		if !e.accepts(now, s) {
			continue
		}
		score := e.score(s) + e.coldScore(now, s) + e.fitCost(sizes, s) + e.apartCost(suspected)
		if e.health.unanswered > 0 {
			score += unansweredPenalty // the task may be the one that was not answered
		}
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// fitCost returns how much a task on the endpoint counts for the room of other
// tasks that it takes.
func (e *endpointState) fitCost(sizes taskSizes, s message.StartRun) float64 {
	return fitWeight * sizes.displaced(e.remaining(), s.Needs, e.info.Slots-len(e.runs)-e.reserved)
}

// accepts reports whether the endpoint can run the task now.
func (e *endpointState) accepts(now time.Time, s message.StartRun) bool {
	if !e.readyFor(now, s.Run.Task) || e.info.Service != s.Service || e.awaitsAnswer(now) {
		return false
	}
	if e.info.Slots > 0 && len(e.runs)+e.reserved >= e.info.Slots || e.atColdLimit(now, s.Needs) {
		return false
	}
	if s.Requires != "" && !(e.infoIsCurrent() && slices.Contains(e.info.Labels, s.Requires)) || slices.Contains(s.Avoid, e.info.ID) {
		return false
	}
	return fitsWithin(addScaled(e.used, s.Needs, 1), e.info.Size)
}

// ready reports whether the endpoint may get work of any task.
func (e *endpointState) ready(now time.Time) bool { return e.readyFor(now, "") }

// readyFor reports whether the endpoint may get the task, as far as the task's needs
// don't matter.
func (e *endpointState) readyFor(now time.Time, task string) bool {
	if !e.active || e.closed || e.releasing || e.isolatedFor != "" && e.isolatedFor != task || e.info.Draining || !e.clock.known() || e.silent(now) {
		return false
	}
	if e.unknownRuns > 0 || e.unguarded && !e.infoIsCurrent() {
		return false
	}
	if e.hasOverdueStop(now.Add(-minAnswerTimeout)) {
		return false // a start would extend the lease
	}
	usable, probation := e.health.usable(now)
	judged, single := e.mayWork()
	return usable && judged && (!probation && !single || len(e.runs)+e.reserved == 0)
}

// score ranks endpoints that can run a task; lower is better.
func (e *endpointState) score(s message.StartRun) float64 {
	return e.slowdown(s) + loadWeight*e.load()
}

// load returns the share of the endpoint's cores that are used.
func (e *endpointState) load() float64 {
	if e.info.Size.Cores <= 0 {
		return 0
	}
	return e.used.Cores / e.info.Size.Cores
}

// slowdown returns the expected time to success on the endpoint, divided by that
// on a sound one of speed 1 in the rack of the data.
func (e *endpointState) slowdown(s message.StartRun) float64 {
	slowdown := 1 / (max(e.speed, minScoredSpeed) * max(1-e.failedShare, minSuccessShare))
	if s.Rack != "" && e.info.Rack != s.Rack {
		slowdown *= otherRackFactor
	}
	return slowdown
}

// slots returns how many tasks of the given sizes the endpoint is expected to run
// in total and how many more now.
func (e *endpointState) slots(now time.Time, sizes taskSizes) (total, free float64) {
	if !e.ready(now) {
		return 0, 0
	}
	return e.coldSlots(now, sizes, sizes.fits(e.info.Size, e.info.Slots), sizes.fits(e.remaining(), e.info.Slots-len(e.runs)-e.reserved))
}

// remaining returns the resources that are neither used nor reserved.
func (e *endpointState) remaining() task.Needs { return addScaled(e.info.Size, e.used, -1) }

// slotTotals returns the total and free slots of a service on the endpoints
// held here.
func (m *Machine) slotTotals(now time.Time, service string) (total, free int) {
	sizes := m.sizesOf(service)
	allSlots, allFree := 0.0, 0.0
	for _, e := range m.held {
		if e.info.Service == service {
			a, f := e.slots(now, sizes)
			allSlots += a
			allFree += f
		}
	}
	return int(math.Round(allSlots)), int(math.Round(allFree))
}

// largestFree returns the free resources of the held endpoint that has the most
// free cores.
func (m *Machine) largestFree(now time.Time, service string) task.Needs {
	var largest task.Needs
	for _, e := range m.held {
		if e.info.Service != service || !e.ready(now) || len(e.runs)+e.reserved >= e.info.Slots {
			continue
		}
		if remaining := e.coldRemaining(now); remaining.Cores > largest.Cores {
			largest = remaining
		}
	}
	return largest
}

func (m *Machine) freeSlotCount(now time.Time, service string) int {
	_, free := m.slotTotals(now, service)
	return free
}
