package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/run"
)

// claim makes this instance the holder: it looks at the endpoint with a token
// higher than any before, without renewing what runs there.
func (m *Machine) claim(now time.Time, h *held, out *Output) {
	m.drop(h)
	m.hold(h, m.newToken(now, h))
	m.claimed(h)
	m.look(now, h, out)
}

// newToken returns a fencing token that rises with the time of day and differs
// between instances. Where a higher one was seen, as after a step of a clock,
// it goes further ahead with each refusal.
func (m *Machine) newToken(now time.Time, h *held) int64 {
	ahead := int64(0)
	if h.fences > 0 {
		ahead = int64(1000) << min(h.fences, 8)
	}
	own := int64(xxhash.Sum64String(m.cfg.Self.ID) & 0xff)
	h.lastToken = max((now.UnixMilli()+ahead)<<8|own, h.lastToken+1)
	return h.lastToken
}

// look sends a look unless one is under way.
func (m *Machine) look(now time.Time, h *held, out *Output) {
	if h.looking || now.Before(h.lookAgain) {
		return
	}
	l := Look{Order: h.order(), Seen: h.seen}
	if h.open && len(h.runs) > 0 {
		l.Wait = lookWait
	}
	m.sendLook(now, h, l, out)
}

// peek asks at once what runs, beside a look that waits.
func (m *Machine) peek(now time.Time, h *held, out *Output) {
	if h.peeking {
		return
	}
	m.sendLook(now, h, Look{Order: h.order(), Seen: h.seen, Peek: true}, out)
}

func (m *Machine) sendLook(now time.Time, h *held, l Look, out *Output) {
	if h.open && h.clock.known() && m.renews(now, h) {
		l.Until = h.clock.latest(now) + m.cfg.LeaseTime
		h.granted = max(h.granted, l.Until)
	}
	h.ask(now)
	if l.Peek {
		h.peeking = true
	} else {
		h.looking = true
	}
	out.Looks = append(out.Looks, l)
}

// renews reports whether the lease is to be renewed: something wanted runs
// there and the endpoint answers.
func (m *Machine) renews(now time.Time, h *held) bool {
	if h.silent(now) {
		return false
	}
	for _, r := range h.runs {
		if !r.unwanted {
			return true
		}
	}
	return false
}

// LookReplied takes in what an endpoint answered to a look.
func (m *Machine) LookReplied(now time.Time, reply LookReply, out *Output) {
	h, ok := m.endpoints[reply.Endpoint]
	if !ok {
		return
	}
	if reply.Peek {
		h.peeking = false
	} else {
		h.looking = false
	}
	if reply.Token != h.token {
		m.settle(now, out)
		return
	}
	if reply.Verdict != Unanswered && reply.Verdict != Gone {
		m.claimAnswered(now, h)
	}
	if reply.Verdict == Accepted {
		m.looked(now, h, reply, out)
	} else {
		m.orderFailed(now, h, reply.Reply, out)
	}
	m.tend(now, h, out)
	m.settle(now, out)
}

func (m *Machine) looked(now time.Time, h *held, reply LookReply, out *Output) {
	m.hear(now, h, reply.Reply)
	if !reply.Born.IsZero() && !h.info.Born.IsZero() && !reply.Born.Equal(h.info.Born) {
		h.countAnew(now, m.cfg.LeaseTime)
	}
	h.info.Born = reply.Born
	h.told = max(h.told, min(reply.Seen, h.seen))
	if reply.Leaving && !h.info.Leaving {
		h.info.Leaving, h.saidLeaving = true, true
		out.log(event.EndpointLeaving, h.info.ID, "the endpoint says so")
	}
	for _, e := range reply.Ended {
		if e.Number > h.seen {
			h.seen = e.Number
			h.noteBy = now.Add(noteAfter)
			m.finish(now, h, e.Run, e.Status, out)
		}
	}
	m.checkRunning(now, h, reply, out)
}

// countAnew takes in that another boot of the endpoint answers: its ends and
// its clock start anew. What ran before is missing in its list; orders that
// came after the start are in it.
func (h *held) countAnew(now time.Time, lease time.Duration) {
	h.seen, h.told = 0, 0
	h.granted = h.clock.latest(now) + lease
}

