package pool

import (
	"fmt"
	"strconv"
	"time"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/route"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// lateFactor is how many times its goal a job may take before its answer is
	// of no use to the caller.
	lateFactor = 3
	// answerMargin is how long before its deadline an unfinished job is
	// answered, so that the answer arrives in time.
	answerMargin = 20 * time.Millisecond
)

// The states of a task at its home.
const (
	blocked taskState = iota
	waiting
	placed
	done
)

type (
	// Job is a caller's request.
	Job struct {
		// ID is chosen by the caller.
		ID    string
		Queue *route.Queue
		// Spec is passed to the endpoints unchanged.
		Spec  string
		Steps []Step
		// Deadline is when the caller stops waiting. DeadlineStated reports that the
		// caller has stated it.
		Deadline       time.Time
		DeadlineStated bool
	}

	// Step is a group of identical tasks.
	Step struct {
		Tasks int
		Needs task.Needs
		// Estimate is the approximate run time of one task.
		Estimate time.Duration
		// After lists the indexes of the steps that must be done first.
		After []int
		// Requires is a label that the endpoint must have, or empty.
		Requires string
		// Rack is the rack that has the data, or empty.
		Rack string
		// Spread is how many tasks of the step may run on one endpoint; zero
		// means no limit.
		Spread int
	}

	taskState uint8

	// homeJob is a job whose home is this instance.
	homeJob struct {
		Job
		call    uint64
		arrived time.Time
		// goal is when the answer is due, and startBy the latest start of the
		// first tasks for that; once the job is deferred, for an answer by
		// expiresAt. expiresAt is when the answer is of no use any more.
		goal, startBy, expiresAt time.Time
		steps                    [][]*homeTask
		// unfinished is the number of unfinished tasks, unfinishedByStep that
		// of each step.
		unfinishedByStep []int
		waiting          []*homeTask
		unfinished       int
		// possiblyStarted reports that a run may have started, even if no task
		// is placed now.
		possiblyStarted bool
		// sizesCounted reports that the job's tasks are included in taskSizes.
		sizesCounted bool
		// deferred reports that the job can't meet its goal any more. late reports
		// that its caller had waited for too long before it sent the job here, so
		// that it is served after all others, and waited is how long.
		deferred, late bool
		waited         time.Duration
		queued         bool
		ended          bool
		// suspended reports that the process was suspended while the job was
		// open, so that its caller may have submitted it elsewhere.
		suspended bool
	}

	// homeTask is a task of a job whose home is this instance.
	homeTask struct {
		job         *homeJob
		step, index int
		name        string
		// number is the number of the last run of the task; zero before the
		// first. It includes the runs of an earlier request for the job here.
		number   int64
		failures int
		// avoid are the IDs of the endpoints on which it failed, and failedAt is
		// when it last did.
		avoid    []string
		failedAt time.Time
		// declined counts the starts that a holder did not send to an endpoint,
		// for the log.
		declined int
		// verdict is the last one on the task that was logged.
		verdict  crash.Verdict
		state    taskState
		holder   instance.Ref
		endpoint string
		// startedAt is when the last run started, as far as the home knows.
		startedAt time.Time
		// notBefore is set if the end of the last run may go unreported. It is
		// when that run must have ended, so that the task may start again. It
		// is zero while an update about the run's end is expected.
		notBefore time.Time
	}

	// orphan is a run whose job was answered before the run ended.
	orphan struct {
		job    string
		number int64
		holder instance.Ref
		// expiresAt is when the run must have ended even if no update arrives;
		// zero while an update about its end is expected.
		expiresAt time.Time
	}
)

// Submit handles a new job. The job is answered once, under the given call
// number.
func (m *Machine) Submit(now time.Time, call uint64, j Job, out *Output) {
	m.handleSuspension(now, out)
	if previous := m.jobs[j.ID]; previous != nil {
		// The caller sent the job again, so nothing waits for the earlier
		// request.
		m.endJob(now, previous, fault.New(fault.Cancelled, "the caller has sent the job again"), out)
	}
	h := m.newJob(now, call, j)
	if refusal, load := m.admit(now, h); refusal != nil {
		out.log(event.JobRefused, j.ID, refusal.Error()+"; "+h.description()+" "+load.String())
		out.Answers = append(out.Answers, Answer{Call: call, Fault: refusal})
		return
	}
	h.makeTasks(m.runNumbers.byJob[j.ID])
	m.jobs[j.ID] = h
	m.calls[call] = h
	if m.hasOrphans(j.ID) {
		m.parked[j.ID] = h
	} else {
		m.unblock(h)
	}
	m.advance(now, out)
}

// newJob returns the job without its tasks, so that a job that is refused costs the same
// whatever the number of its tasks.
func (m *Machine) newJob(now time.Time, call uint64, j Job) *homeJob {
	h := &homeJob{Job: j, call: call, arrived: now}
	chain := longestChain(j.Steps)
	goal := j.Queue.Goal(chain)
	h.goal = now.Add(goal)
	h.startBy = h.goal.Add(-chain)
	h.expiresAt = now.Add(lateFactor * goal)
	h.countWaited(now, m.waited(now, h))
	if m.draining {
		h.Deadline = earlier(h.Deadline, m.stopsAt)
	}
	h.unfinished = j.Size().Tasks
	return h
}

// makeTasks makes the tasks of an admitted job, all of them blocked. lastNumber is the
// last run number of an earlier request for the job.
func (j *homeJob) makeTasks(lastNumber int64) {
	for i, s := range j.Steps {
		tasks := make([]*homeTask, s.Tasks)
		for index := range tasks {
			tasks[index] = &homeTask{job: j, step: i, index: index, name: taskName(j.ID, i, index), number: lastNumber}
		}
		j.steps = append(j.steps, tasks)
		j.unfinishedByStep = append(j.unfinishedByStep, s.Tasks)
	}
}

