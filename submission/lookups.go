package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// lookup is a request that waits for a row of the table: a claim's row, that
// tells the home, or if then is set a durable answer.
type lookup struct {
	waiter waiter
	id     string
	job    *job.Job
	// then is what the caller is told if there is no durable answer.
	then *fault.Error
}

// look reads a row for a request. Requests for one row share the read.
func (m *Manager) look(key string, l lookup, out *Output) {
	if m.circuit.Refuses(m.latest) {
		m.answer(l.waiter, unknown(l.id, l.job, m.unread(l)), out)
		return
	}
	if len(m.lookups) >= m.settings.Claims || len(m.lookups[key]) >= maxWaiters {
		m.answer(l.waiter, unknown(l.id, l.job, m.unchecked(tooMany)), out)
		return
	}
	m.lookups[key] = append(m.lookups[key], l)
	m.batcher.Get(key)
}

// unread is the fault of a request whose row can't be read.
func (m *Manager) unread(l lookup) *fault.Error {
	if l.then == nil {
		return m.unchecked(storeAway)
	}
	return m.awayFault()
}

// rowRead ends the requests that wait for a row.
func (m *Manager) rowRead(now time.Time, o storage.Outcome, out *Output) {
	waiting := m.lookups[o.Key]
	delete(m.lookups, o.Key)
	for _, l := range waiting {
		switch {
		case o.Fate != storage.Done:
			m.answer(l.waiter, unknown(l.id, l.job, m.unread(l)), out)
		case l.then == nil:
			m.claimRead(now, l, o.Row, out)
		default:
			m.resultRead(l, o.Row, out)
		}
	}
}

func (m *Manager) claimRead(now time.Time, l lookup, r storage.Row, out *Output) {
	if r.Version == 0 && l.job != nil {
		// Another instance may claim the id for an earlier request before
		// this reply is read, so it does not say "not run".
		if !m.handOver(now, l, out) {
			m.answer(l.waiter, unknown(l.id, l.job, m.leavingFault()), out)
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

func (m *Manager) resultRead(l lookup, r storage.Row, out *Output) {
	if r.Version == 0 {
		m.answer(l.waiter, unknown(l.id, l.job, l.then), out)
		return
	}
	result, contents, err := decodeResult(l.id, r.Value)
	if err != nil {
		m.answer(l.waiter, unknown(l.id, l.job, fault.New(fault.Internal, "%v", err)), out)
		return
	}
	if l.job != nil && hashOf(l.job) != contents {
		m.answer(l.waiter, failure(l.id, fault.New(fault.IDReused, "")), out)
		return
	}
	m.answer(l.waiter, result, out)
}
