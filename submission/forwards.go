package submission

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// forwardRetryDelay is how long a home may be silent before a forwarded
	// request is sent again. The home recognizes the repeated request as a
	// duplicate.
	forwardRetryDelay = time.Second
	// forwardTimeout is how long a home may be silent before it counts as
	// unreachable.
	forwardTimeout = 1900 * time.Millisecond
	// maxUnreachable limits the instances that are remembered as unreachable.
	maxUnreachable = 4096
)

// forward is a caller's request that waits for another instance.
type forward struct {
	number uint64
	home   instance.Ref
	waiter waiter
	// handOver is true if the receiver is asked to become the home.
	handOver bool
	id       string
	job      *job.Job
	// lastReplyAt is when the home last answered or, before that, when the
	// request was sent.
	lastReplyAt time.Time
}

// routeRemote forwards a request to a home other than this incarnation. If the
// home was replaced or is unreachable, it looks for a durable answer instead.
func (m *Manager) routeRemote(now time.Time, w waiter, home instance.Ref, id string, j *job.Job, out *Output) {
	if w.peer.ID != "" {
		// Instances send requests only to the home, so the sender's
		// information is out of date.
		m.send(w.peer, message.Stale{Request: w.call}, out)
		return
	}
	if m.replaced(home) {
		m.readRow(resultKey(id), lookup{waiter: w, id: id, job: j, ifMissing: homeReplacedFault()}, out)
		return
	}
	if !m.reachable(home) {
		m.readRow(resultKey(id), lookup{waiter: w, id: id, job: j, ifMissing: m.homeUnreachableFault()}, out)
		return
	}
	m.forward(now, &forward{home: home, waiter: w, id: id, job: j}, out)
}

// forward sends a request of a caller to another instance.
func (m *Manager) forward(now time.Time, f *forward, out *Output) {
	if len(m.forwards) >= m.settings.MaxForwards {
		m.answer(f.waiter, unknownOutcome(f.id, f.job, m.fullFault()), out)
		return
	}
	m.lastForward++
	f.number = m.lastForward
	f.lastReplyAt = now
	m.forwards[f.number] = f
	m.calls[f.waiter.call] = pendingCall{forward: f.number}
	m.send(f.home, f.body(), out)
	m.timers.add(timer{at: now.Add(forwardRetryDelay), kind: forwardTimer, number: f.number})
}

// handOver forwards a new job to another instance, because this one is
// stopping. Instances of this data centre are preferred. It returns false if
// every other known instance is stopping too.
func (m *Manager) handOver(now time.Time, l lookup, out *Output) bool {
	var successors []instance.Ref
	for _, i := range m.instances {
		if !i.Draining && i.Incarnation != 0 {
			successors = append(successors, i.Ref)
		}
	}
	if len(successors) == 0 {
		return false
	}
	distance := func(r instance.Ref) int {
		if r.DataCentre == m.settings.Self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortFunc(successors, func(a, b instance.Ref) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	candidates := len(successors)
	for candidates > 1 && distance(successors[candidates-1]) != distance(successors[0]) {
		candidates--
	}
	successor := successors[m.lastForward%uint64(candidates)] // round robin
	m.forward(now, &forward{home: successor, waiter: l.waiter, handOver: true, id: l.id, job: l.job}, out)
	return true
}

func homeReplacedFault() *fault.Error {
	return fault.New(fault.OutcomeUnknown, "its home was replaced")
}

// body returns the message that carries the request.
func (f *forward) body() message.Body {
	switch f.waiter.kind {
	case submitRequest:
		return message.Submit{Request: f.number, Job: *f.job, Wait: f.waiter.wait, HandOver: f.handOver}
	case cancelRequest:
		return message.Cancel{Request: f.number, SubmissionID: f.id}
	default:
		return message.Show{Request: f.number, SubmissionID: f.id, Wait: f.waiter.wait}
	}
}

// retryForward repeats a request whose home is silent, or ends it after
// forwardTimeout.
func (m *Manager) retryForward(now time.Time, f *forward, out *Output) {
	silent := now.Sub(f.lastReplyAt)
	next := f.lastReplyAt.Add(forwardRetryDelay)
	if silent >= forwardTimeout && !m.listed(f.home) {
		m.endForwardFromStore(f, m.homeUnreachableFault(), out)
		return
	}
	if silent >= forwardTimeout {
		m.endForward(f, unknownOutcome(f.id, f.job, m.homeUnreachableFault()), out)
		return
	}
	if silent >= forwardRetryDelay {
		m.send(f.home, f.body(), out)
		next = f.lastReplyAt.Add(forwardTimeout)
	}
	m.timers.add(timer{at: next, kind: forwardTimer, number: f.number})
}

// endForward ends a forwarded request with a result.
func (m *Manager) endForward(f *forward, r job.Result, out *Output) {
	delete(m.forwards, f.number)
	m.answer(f.waiter, r, out)
}

// endForwardFromStore ends a forwarded request with the durable answer or, if
// there is none, with the fault ifMissing.
func (m *Manager) endForwardFromStore(f *forward, ifMissing *fault.Error, out *Output) {
	if f.handOver {
		// The receiver was asked to become the home, but another instance
		// may already be the home.
		ifMissing = m.homeUnreachableFault()
	}
	delete(m.forwards, f.number)
	m.readRow(resultKey(f.id), lookup{waiter: f.waiter, id: f.id, job: f.job, ifMissing: ifMissing}, out)
}

// PeerLost handles the loss of contact with an instance. Requests that wait for
// it end, and its own requests are no longer answered.
func (m *Manager) PeerLost(now time.Time, peer instance.Ref, out *Output) {
	now = m.advance(now)
	if len(m.unreachable) >= maxUnreachable {
		clear(m.unreachable)
	}
	m.unreachable[instanceKey{peer.DataCentre, peer.ID}] = true
	for _, f := range m.sortedForwards() {
		if !sameIncarnation(f.home, peer) {
			continue
		}
		if m.replaced(f.home) {
			m.endForwardFromStore(f, homeReplacedFault(), out)
			continue
		}
		m.endForward(f, unknownOutcome(f.id, f.job, m.homeUnreachableFault()), out)
	}
	for _, s := range m.submissions {
		s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
			return w.peer.ID != "" && sameIncarnation(w.peer, peer)
		})
	}
	m.flush(now, out)
}

