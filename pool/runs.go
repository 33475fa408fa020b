package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

// begin orders a run on an endpoint where it fits.
func (m *Machine) begin(now time.Time, h *held, home instance.Ref, s message.StartRun, out *Output) {
	r := &heldRun{ref: s.Run, home: home, needs: s.Needs, estimate: s.Estimate, sent: now, tellStart: s.TellStart}
	h.ask(now)
	h.runs[s.Run] = r
	h.used = sum(h.used, s.Needs, 1)
	until := h.clock.latest(now) + time.Duration(startLease*float64(m.cfg.LeaseTime))
	h.granted = max(h.granted, until)
	out.Starts = append(out.Starts, Start{Order: h.order(), Run: s.Run, Spec: s.Spec, Until: until})
	out.wakeAt(now.Add(startPatience + time.Millisecond))
	m.look(now, h, out)
}

// StartReplied takes in what an endpoint answered to a start.
func (m *Machine) StartReplied(now time.Time, reply StartReply, out *Output) {
	h, ok := m.endpoints[reply.Endpoint]
	if !ok || h.token != reply.Token {
		return
	}
	if r := h.runs[reply.Run]; r != nil {
		m.started(now, h, r, reply, out)
	}
	m.settle(now, out)
}

func (m *Machine) started(now time.Time, h *held, r *heldRun, reply StartReply, out *Output) {
	switch reply.Verdict {
	case Accepted:
		m.hear(now, h, reply.Reply)
		r.began = now
		r.expect(now, h.health.pace)
		h.health.heard()
		m.report(now, h, r, run.Started, out)
		return
	case Unanswered:
		m.startUnanswered(now, h, r, out)
		return
	case Fenced, Reborn, Gone:
		// These prove that the start had no effect.
		m.finish(now, h, r.ref, run.NotRun, out)
		m.orderFailed(now, h, reply.Reply, out)
		return
	case Full:
		h.health.full(now)
	case Unhealthy:
		h.health.suspend(now)
	}
	m.hear(now, h, reply.Reply)
	out.log(event.EndpointRefused, r.ref.Task, "endpoint "+h.info.ID+" answered "+reply.Verdict.String())
	m.finish(now, h, r.ref, run.NotRun, out)
}

// startUnanswered stops a run whose start may have been carried out, now or
// later, so that its task can start elsewhere.
func (m *Machine) startUnanswered(now time.Time, h *held, r *heldRun, out *Output) {
	if !r.stopping.IsZero() {
		return
	}
	out.log(event.StartUnanswered, r.ref.Task, "endpoint "+h.info.ID+" may have begun it; it is stopped there")
	h.health.unanswered(now)
	m.stop(now, h, r, out)
}

// stop orders the end of a run.
func (m *Machine) stop(now time.Time, h *held, r *heldRun, out *Output) {
	if r.stopping.IsZero() {
		r.stopping = now
	}
	r.stopSent = now
	out.Stops = append(out.Stops, Stop{Order: h.order(), Run: r.ref})
}

// StopReplied takes in what an endpoint answered to a stop.
func (m *Machine) StopReplied(now time.Time, reply StopReply, out *Output) {
	h, ok := m.endpoints[reply.Endpoint]
	if !ok || h.token != reply.Token {
		return
	}
	r := h.runs[reply.Run]
	switch reply.Verdict {
	case Unanswered:
	case Fenced, Reborn, Gone:
		m.orderFailed(now, h, reply.Reply, out)
	default:
		m.hear(now, h, reply.Reply)
		if r != nil && r.stopped.IsZero() {
			r.stopped = now
			m.peek(now, h, out)
		}
	}
	m.settle(now, out)
}

