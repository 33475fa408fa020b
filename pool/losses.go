package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
)

// maxIntroducedLosses bounds the losses with and without runs that a new peer is sent: the
// latest ones.
const maxIntroducedLosses = 64

// LossCounts counts the held endpoints that were lost with runs, by what was learnt
// of them later.
type LossCounts struct {
	// Suspected counts all of them. Proved are those that have started again, and
	// Withdrawn those that were only silent.
	Suspected, Proved, Withdrawn int
}

// recordLoss records that a held endpoint, which was not announced to leave, is lost
// with the runs that it may have had: those that were sent before the given time.
// refusedAt is when it first refused a connection; zero if it has not. The peers hear of
// the loss before they hear of the ends of these runs.
func (m *Machine) recordLoss(now time.Time, e *endpointState, before, refusedAt time.Time, out *Output) {
	if e.lifetime.announced() || m.recentlyResumed(now) { // the silence was its own
		return
	}
	goneBy := before
	if !refusedAt.IsZero() {
		goneBy = earlier(goneBy, refusedAt)
	}
	loss := crash.Loss{Endpoint: e.info.ID, Address: e.info.Address, StartedAt: e.info.StartedAt, At: now, Own: true}
	for _, r := range e.sortedRuns() {
		if len(loss.Runs) < crash.MaxRuns && !r.sentAt.After(before) && r.mayBeUnderWay(now, m.cfg.StopTime) {
			loss.Runs = append(loss.Runs, crash.Run{
				Task: r.ref.Task, Queue: r.jobQueue, Started: !r.startedAt.IsZero(), UnderWay: m.wasUnderWay(e, r, goneBy),
			})
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

// wasUnderWay reports whether the run was certainly under way when its endpoint crashed,
// which was at the given time or before: neither the lease nor a stop can have ended it
// before that.
func (m *Machine) wasUnderWay(e *endpointState, r *heldRun, goneBy time.Time) bool {
	if r.startedAt.IsZero() || r.startedAt.After(goneBy) {
		return false
	}
	if !r.stopRequestedAt.IsZero() && r.stopRequestedAt.Before(goneBy) {
		return false
	}
	startLease := time.Duration(startLeaseShare * float64(m.cfg.LeaseTime))
	return goneBy.Before(later(e.leasedUntil, r.sentAt.Add(startLease)))
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
	if m.losses.AwaitsProof() {
		for _, i := range infos {
			m.applyLossChanges(m.losses.ObserveBoot(i.ID, i.Address, i.StartedAt), out)
		}
	}
	boots := make([]crash.Boot, 0, len(infos))
	for _, i := range infos {
		boots = append(boots, crash.Boot{Endpoint: i.ID, Address: i.Address, StartedAt: i.StartedAt, Draining: i.Draining})
	}
	m.losses.ObserveList(now, boots)
}

// observeLeaving records that an endpoint was announced to leave. The peers hear of it,
// since the entry may be gone before they read the list.
func (m *Machine) observeLeaving(now time.Time, i endpoint.Info, out *Output) {
	changed := m.losses.ObserveLeaving(now, i.ID, i.StartedAt)
	m.applyLossChanges(changed, out)
	m.sendLosses(now, m.sortedPeers, changed, out)
}

// proveByList looks for the proof of a new loss in the platform's list, which may
// have it already.
func (m *Machine) proveByList(loss crash.Loss, out *Output) {
	for _, e := range m.sortedEndpoints {
		if e.info.ID == loss.Endpoint || e.info.Address == loss.Address {
			m.applyLossChanges(m.losses.ObserveBoot(e.info.ID, e.info.Address, e.info.StartedAt), out)
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
	m.sendLosses(now, []*peer{p}, slices.Concat(latest(m.losses.Losses()), latest(m.losses.Restarts())), out)
}

func latest(losses []crash.Loss) []crash.Loss {
	return losses[max(len(losses)-maxIntroducedLosses, 0):]
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

// knowsLosses reports whether this instance has heard of the losses that half of its
// neighbours know. One that is cut off or new does not know which endpoints crash.
func (m *Machine) knowsLosses() bool {
	introduced := 0
	for _, p := range m.sortedPeers {
		if p.introduced {
			introduced++
		}
	}
	return m.peersListed && 2*introduced >= len(m.neighbourhood.selected)
}

// describeLoss describes a loss for a log line.
func describeLoss(l crash.Loss) string {
	tasks, underWay := make([]string, 0, len(l.Runs)), 0
	for _, r := range l.Runs {
		tasks = append(tasks, r.Task)
		if r.UnderWay {
			underWay++
		}
	}
	return fmt.Sprintf("%d runs, %d certainly under way: %s", len(l.Runs), underWay, strings.Join(tasks, ","))
}
