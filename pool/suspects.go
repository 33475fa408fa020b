package pool

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// apartWeight is how much each other run on an endpoint counts against it for a
	// suspected task, and each suspected one for any other task. It outweighs
	// differences of speed, but an endpoint with room for both is used.
	apartWeight = 2
	// maxIsolatedShare is the largest share of the held endpoints that single tasks
	// have for themselves.
	maxIsolatedShare = 0.25
)

// reviewTasks makes the waiting tasks of a loss wait for a new verdict.
func (m *Machine) reviewTasks(loss crash.Loss) {
	for _, r := range loss.Runs {
		t := m.tasks[r.Task]
		if t == nil || t.state != waiting || m.suspects[t.name] != nil {
			continue
		}
		j := t.job
		j.waiting = slices.DeleteFunc(j.waiting, func(o *homeTask) bool { return o == t })
		if len(j.waiting) == 0 {
			m.dequeue(j)
		}
		m.suspects[t.name] = t
	}
}

// resolveSuspects starts, queues or withholds the suspected tasks, by the verdicts on
// them.
func (m *Machine) resolveSuspects(now time.Time, out *Output) {
	if len(m.suspects) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.suspects)) {
		t := m.suspects[name]
		if t == nil || t.state != waiting { // its job has ended meanwhile
			delete(m.suspects, name)
			continue
		}
		if t.job.suspended {
			m.endSuspendedJob(now, t.job, out)
			continue
		}
		m.resolveSuspect(now, t, out)
	}
}

func (m *Machine) resolveSuspect(now time.Time, t *homeTask, out *Output) {
	v, until := m.losses.Verdict(now, t.name, t.job.Queue.Name)
	h := m.losses.History(t.name)
	if v != t.verdict {
		t.verdict = v
		out.log(event.TaskSuspected, t.name, fmt.Sprintf("%s: lost with %d endpoints, the last one %s; %d of them have restarted, at %d of which it had started and at %d it ran alone; %d have restarted that did not run it", v, h.Losses, h.Last, h.Proved, h.Started, h.Alone, h.Others))
	}
	switch v {
	case crash.Free, crash.Apart:
		delete(m.suspects, t.name)
		m.enqueueWaiting(t)
	case crash.Alone:
		if m.placeAlone(now, t, out) {
			delete(m.suspects, t.name)
		}
	case crash.Wait:
		out.wakeAt(until)
	case crash.Withhold:
		m.withhold(now, t, h, until, out)
	}
}

// withhold ends the job of a task that does not start again while its caller waits. An
// instance that is cut off keeps the caller until its deadline, since another instance that
// does not know of the losses would start the task.
func (m *Machine) withhold(now time.Time, t *homeTask, h crash.History, until time.Time, out *Output) {
	if until.Before(t.job.Deadline) || !m.isolatedSince.IsZero() {
		out.wakeAt(until)
		return
	}
	m.endJob(now, t.job, fault.New(fault.OutcomeUnknown, "task %s was lost with %d endpoints, %d of which have restarted, and is not started again; the last one is %s", t.name, h.Losses, h.Proved, h.Last), out)
}

// suspectOf returns the first of the job's tasks that wait as suspected, or nil.
func (m *Machine) suspectOf(j *homeJob) *homeTask {
	if len(m.suspects) == 0 {
		return nil
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if m.suspects[t.name] != nil {
				return t
			}
		}
	}
	return nil
}

// placeAlone starts the task on a held endpoint that it has for itself, and reports
// whether it did. An instance that holds no endpoint for the task leaves it to a peer.
func (m *Machine) placeAlone(now time.Time, t *homeTask, out *Output) bool {
	s := m.startRequest(t)
	e := m.isolate(now, t.name, s)
	if e == nil {
		return !m.holdsEndpointFor(s) && m.placeTask(now, t, out)
	}
	if len(e.runs)+e.reserved > 0 || !e.accepts(now, s) {
		return false
	}
	m.placeHere(now, t, e, s, out)
	return true
}

// isolate returns the held endpoint that the task has for itself once its other runs
// have ended, or nil if none can be spared. It chooses the one that is expected to be
// empty first.
func (m *Machine) isolate(now time.Time, name string, s message.StartRun) *endpointState {
	isolated := 0
	for _, e := range m.held {
		switch {
		case e.isolatedFor == name && e.readyFor(now, name):
			return e
		case e.isolatedFor == name:
			e.isolatedFor = ""
		case e.isolatedFor != "":
			isolated++
		}
	}
	if isolated >= max(1, int(maxIsolatedShare*float64(len(m.held)))) {
		return nil
	}
	var best *endpointState
	bestTime := time.Duration(math.MaxInt64)
	for _, e := range m.held {
		if !e.suits(s) || !e.ready(now) {
			continue
		}
		if d := e.timeToEmpty(now); d < bestTime {
			best, bestTime = e, d
		}
	}
	if best != nil {
		best.isolatedFor = name
	}
	return best
}

// timeToEmpty returns how long the runs on the endpoint are expected to take.
func (e *endpointState) timeToEmpty(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, r := range e.runs {
		longest = max(longest, r.sentAt.Add(r.estimate).Sub(now), time.Millisecond)
	}
	return longest
}

// suits reports whether the endpoint could run the task if it were empty.
func (e *endpointState) suits(s message.StartRun) bool {
	return e.info.Service == s.Service && fitsWithin(s.Needs, e.info.Size) &&
		(s.Requires == "" || slices.Contains(e.info.Labels, s.Requires)) && !slices.Contains(s.Avoid, e.info.ID)
}

func (m *Machine) holdsEndpointFor(s message.StartRun) bool {
	return slices.ContainsFunc(m.held, func(e *endpointState) bool { return e.active && e.suits(s) })
}

// endIsolations ends those whose tasks neither run nor wait any more.
func (m *Machine) endIsolations() {
	for _, e := range m.held {
		if e.isolatedFor != "" && m.suspects[e.isolatedFor] == nil && !e.runsTask(e.isolatedFor) {
			e.isolatedFor = ""
		}
	}
}

func (e *endpointState) runsTask(name string) bool {
	for ref := range e.runs {
		if ref.Task == name {
			return true
		}
	}
	return false
}

// apartCost returns how much the runs on the endpoint count against it, for a task
// that is suspected or not.
func (e *endpointState) apartCost(suspected bool) float64 {
	if suspected {
		return apartWeight * float64(len(e.runs)+e.reserved)
	}
	return apartWeight * float64(e.suspects)
}
