package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// lookup is a request that waits for the read of a row. The row is a durable
// answer if ifMissing is set, otherwise a claim, which names the home.
type lookup struct {
	waiter waiter
	id     string
	job    *job.Job
	// ifMissing is the caller's answer if there is no durable answer.
	ifMissing *fault.Error
}

// readRow reads a row for a request. Requests for the same row share one read.
func (m *Manager) readRow(key string, l lookup, out *Output) {
	if m.circuit.Refuses(m.latest) {
		m.answer(l.waiter, unknownOutcome(l.id, l.job, m.lookupFault(l)), out)
		return
	}
	if len(m.lookups) >= m.settings.MaxPendingRows || len(m.lookups[key]) >= maxWaiters {
		m.answer(l.waiter, unknownOutcome(l.id, l.job, m.uncheckedFault(tooManyRequests)), out)
		return
	}
	m.lookups[key] = append(m.lookups[key], l)
	m.batcher.Get(key)
}

// lookupFault returns the fault of a request whose row cannot be read.
func (m *Manager) lookupFault(l lookup) *fault.Error {
	if l.ifMissing == nil {
		return m.uncheckedFault(storeUnreachable)
	}
	return m.homeUnreachableFault()
}

// handleRowRead continues all requests that wait for the row.
func (m *Manager) handleRowRead(now time.Time, o storage.RowOutcome, out *Output) {
	waiting := m.lookups[o.Key]
	delete(m.lookups, o.Key)
	for _, l := range waiting {
		switch {
		case o.Outcome != storage.Done:
			m.answer(l.waiter, unknownOutcome(l.id, l.job, m.lookupFault(l)), out)
		case l.ifMissing == nil:
			m.handleClaimRead(now, l, o.Row, out)
		default:
			m.handleResultRead(l, o.Row, out)
		}
	}
}

// handleClaimRead continues a request with the row of a claim. If there is no
// row, a submit is handed over to another instance: submits read the claim only
// while this instance is stopping.
func (m *Manager) handleClaimRead(now time.Time, l lookup, r storage.Row, out *Output) {
	if r.Version == 0 && l.job != nil {
		// Another instance may claim the id for an earlier request before
		// the caller reads this reply, so it must not say "not run".
		if !m.handOver(now, l, out) {
			m.answer(l.waiter, unknownOutcome(l.id, l.job, m.uncheckedStoppingFault()), out)
		}
		return
	}
	if r.Version == 0 {
		m.answer(l.waiter, failure(l.id, fault.New(fault.NotFound, "")), out)
		return
	}
	row, err := decodeClaim(r.Value)
	if err != nil {
		m.answer(l.waiter, failure(l.id, fault.New(fault.Internal, "%v", err)), out)
		return
	}
	m.routeClaimed(now, l.waiter, row, l.id, l.job, out)
}

// handleResultRead answers a request from the row of a durable answer.
func (m *Manager) handleResultRead(l lookup, r storage.Row, out *Output) {
	if r.Version == 0 {
		m.answer(l.waiter, unknownOutcome(l.id, l.job, l.ifMissing), out)
		return
	}
	result, hash, err := decodeResult(l.id, r.Value)
	if err != nil {
		m.answer(l.waiter, unknownOutcome(l.id, l.job, fault.New(fault.Internal, "%v", err)), out)
		return
	}
	if l.job != nil && jobHash(l.job) != hash {
		m.answer(l.waiter, failure(l.id, fault.New(fault.IDReused, "")), out)
		return
	}
	m.answer(l.waiter, result, out)
}
