package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

const (
	// failureThreshold is the evidence at which an endpoint gets no work for a
	// while: three failures in a row where others hardly fail.
	failureThreshold = 6.5
	// suspectPause, ejectionBackoff and maxEjectionBackoff are for how long. A
	// trial costs one run, and the repair of an endpoint takes seconds.
	suspectPause       = 400 * time.Millisecond
	ejectionBackoff    = time.Second
	maxEjectionBackoff = 4 * time.Second
	// maxEjectedShare is the largest share of the held endpoints of a data centre
	// that get no work because their runs fail.
	maxEjectedShare = 0.5
	// shortageTime is how long after the last waiting task a shortage ends.
	shortageTime = time.Second
	// failedJobTTL is how long the failures of a job are known, and
	// maxFailedJobs bounds the number of such jobs.
	failedJobTTL  = 3 * time.Second
	maxFailedJobs = 4096
	// servicePrefix distinguishes the profile of a whole service from that of a
	// queue.
	servicePrefix = "service:"
	// minOtherEndpoints is how many other endpoints must be able to run a failed
	// task so that it avoids the one where it failed. With fewer, it could wait
	// long for one of them.
	minOtherEndpoints = 4
)

type (
	// judge decides from how runs end which held endpoints get work, with the
	// evidence of package endpoint, and keeps what is learnt of their speeds.
	judge struct {
		tracker *endpoint.Tracker
		speeds  *endpoint.Profiles
		// failedJobs has the jobs of which runs have failed here, by job ID.
		failedJobs map[string]*failedJob
		// waitingSeenAt is when tasks last waited, here or at a peer.
		waitingSeenAt time.Time
		out           endpoint.Output
	}

	// failedJob is a job of which runs have failed on held endpoints.
	failedJob struct {
		at time.Time
		// done reports that another run of the job was successful, so that the
		// job itself can be done.
		done bool
		// endpoints are the IDs of the endpoints to which its failures count.
		endpoints []string
		// several reports that it has failed on several endpoints.
		several bool
	}
)

func newJudge(now time.Time, seed uint64) judge {
	return judge{
		tracker: endpoint.New(endpoint.Settings{
			Seed:             seed,
			MaxEjectedShare:  maxEjectedShare,
			MaxPausedShare:   maxEjectedShare,
			FailureThreshold: failureThreshold,
			SuspectPause:     suspectPause,
			Backoff:          ejectionBackoff,
			MaxBackoff:       maxEjectionBackoff,
		}, now),
		speeds:     endpoint.NewProfiles(),
		failedJobs: map[string]*failedJob{},
	}
}

// jobOfTask returns the ID of the job that a task belongs to; see taskName.
func jobOfTask(name string) string {
	for range 3 {
		i := strings.LastIndexByte(name, '.')
		if i < 0 {
			return name
		}
		name = name[:i]
	}
	return name
}

// judgeEnd includes the end of a run in the evidence about its endpoint.
func (m *Machine) judgeEnd(now time.Time, e *endpointState, r *heldRun, status run.Status, out *Output) {
	ran := now.Sub(r.startedAt)
	switch status {
	case run.Done:
		e.health.recordDone()
		if f := m.judge.failedJobs[jobOfTask(r.ref.Task)]; f != nil {
			f.done = true
		}
		m.judge.speeds.Observe(e.info.ID, r.queue, ran, r.judgedEstimate())
		e.speed, _ = m.judge.speeds.Speed(e.info.ID)
		m.judge.tracker.Finished(now, e.info.ID, endpoint.Answered, ran, 0, endpoint.Load{}, &m.judge.out)
	case run.Failed:
		if m.judge.countsAgainst(now, e.info.ID, r) {
			m.judge.tracker.Finished(now, e.info.ID, endpoint.Failed, ran, 0, endpoint.Load{}, &m.judge.out)
		}
	default:
		return
	}
	e.failedShare, e.outcomes = m.judge.tracker.FailedShare(e.info.ID)
	m.applyJudgement(now, out)
}

// countsAgainst reports whether a failed run says something about its endpoint.
// It does not if the job may be one that fails everywhere: of such a job, the
// first failure counts until another endpoint fails it too.
func (j *judge) countsAgainst(now time.Time, id string, r *heldRun) bool {
	job := jobOfTask(r.ref.Task)
	f := j.failedJobs[job]
	if f == nil {
		if len(j.failedJobs) >= maxFailedJobs {
			return true
		}
		f = &failedJob{}
		j.failedJobs[job] = f
	}
	f.at = now
	switch {
	case f.done:
		return true
	case r.ref.Number > 1:
		return false // an earlier run of the task has ended without success
	case len(f.endpoints) == 0:
		f.endpoints = append(f.endpoints, id)
		return !f.several
	case f.endpoints[0] != id && !f.several:
		f.several = true
		j.tracker.Retract(f.endpoints[0], &j.out)
	}
	return false
}