// tendRun repeats a stop that was not answered, ends a run whose stop was
// carried out, and stops one that stands still.
func (m *Machine) tendRun(now time.Time, h *held, r *heldRun, out *Output) {
	switch {
	case !r.stopped.IsZero():
		if now.Sub(r.stopped) > m.cfg.StopTime+stopMargin {
			m.finish(now, h, r.ref, run.Stopped, out)
			return
		}
		m.peek(now, h, out)
		out.wakeAt(r.stopped.Add(m.cfg.StopTime + stopMargin + time.Millisecond))
	case !r.stopping.IsZero():
		if now.Sub(r.stopSent) >= stopAgain {
			m.stop(now, h, r, out)
		}
		out.wakeAt(r.stopSent.Add(stopAgain))
	case r.began.IsZero():
		if now.Sub(r.sent) >= startPatience && !m.lags {
			m.startUnanswered(now, h, r, out)
			return
		}
		out.wakeAt(later(now, r.sent.Add(startPatience)))
	case r.overdue(now):
		m.peek(now, h, out)
		r.peekGap *= 2
		r.peekAt = now.Add(r.peekGap)
	case r.stands(now):
		out.log(event.RunStands, r.ref.Task, "it makes no progress on endpoint "+h.info.ID)
		h.health.suspend(now)
		m.stop(now, h, r, out)
	default:
		out.wakeAt(r.peekAt)
	}
}

// expect sets when the run counts as overdue.
func (r *heldRun) expect(now time.Time, pace float64) {
	takes := time.Duration(max(pace, 1) * float64(r.estimate))
	r.peekGap = overdueFloor
	r.peekAt = now.Add(max(time.Duration(overdueFactor*float64(takes)), takes+overdueFloor))
}

// overdue reports whether the run should have ended by now and another look is
// due.
func (r *heldRun) overdue(now time.Time) bool { return !now.Before(r.peekAt) }

// finish takes a run off its endpoint and tells its home.
func (m *Machine) finish(now time.Time, h *held, ref run.Ref, status run.Status, out *Output) {
	r := h.runs[ref]
	if r == nil {
		return
	}
	delete(h.runs, ref)
	h.used = sum(h.used, r.needs, -1)
	if len(h.runs) == 0 && h.reserved == 0 {
		h.used = task.Needs{} // no rounding is left
	}
	if !r.began.IsZero() {
		h.health.ended(now, status, now.Sub(r.began), r.estimate)
	}
	m.report(now, h, r, status, out)
}

// report tells the home of a run how far it has come.
func (m *Machine) report(now time.Time, h *held, r *heldRun, status run.Status, out *Output) {
	if r.home == m.cfg.Self.Ref {
		m.updated(now, message.RunUpdate{Run: r.ref, Status: status, Endpoint: h.info.ID}, out)
		return
	}
	if status == run.Started && !r.tellStart {
		return // a message less; the end tells it too
	}
	if status != run.Started {
		m.remember(now, r, status, h.info.ID)
	}
	if _, ok := m.peers[r.home]; !ok {
		return
	}
	m.send(r.home, message.RunUpdate{
		Run: r.ref, Status: status, Endpoint: h.info.ID, Free: m.freePlaces(now, h.info.Service), Ran: r.ran(now),
	}, out)
}

// ran returns how long ago the run began; zero if it has not.
func (r *heldRun) ran(now time.Time) time.Duration {
	if r.began.IsZero() {
		return 0
	}
	return now.Sub(r.began)
}

// stopUnwanted stops a run that its home does not wait for any more.
func (m *Machine) stopUnwanted(now time.Time, h *held, r *heldRun, out *Output) {
	r.unwanted = true
	m.stop(now, h, r, out)
}

// stopRunsOf stops the runs whose home is gone.
func (m *Machine) stopRunsOf(now time.Time, h *held, home instance.Ref, out *Output) {
	for _, r := range h.sorted() {
		if r.home == home {
			m.stopUnwanted(now, h, r, out)
		}
	}
}

// sum returns a plus k times b.
func sum(a, b task.Needs, k int) task.Needs {
	return task.Needs{
		Cores:        a.Cores + float64(k)*b.Cores,
		MemoryBytes:  a.MemoryBytes + int64(k)*b.MemoryBytes,
		Accelerators: a.Accelerators + k*b.Accelerators,
	}
}

// within reports whether a fits into b.
func within(a, b task.Needs) bool {
	// rounding is what sums of thousandths of a core may be off.
	const rounding = 1e-6
	return a.Cores <= b.Cores+rounding && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}