// Size returns the number of the job's tasks and the memory that they take.
func (j Job) Size() footprint.Size {
	var size footprint.Size
	for _, s := range j.Steps {
		size.AddStep(s.Tasks, len(s.After), len(s.Requires)+len(s.Rack))
	}
	return size
}

// taskName returns the task's name on endpoints: the job's ID, the number of the
// job's execution, the step and the index, separated by dots. The execution
// number is always 0, since a job is executed once.
func taskName(id string, step, index int) string {
	return id + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// longestChain returns the total estimate of the longest chain of dependent
// steps.
func longestChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, s := range steps {
		for _, a := range s.After {
			if a < i {
				ends[i] = max(ends[i], ends[a])
			}
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// unblock queues the blocked tasks of all steps whose dependencies are done.
func (m *Machine) unblock(j *homeJob) {
	for i, tasks := range j.steps {
		if !j.stepReady(i) {
			continue
		}
		for _, t := range tasks {
			if t.state == blocked {
				m.enqueueTask(t)
			}
		}
	}
}

func (j *homeJob) stepReady(step int) bool {
	for _, a := range j.Steps[step].After {
		if j.unfinishedByStep[a] > 0 {
			return false
		}
	}
	return true
}

func (m *Machine) enqueueTask(t *homeTask) {
	t.state = waiting
	t.holder, t.endpoint = instance.Ref{}, ""
	m.tasks[t.name] = t
	if m.losses.Suspected(t.name) {
		t.job.possiblyStarted = true // here, or at the home of an earlier request
		m.suspects[t.name] = t
		return
	}
	m.enqueueWaiting(t)
}

func (m *Machine) enqueueWaiting(t *homeTask) {
	t.job.waiting = append(t.job.waiting, t)
	m.enqueue(t.job)
}

// CallerLeft handles the disconnection of the caller that waits for the call.
func (m *Machine) CallerLeft(now time.Time, call uint64, out *Output) {
	j, ok := m.calls[call]
	if !ok {
		return
	}
	out.log(event.CallerDisconnected, j.ID, fmt.Sprintf("%d unfinished tasks", j.unfinished))
	m.endJob(now, j, fault.New(fault.Cancelled, "the caller has left"), out)
	m.advance(now, out)
}

// Cancel ends a job at the caller's request. It reports whether the job was
// known.
func (m *Machine) Cancel(now time.Time, id string, out *Output) bool {
	j, ok := m.jobs[id]
	if !ok {
		return false
	}
	m.endJob(now, j, fault.New(fault.Cancelled, ""), out)
	m.advance(now, out)
	return true
}

// handleRunUpdate handles a status update of a run from its holder. The runs of an
// earlier request for the job have the same names, so an update of another instance
// says nothing about the task's run.
func (m *Machine) handleRunUpdate(now time.Time, holder instance.Ref, u message.RunUpdate, out *Output) {
	t := m.tasks[u.Run.Task]
	if t == nil || t.number != u.Run.Number || t.state != placed || t.holder != holder {
		m.handleOrphanUpdate(now, holder, u)
		return
	}
	t.endpoint = u.Endpoint
	if u.Ran > 0 {
		t.startedAt = now.Add(-u.Ran)
	}
	j := t.job
	if u.Status != run.NotRun {
		j.possiblyStarted = true
	} else if u.Endpoint == "" {
		t.declined++
	}
	switch u.Status {
	case run.Started:
		t.startedAt = now
	case run.Unconfirmed:
		m.markUnconfirmed(t, now.Add(m.maxLeaseDuration()))
	case run.Done:
		m.completeTask(now, t, out)
	case run.Failed:
		t.failures++
		t.failedAt = now
		out.logFailure(t, u)
		if t.failures >= max(j.Queue.Attempts, 1) {
			t.state = done
			m.endJob(now, j, fault.New(fault.TaskFailed, "task %s failed %d times, last on endpoint %s", t.name, t.failures, u.Endpoint), out)
			return
		}
		m.avoidFailed(t, u.Endpoint)
		m.enqueueTask(t)
	default:
		m.enqueueTask(t)
	}
}

func (m *Machine) completeTask(now time.Time, t *homeTask, out *Output) {
	j := t.job
	t.state = done
	delete(m.tasks, t.name)
	j.unfinished--
	j.unfinishedByStep[t.step]--
	if j.unfinished == 0 {
		m.endJob(now, j, nil, out)
		return
	}
	if j.unfinishedByStep[t.step] == 0 {
		m.unblock(j)
	}
}

// endJob answers a job and stops its remaining runs.
func (m *Machine) endJob(now time.Time, j *homeJob, f *fault.Error, out *Output) {
	if j.ended {
		return
	}
	j.ended = true
	m.dequeue(j)
	delete(m.jobs, j.ID)
	delete(m.calls, j.call)
	if m.parked[j.ID] == j {
		delete(m.parked, j.ID)
	}
	lastNumber := int64(0)
	for _, tasks := range j.steps {
		for _, t := range tasks {
			lastNumber = max(lastNumber, t.number)
			delete(m.tasks, t.name)
			delete(m.suspects, t.name)
			if t.state == placed {
				m.abandonRun(now, t, out)
			}
		}
	}
	m.runNumbers.record(now, j.ID, lastNumber)
	m.logAnswer(now, j, f, out)
	out.Answers = append(out.Answers, Answer{Call: j.call, Fault: f})
}

// mayHaveStarted reports whether a run of the job may have started.
func (j *homeJob) mayHaveStarted() bool {
	if j.possiblyStarted {
		return true
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.state == placed {
				return true
			}
		}
	}
	return false
}