// sameIncarnation reports whether a and b may be the same incarnation. An
// incarnation of zero is unknown and matches every other.
func sameIncarnation(a, b instance.Ref) bool {
	if a.DataCentre != b.DataCentre || a.ID != b.ID {
		return false
	}
	return a.Incarnation == b.Incarnation || a.Incarnation == 0 || b.Incarnation == 0
}

// sortedForwards returns the forwards in the order of their numbers.
func (m *Manager) sortedForwards() []*forward {
	list := make([]*forward, 0, len(m.forwards))
	for _, f := range m.forwards {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *forward) int { return cmp.Compare(a.number, b.number) })
	return list
}

// send appends a message to another instance.
func (m *Manager) send(to instance.Ref, b message.Body, out *Output) {
	out.Messages = append(out.Messages, message.Message{From: m.settings.Self, To: to, Body: b})
}

// Receive handles a message from another instance.
func (m *Manager) Receive(now time.Time, msg message.Message, out *Output) {
	now = m.advance(now)
	switch b := msg.Body.(type) {
	case message.Submit:
		if m.checkRecipient(msg, b.Request, out) {
			m.handleSubmit(now, msg.From, b, out)
		}
	case message.Show:
		if m.checkRecipient(msg, b.Request, out) {
			m.handleShowOrCancel(now, waiter{kind: showRequest, call: b.Request, peer: msg.From, wait: b.Wait}, b.SubmissionID, out)
		}
	case message.Cancel:
		if m.checkRecipient(msg, b.Request, out) {
			m.handleShowOrCancel(now, waiter{kind: cancelRequest, call: b.Request, peer: msg.From, wait: true}, b.SubmissionID, out)
		}
	case message.Result:
		// Request numbers are unique only within an incarnation: a result
		// for an earlier one must not end a request of this one.
		if msg.To == m.settings.Self {
			m.handleResult(now, msg.From, b, out)
		}
	case message.Stale:
		if f := m.forwards[b.Request]; f != nil && msg.To == m.settings.Self && f.home.DataCentre == msg.From.DataCentre && f.home.ID == msg.From.ID {
			m.endForwardFromStore(f, homeReplacedFault(), out)
		}
	}
	m.flush(now, out)
}

// checkRecipient reports whether the message is for this incarnation. If not,
// it informs the sender with a Stale message.
func (m *Manager) checkRecipient(msg message.Message, request uint64, out *Output) bool {
	if msg.From.ID == "" {
		return false // no sender to reply to
	}
	if msg.To == m.settings.Self {
		return true
	}
	m.send(msg.From, message.Stale{Request: request}, out)
	return false
}

// handleSubmit handles a job that another instance forwards. If an earlier copy
// of the request was refused, it repeats the refusal.
func (m *Manager) handleSubmit(now time.Time, from instance.Ref, b message.Submit, out *Output) {
	w := waiter{kind: submitRequest, call: b.Request, peer: from, wait: b.Wait, handOver: b.HandOver}
	if r, ok := m.refusedRequests.results[peerRequest{from, b.Request}]; ok {
		again := *r
		again.Tasks = refusal(r.SubmissionID, &b.Job, r.Fault).Tasks
		if r.State != job.NotRun {
			again.Tasks = unknownOutcome(r.SubmissionID, &b.Job, r.Fault).Tasks
		}
		m.answer(w, again, out)
		return
	}
	j := b.Job
	f := checkJob(&j)
	if f == nil && j.SubmissionID == "" {
		f = fault.New(fault.BadRequest, "submission_id is empty")
	}
	if f != nil {
		m.answer(w, job.Refusal(j, f), out)
		return
	}
	m.route(now, w, j.SubmissionID, &j, out)
}

// handleShowOrCancel handles a Show or Cancel request of another instance.
func (m *Manager) handleShowOrCancel(now time.Time, w waiter, id string, out *Output) {
	if f := checkID(id); f != nil {
		m.answer(w, failure(id, f), out)
		return
	}
	m.route(now, w, id, nil, out)
}

// handleResult handles the home's result for a forwarded request. If the
// request waits for a final result, a running state without a fault only shows
// that the home is alive.
func (m *Manager) handleResult(now time.Time, from instance.Ref, b message.Result, out *Output) {
	f := m.forwards[b.Request]
	if f == nil || f.home != from {
		return
	}
	if b.Result.State == job.Running && b.Result.Fault == nil && f.waiter.wait {
		f.lastReplyAt = now
		return
	}
	m.endForward(f, b.Result, out)
}