// maintainJudge does what is due at a tick.
func (m *Machine) maintainJudge(now time.Time, out *Output) {
	j := &m.judge
	for id, f := range j.failedJobs {
		if now.Sub(f.at) > failedJobTTL {
			delete(j.failedJobs, id)
		}
	}
	if m.tasksWait(now) {
		j.waitingSeenAt = now
	}
	shortage := !j.waitingSeenAt.IsZero() && now.Sub(j.waitingSeenAt) < shortageTime
	j.tracker.SetShortage(now, shortage, &j.out)
	j.tracker.Tick(now, &j.out)
	if next := j.tracker.Next(); !next.IsZero() {
		out.wakeAt(next)
	}
	m.applyJudgement(now, out)
}

// tasksWait reports whether tasks wait for a slot, here or at a peer.
func (m *Machine) tasksWait(now time.Time) bool {
	if len(m.queue) > 0 {
		return true
	}
	for _, p := range m.sortedPeers {
		if now.Sub(p.capacitiesAt) > maxReportAge {
			continue
		}
		for _, c := range p.capacities {
			if len(c.Backlog) > 0 {
				return true
			}
		}
	}
	return false
}

// applyJudgement applies and logs what the tracker has decided.
func (m *Machine) applyJudgement(now time.Time, out *Output) {
	j := &m.judge
	for _, id := range j.out.Changed {
		if e := m.endpoints[id]; e != nil {
			e.usableSlots = j.tracker.Usable(now, id)
		}
	}
	for _, r := range j.out.Events {
		switch r.Kind {
		case event.EndpointEjected:
			m.profiles.changed = true
			fallthrough
		case event.EndpointProbation, event.EndpointReadmitted, event.EjectionWithheld:
			out.Events = append(out.Events, r)
		}
	}
	j.out.Changed, j.out.Events = j.out.Changed[:0], j.out.Events[:0]
}

// judgeActivated starts to judge an endpoint whose claim is complete, with what
// its earlier holder has reported.
func (m *Machine) judgeActivated(now time.Time, e *endpointState, out *Output) {
	j := &m.judge
	info := e.info
	info.Draining = false // ready checks that
	j.tracker.Forget(info.ID)
	j.speeds.Remove(info.ID)
	j.tracker.Track(now, info, &j.out)
	p := m.profiles.of(now, info)
	j.speeds.Add(info, p.Speed, p.Samples)
	j.tracker.Restore(now, info.ID, p.FailedShare, p.Outcomes, now.Add(p.EjectedFor), &j.out)
	e.speed, _ = j.speeds.Speed(info.ID)
	e.failedShare, e.outcomes = j.tracker.FailedShare(info.ID)
	m.applyJudgement(now, out)
}

// judgeReleased ends the judgement of an endpoint that this instance no longer
// holds. It keeps and passes on what it has learnt.
func (m *Machine) judgeReleased(now time.Time, e *endpointState) {
	if !e.active {
		return
	}
	p := m.profileOf(now, e)
	m.profiles.store(now, p)
	m.profiles.released = append(m.profiles.released, p)
	m.judge.tracker.Forget(e.info.ID)
	m.judge.speeds.Remove(e.info.ID)
	e.usableSlots, e.speed, e.failedShare, e.outcomes = 0, 0, 0, 0
}

// queueOf returns the name under which the run times of a run are compared: its
// queue if its home is here, else its service.
func (m *Machine) queueOf(s message.StartRun) string {
	if t := m.tasks[s.Run.Task]; t != nil && t.number == s.Run.Number {
		return t.job.Queue.Name
	}
	return servicePrefix + s.Service
}

// expectedRatio returns the expected run time on the endpoint, divided by the
// estimate.
func (m *Machine) expectedRatio(e *endpointState, queue string) float64 {
	median, _, _ := m.judge.speeds.Ratios(queue)
	return median / max(e.speed, minScoredSpeed)
}

// avoidFailed makes the next runs of a failed task avoid the endpoint, unless no
// other one can run it.
func (m *Machine) avoidFailed(t *homeTask, id string) {
	if id == "" || slices.Contains(t.avoid, id) {
		return
	}
	avoid := append(t.avoid, id)
	step := t.job.Steps[t.step]
	s := message.StartRun{Service: t.job.Queue.Service, Needs: step.Needs, Requires: step.Requires, Avoid: avoid}
	others := 0
	for _, e := range m.sortedEndpoints {
		if !e.closed && !e.info.Draining && e.suits(s) {
			others++
		}
	}
	if others >= minOtherEndpoints {
		t.avoid = avoid
	}
}

// mayWork reports whether the judgement leaves the endpoint work, and whether it
// gets one run at a time.
func (e *endpointState) mayWork() (usable, single bool) {
	return e.usableSlots > 0, e.usableSlots == 1
}
