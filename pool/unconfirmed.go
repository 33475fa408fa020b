package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/run"
)

// maxLeaseDuration returns how long a lease that is not renewed may last, by
// this instance's clock.
func (m *Machine) maxLeaseDuration() time.Duration {
	return time.Duration(float64(m.cfg.LeaseTime)/minClockRate) + leaseMargin
}

// handleHolderGone handles placed tasks whose holder is gone. The holder stops
// their runs once it notices that the stream has ended, or they end with the
// lease.
func (m *Machine) handleHolderGone(now time.Time, holder instance.Ref, out *Output) {
	m.suspectOrphans(now, holder)
	for _, j := range m.sortedJobs() {
		lost := 0
		for _, tasks := range j.steps {
			for _, t := range tasks {
				if t.state == placed && t.holder == holder {
					m.markUnconfirmed(t, now.Add(m.maxLeaseDuration()))
					lost++
				}
			}
		}
		if lost > 0 {
			out.log(event.RunsUnconfirmed, j.ID, fmt.Sprintf("the holder %s of %d runs is lost; they may continue for up to %s", holder.ID, lost, milliseconds(m.maxLeaseDuration())))
		}
	}
}

// suspectOrphans sets the expiry of the orphaned runs at a holder that may not
// report their ends.
func (m *Machine) suspectOrphans(now time.Time, holder instance.Ref) {
	for name, o := range m.orphans {
		if o.holder == holder {
			o.expiresAt = now.Add(m.maxLeaseDuration())
			m.orphans[name] = o
		}
	}
}

// resolveUnconfirmed queues the tasks whose last run must have ended, and
// answers the jobs for which that would be too late.
func (m *Machine) resolveUnconfirmed(now time.Time, out *Output) {
	if len(m.unconfirmed) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.unconfirmed)) {
		m.resolveTask(now, m.unconfirmed[name], out)
	}
}

// markUnconfirmed records that the last run of a task may continue, or have
// ended, without a report, and must have ended by notBefore.
func (m *Machine) markUnconfirmed(t *homeTask, notBefore time.Time) {
	t.notBefore = notBefore
	m.unconfirmed[t.name] = t
}

func (m *Machine) resolveTask(now time.Time, t *homeTask, out *Output) {
	if t.state != placed || t.notBefore.IsZero() || t.job.ended {
		delete(m.unconfirmed, t.name)
		return
	}
	j := t.job
	if t.notBefore.Add(j.Steps[t.step].Estimate).After(earlier(j.expiresAt, j.Deadline)) {
		m.endJob(now, j, fault.New(fault.OutcomeUnknown, "the holder of task %s cannot be reached", t.name), out)
		return
	}
	if now.Before(t.notBefore) {
		return
	}
	out.logConclusion(run.Ref{Task: t.name, Number: t.number}, "holder "+t.holder.ID, run.Expired, leaseOver)
	t.notBefore = time.Time{}
	j.possiblyStarted = true
	m.enqueueTask(t)
}

// RecordSuspension records a suspension of the machine since the last input, which
// the clock of the inputs does not count. It adds to the time without a tick.
func (m *Machine) RecordSuspension(d time.Duration) { m.uncounted += d }

// handleSuspension detects a suspension of the process or the machine. The callers
// of the open jobs may have retried elsewhere, so that no task of these jobs may
// start any more.
func (m *Machine) handleSuspension(now time.Time, out *Output) {
	stopped := now.Sub(m.lastTick) + m.uncounted
	if stopped <= suspendThreshold {
		return
	}
	out.log(event.Suspended, m.cfg.Self.ID, "the process did not run for "+stopped.String())
	m.lastTick, m.uncounted = now, 0
	if stopped >= longSuspension {
		m.resumedAt = now
	}
	m.resumed = true
	for _, j := range m.sortedJobs() {
		j.suspended = true
		if len(j.waiting) > 0 {
			m.endSuspendedJob(now, j, out)
		}
	}
}

// recentlyResumed reports whether a request or a start may have waited unread
// during a suspension, so that it was sent elsewhere.
func (m *Machine) recentlyResumed(now time.Time) bool {
	return !m.resumedAt.IsZero() && now.Sub(m.resumedAt) < resumeTime
}

// endSuspendedJob ends a job whose waiting tasks must not start.
func (m *Machine) endSuspendedJob(now time.Time, j *homeJob, out *Output) {
	if j.mayHaveStarted() {
		m.endJob(now, j, fault.New(fault.OutcomeUnknown, "the instance stood still"), out)
		return
	}
	m.endJob(now, j, suspendedRefusal(), out)
}

// suspendedRefusal returns the refusal of a job that waited during a suspension.
func suspendedRefusal() *fault.Error {
	return fault.New(fault.NotReady, "the instance stood still").WithRetryAfter(time.Second)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
