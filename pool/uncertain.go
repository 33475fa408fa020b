package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
)

// lapseTime returns after how long a lease that nobody renews is surely over.
func (m *Machine) lapseTime() time.Duration {
	return time.Duration(float64(m.cfg.LeaseTime)/slowestClock) + lapseMargin
}

// holderLost takes in that the holder of some placed tasks cannot be reached.
// It stops their runs as soon as it notices that, or they end with the lease.
func (m *Machine) holderLost(now time.Time, holder instance.Ref, out *Output) {
	m.doubtGhosts(now, holder)
	for _, j := range m.sortedJobs() {
		lost := 0
		for _, tasks := range j.steps {
			for _, t := range tasks {
				if t.state == placed && t.holder == holder {
					m.doubt(t, now.Add(m.lapseTime()))
					lost++
				}
			}
		}
		if lost > 0 {
			out.log(event.TasksUncertain, j.ID, "the holder "+holder.ID+" of some runs is lost")
		}
	}
}

// doubtGhosts takes in that the ends of the ghosts at a holder may not be told.
func (m *Machine) doubtGhosts(now time.Time, holder instance.Ref) {
	for name, g := range m.ghosts {
		if g.holder == holder {
			g.until = now.Add(m.lapseTime())
			m.ghosts[name] = g
		}
	}
}

// resolve lets tasks whose last run has surely ended wait for a place again,
// and answers the jobs that this would make useless.
func (m *Machine) resolve(now time.Time, out *Output) {
	if len(m.doubts) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.doubts)) {
		m.resolveTask(now, m.doubts[name], out)
	}
}

// doubt notes until when the last run of a task may go on untold.
func (m *Machine) doubt(t *homeTask, notBefore time.Time) {
	t.notBefore = notBefore
	m.doubts[t.name] = t
}

func (m *Machine) resolveTask(now time.Time, t *homeTask, out *Output) {
	if t.state != placed || t.notBefore.IsZero() || t.job.ended {
		delete(m.doubts, t.name)
		return
	}
	j := t.job
	if t.notBefore.Add(j.Steps[t.step].Estimate).After(earlier(j.late, j.Deadline)) {
		m.end(now, j, fault.New(fault.OutcomeUnknown, "the holder of task %s cannot be reached", t.name), out)
		return
	}
	if now.Before(t.notBefore) {
		return
	}
	t.notBefore = time.Time{}
	j.ran = true
	m.wait(t)
}

// Thaw takes in that the process stood still. The callers of its jobs may have
// asked elsewhere, so that nothing of them may start any more.
func (m *Machine) Thaw(now time.Time, out *Output) {
	out.log(event.Thawed, m.cfg.Self.ID, "no input for "+now.Sub(m.ticked).String())
	m.ticked = now
	for _, j := range m.sortedJobs() {
		if len(j.waiting) == 0 {
			continue
		}
		if j.maybeRan() {
			m.end(now, j, fault.New(fault.OutcomeUnknown, "the instance stood still"), out)
			continue
		}
		m.end(now, j, fault.New(fault.NotReady, "the instance stood still").WithRetryAfter(time.Second), out)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