// hear notes that an endpoint answered.
func (m *Machine) hear(now time.Time, h *held, reply Reply) {
	h.asked = now
	if reply.Clock > 0 {
		h.clock = clock{reading: reply.Clock, sent: reply.Sent, received: now}
	}
}

// checkRunning compares what the endpoint runs with what it should run.
func (m *Machine) checkRunning(now time.Time, h *held, reply LookReply, out *Output) {
	strangers := 0
	listed := make(map[run.Ref]float64, len(reply.Running))
	for _, r := range reply.Running {
		listed[r.Run] = r.Percent
		if h.runs[r.Run] == nil {
			strangers++
			out.Stops = append(out.Stops, Stop{Order: h.order(), Run: r.Run})
		}
	}
	if !h.open && strangers == 0 {
		h.open = true
		h.openAt = now
	}
	if strangers > 0 {
		h.lookAgain = now.Add(m.cfg.StopTime / 2)
	}
	for _, r := range h.sorted() {
		percent, runs := listed[r.ref]
		switch {
		case runs:
			r.progress.observe(now, percent)
		case !r.stopped.IsZero() && r.stopped.Before(reply.Sent):
			// It is neither running nor among the ends.
			m.finish(now, h, r.ref, r.stoppedAs(), out)
		case !r.began.IsZero() && r.began.Before(reply.Sent):
			m.finish(now, h, r.ref, run.Lapsed, out)
		}
	}
}

// stoppedAs returns how a run ended that was stopped and is not listed: one
// that had begun would be.
func (r *heldRun) stoppedAs() run.Status {
	if r.began.IsZero() {
		return run.NotRun
	}
	return run.Stopped
}

// orderFailed takes in a reply that says more of the endpoint than of the
// order.
func (m *Machine) orderFailed(now time.Time, h *held, reply Reply, out *Output) {
	switch reply.Verdict {
	case Fenced:
		m.hear(now, h, reply)
		m.fenced(now, h, out)
	case Reborn:
		m.reborn(now, h, out)
		h.health.suspend(now)
	case Gone:
		h.giveUp(now)
		h.health.suspend(now)
	case Unanswered:
		h.lookAgain = now.Add(tickPeriod)
	default:
		m.hear(now, h, reply)
		h.lookAgain = now.Add(tickPeriod)
	}
}

// giveUp lets the lease end. That a connection is refused does not prove that
// nothing runs: a network that is cut may refuse it too.
func (h *held) giveUp(now time.Time) {
	h.asked = earlier(h.asked, now.Add(-silence-time.Millisecond))
	h.lookAgain = now.Add(tickPeriod)
}

// fenced gives the endpoint up to a holder with a higher token. Its runs are
// over once that one has stopped them or the lease has ended.
func (m *Machine) fenced(now time.Time, h *held, out *Output) {
	if h.open {
		out.log(event.EndpointFenced, h.info.ID, "another instance holds it")
	}
	h.claimAfter = now.Add(min(fencedPause<<min(h.fences, 8), longestFencedPause))
	h.fences++
	m.doubtEndpoint(now, h, out)
}

// doubtEndpoint gives an endpoint up whose runs may go on until their lease has
// ended.
func (m *Machine) doubtEndpoint(now time.Time, h *held, out *Output) {
	for _, r := range h.sorted() {
		m.report(now, h, r, run.Uncertain, out)
	}
	m.drop(h)
}

// reborn takes in that the endpoint runs nothing of before: it has started
// again, or its lease is over. Orders under way may still reach the next boot.
func (m *Machine) reborn(now time.Time, h *held, out *Output) {
	for _, r := range h.sorted() {
		if r.began.IsZero() {
			m.report(now, h, r, run.Uncertain, out)
			continue
		}
		m.finish(now, h, r.ref, run.Lapsed, out)
	}
	m.drop(h)
	h.clock = clock{}
	h.info.Born = time.Time{}
	h.claimAfter = now.Add(reclaimAfter)
}
