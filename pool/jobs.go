package pool

import (
	"fmt"
	"strconv"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/route"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// lateFactor is how many goals a job may take and still be of use to its
	// caller.
	lateFactor = 3
	// answerMargin is how long before the caller's limit a job that has not
	// ended is answered, so that the answer arrives.
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
	// Job is what a caller hands in.
	Job struct {
		// ID is the caller's own.
		ID    string
		Queue *route.Queue
		// Spec goes to the endpoints as it is.
		Spec  string
		Steps []Step
		// Deadline is until when the caller waits.
		Deadline time.Time
	}

	// Step is a number of tasks that are alike.
	Step struct {
		Tasks int
		Needs task.Needs
		// Estimate is a rough run time of one task.
		Estimate time.Duration
		// After are the numbers of the steps that must be done first.
		After []int
		// Requires is a label that the endpoint must have, or empty.
		Requires string
		// Rack is where the data is, or empty.
		Rack string
		// Spread is how many tasks may run on one endpoint; zero means any.
		Spread int
	}

	taskState uint8

	// homeJob is a job of this home.
	homeJob struct {
		Job
		call    uint64
		arrived time.Time
		// goal is when the answer should be there; startBy is when the first
		// tasks must start for that. late is when nobody has use for it.
		goal, startBy, late time.Time
		steps               [][]*homeTask
		left                []int
		waiting             []*homeTask
		undone              int
		// ran tells that a run may have begun.
		ran bool
		// learnt tells that its needs are part of what is usual.
		learnt bool
		// deferred tells that it can't meet its goal any more.
		deferred bool
		queued   bool
		ended    bool
	}

	// homeTask is a task of a job.
	homeTask struct {
		job         *homeJob
		step, index int
		name        string
		// number is that of its last run.
		number   int64
		failures int
		state    taskState
		holder   instance.Ref
		endpoint string
		// started is when its last run began, as far as the home was told.
		started time.Time
		// notBefore is when its last run has surely ended.
		notBefore time.Time
	}

	// ghost is a run whose job was answered before it ended.
	ghost struct {
		job    string
		number int64
		holder instance.Ref
		// until is when the run has surely ended though nobody tells; zero
		// while its holder can be reached.
		until time.Time
	}
)

// Submit takes a job in. It is answered once, under the number of the call.
func (m *Machine) Submit(now time.Time, call uint64, j Job, out *Output) {
	if old := m.jobs[j.ID]; old != nil {
		// The caller asks again, so nobody waits for the earlier request.
		m.end(now, old, fault.New(fault.Cancelled, "the caller has sent the job again"), out)
	}
	h := m.newJob(now, call, j)
	if refusal, found := m.admit(now, h); refusal != nil {
		out.log(event.JobRefused, j.ID, refusal.Error()+"; queue="+j.Queue.Name+" "+found.String())
		out.Answers = append(out.Answers, Answer{Call: call, Fault: refusal})
		return
	}
	m.jobs[j.ID] = h
	m.calls[call] = h
	if m.haunted(j.ID) {
		m.parked[j.ID] = h
	} else {
		m.release(h)
	}
	m.settle(now, out)
}

// newJob returns the job with all tasks blocked.
func (m *Machine) newJob(now time.Time, call uint64, j Job) *homeJob {
	h := &homeJob{Job: j, call: call, arrived: now}
	chain := longestChain(j.Steps)
	goal := j.Queue.Goal(chain)
	h.goal = now.Add(goal)
	h.startBy = h.goal.Add(-chain)
	h.late = now.Add(lateFactor * goal)
	if m.leaving {
		h.Deadline = earlier(h.Deadline, m.endsAt)
	}
	for i, s := range j.Steps {
		tasks := make([]*homeTask, s.Tasks)
		for k := range tasks {
			tasks[k] = &homeTask{job: h, step: i, index: k, name: taskName(j.ID, i, k)}
		}
		h.steps = append(h.steps, tasks)
		h.left = append(h.left, s.Tasks)
		h.undone += s.Tasks
	}
	return h
}

// taskName returns the name under which endpoints know a task of a job that
// runs once.
func taskName(id string, step, index int) string {
	return id + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// longestChain returns the work that has to be done one after the other.
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

// release lets the tasks of a job wait for places whose steps may begin.
func (m *Machine) release(j *homeJob) {
	for i, tasks := range j.steps {
		if !j.mayBegin(i) {
			continue
		}
		for _, t := range tasks {
			if t.state == blocked {
				m.wait(t)
			}
		}
	}
}

func (j *homeJob) mayBegin(step int) bool {
	for _, a := range j.Steps[step].After {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

func (m *Machine) wait(t *homeTask) {
	t.state = waiting
	t.holder, t.endpoint = instance.Ref{}, ""
	m.tasks[t.name] = t
	t.job.waiting = append(t.job.waiting, t)
	m.enqueue(t.job)
}

// CallerLeft takes in that nobody waits for the call's answer any more.
func (m *Machine) CallerLeft(now time.Time, call uint64, out *Output) {
	j, ok := m.calls[call]
	if !ok {
		return
	}
	out.log(event.CallerLeft, j.ID, fmt.Sprintf("%d of its tasks had not ended", j.undone))
	m.end(now, j, fault.New(fault.Cancelled, "the caller has left"), out)
	m.settle(now, out)
}

// Cancel ends a job by the caller's order and reports whether it is known.
func (m *Machine) Cancel(now time.Time, id string, out *Output) bool {
	j, ok := m.jobs[id]
	if !ok {
		return false
	}
	m.end(now, j, fault.New(fault.Cancelled, ""), out)
	m.settle(now, out)
	return true
}

// updated takes in how far a run has come.
func (m *Machine) updated(now time.Time, u message.RunUpdate, out *Output) {
	t := m.tasks[u.Run.Task]
	if t == nil || t.number != u.Run.Number || t.state != placed {
		m.exorcise(now, u)
		return
	}
	t.endpoint = u.Endpoint
	if u.Ran > 0 {
		t.started = now.Add(-u.Ran)
	}
	j := t.job
	if u.Status != run.NotRun {
		j.ran = true
	}
	switch u.Status {
	case run.Started:
		t.started = now
	case run.Uncertain:
		m.doubt(t, now.Add(m.lapseTime()))
	case run.Done:
		m.taskDone(now, t, out)
	case run.Failed:
		t.failures++
		if t.failures >= max(j.Queue.Attempts, 1) {
			t.state = done
			m.end(now, j, fault.New(fault.TaskFailed, "task %s failed %d times, last on endpoint %s", t.name, t.failures, u.Endpoint), out)
			return
		}
		m.wait(t)
	default:
		m.wait(t)
	}
}

func (m *Machine) taskDone(now time.Time, t *homeTask, out *Output) {
	j := t.job
	t.state = done
	delete(m.tasks, t.name)
	j.undone--
	j.left[t.step]--
	if j.undone == 0 {
		m.end(now, j, nil, out)
		return
	}
	if j.left[t.step] == 0 {
		m.release(j)
	}
}

// end answers a job and stops what still runs of it.
func (m *Machine) end(now time.Time, j *homeJob, f *fault.Error, out *Output) {
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
	for _, tasks := range j.steps {
		for _, t := range tasks {
			delete(m.tasks, t.name)
			if t.state == placed {
				m.abandon(now, t, out)
			}
		}
	}
	m.logAnswer(now, j, f, out)
	out.Answers = append(out.Answers, Answer{Call: j.call, Fault: f})
}

// maybeRan reports whether a run of the job may have begun.
func (j *homeJob) maybeRan() bool {
	if j.ran {
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
