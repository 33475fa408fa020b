package pool

import (
	"fmt"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
)

// maxIntroducedLosses bounds the losses that a new peer is sent: the latest ones.
const maxIntroducedLosses = 64

// LossCounts counts the held endpoints that were lost with runs, by what was learnt
// of them later.
type LossCounts struct {
	// Suspected counts all of them. Proved are those that have started again, and
	// Withdrawn those that were only silent.
	Suspected, Proved, Withdrawn int
}

// recordLoss records that a held endpoint, which was not announced to leave, is lost
// with the runs that it may have had: those that were sent before the given time. It
// sends that to the peers before they hear of the ends of these runs.
func (m *Machine) recordLoss(now time.Time, e *endpointState, before time.Time, out *Output) {
	if e.lifetime.announced() || m.recentlyResumed(now) { // the silence was its own
		return
	}
	loss := crash.Loss{Endpoint: e.info.ID, Address: e.info.Address, StartedAt: e.info.StartedAt, At: now, Own: true}
	for _, r := range e.sortedRuns() {
		if len(loss.Runs) < crash.MaxRuns && !r.sentAt.After(before) && r.mayBeUnderWay(now, m.cfg.StopTime) {
			loss.Runs = append(loss.Runs, crash.Run{Task: r.ref.Task, Queue: r.jobQueue, Started: !r.startedAt.IsZero()})
		}
	}
	if len(loss.Runs) == 0 || !m.losses.Record(loss) {
		return
	}
	m.lossCounts.Suspected++
	out.log(event.EndpointLost, e.info.ID, describeLoss(loss))
	m.reviewTasks(loss)
	m.sendLosses(now, m.sortedPeers, []crash.Loss{loss}, out)
	m.proveByList(loss, out)
}

// mayBeUnderWay reports whether the run may have been under way when its endpoint was
// lost: its start was sent, and no stop has ended it since.
func (r *heldRun) mayBeUnderWay(now time.Time, stopTime time.Duration) bool {
	return r.stopAcceptedAt.IsZero() || now.Sub(r.stopAcceptedAt) <= stopTime
}

// observeListedBoots looks in a new list for the proofs of losses, and for endpoints that
// were announced to leave before they were lost.
func (m *Machine) observeListedBoots(now time.Time, infos []endpoint.Info, out *Output) {
	for _, i := range infos {
		if i.Draining {
			m.observeLeaving(now, i, out)
		}
	}
	if !m.losses.AwaitsProof() {
		return
	}
	for _, i := range infos {
		m.applyLossChanges(m.losses.ObserveBoot(i.ID, i.Address, i.StartedAt), out)
	}
}

// observeLeaving records that an endpoint was announced to leave. The peers hear of it,
// since the entry may be gone before they read the list.
func (m *Machine) observeLeaving(now time.Time, i endpoint.Info, out *Output) {
	changed := m.losses.ObserveLeaving(now, i.ID, i.StartedAt)
	m.applyLossChanges(changed, out)
	m.sendLosses(now, m.sortedPeers, changed, out)
}

// proveByList looks for the proof of a new loss in the platform's list and in the answers
// of the endpoints, which may have it already.
func (m *Machine) proveByList(loss crash.Loss, out *Output) {
	for _, e := range m.sortedEndpoints {
		if e.info.ID == loss.Endpoint || e.info.Address == loss.Address {
			m.applyLossChanges(m.losses.ObserveBoot(e.info.ID, e.info.Address, later(e.info.StartedAt, e.size.boot)), out)
		}
	}
}

// observeAnswer records what an answer of an endpoint says of its loss. The peers hear
// of it, since the platform's list tells it later or not at all.
func (m *Machine) observeAnswer(now time.Time, e *endpointState, reply PollReply, out *Output) {
	changed := m.losses.ObserveAnswer(now, reply.Sent, e.info.ID, e.info.Address, reply.StartedAt)
	if len(changed) == 0 {
		return
	}
	m.applyLossChanges(changed, out)
	m.sendLosses(now, m.sortedPeers, changed, out)
}

// applyLossChanges handles losses whose state has changed.
func (m *Machine) applyLossChanges(changed []crash.Loss, out *Output) {
	for _, l := range changed {
		m.reviewTasks(l)
		switch {
		case !l.Own:
		case l.State == crash.Proved:
			m.lossCounts.Proved++
			out.log(event.EndpointCrashProved, l.Endpoint, describeLoss(l))
		default:
			m.lossCounts.Withdrawn++
			out.log(event.EndpointLossWithdrawn, l.Endpoint, describeLoss(l))
		}
	}
}

// handleLosses merges what a peer knows of lost endpoints. What comes from another
// data centre is passed on in this one, since not all instances are connected.
func (m *Machine) handleLosses(now time.Time, p *peer, b message.EndpointLosses, out *Output) {
	var changed []crash.Loss
	for _, l := range b.Losses {
		loss := crash.Loss{Endpoint: l.Endpoint, Address: l.Address, StartedAt: l.StartedAt, At: now.Add(-l.Age), State: l.State, Runs: l.Runs}
		if !m.losses.Record(loss) {
			continue
		}
		changed = append(changed, loss)
		m.reviewTasks(loss)
		if loss.State == crash.Suspected {
			m.proveByList(loss, out)
		}
	}
	if len(changed) > 0 && p.info.DataCentre != m.cfg.Self.DataCentre {
		m.sendLosses(now, m.localPeers(), changed, out)
	}
}

// introduceLosses sends a peer that has just joined the latest losses.
func (m *Machine) introduceLosses(now time.Time, p *peer, out *Output) {
	losses := m.losses.Losses()
	m.sendLosses(now, []*peer{p}, losses[max(len(losses)-maxIntroducedLosses, 0):], out)
}

func (m *Machine) sendLosses(now time.Time, peers []*peer, losses []crash.Loss, out *Output) {
	if len(losses) == 0 {
		return
	}
	var b message.EndpointLosses
	for _, l := range losses {
		b.Losses = append(b.Losses, message.EndpointLoss{
			Endpoint: l.Endpoint, Address: l.Address, StartedAt: l.StartedAt, Age: max(now.Sub(l.At), 0), State: l.State, Runs: l.Runs,
		})
	}
	for _, p := range peers {
		m.send(p.info.Ref, b, out)
	}
}

// describeLoss describes a loss for a log line.
func describeLoss(l crash.Loss) string {
	tasks := make([]string, 0, len(l.Runs))
	for _, r := range l.Runs {
		tasks = append(tasks, r.Task)
	}
	return fmt.Sprintf("%d runs: %s", len(l.Runs), strings.Join(tasks, ","))
}
