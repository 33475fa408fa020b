package submission

import (
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// HandleStoreReply handles the reply to a store call of this package. It
// ignores replies to other calls and duplicates.
func (m *Manager) HandleStoreReply(now time.Time, r storage.Reply, out *Output) {
	now = m.advance(now)
	m.handleReply(now, r, out)
	m.flush(now, out)
}

func (m *Manager) handleReply(now time.Time, r storage.Reply, out *Output) {
	m.rowOutcomes = m.batcher.HandleReply(r, m.rowOutcomes[:0])
	if len(m.rowOutcomes) == 0 {
		return
	}
	if r.Outcome == storage.Done {
		if m.circuit.RecordSuccess() {
			out.Events = append(out.Events, event.Record{Kind: event.StoreReachable})
		}
	} else if m.circuit.RecordFailure(now) {
		out.Events = append(out.Events, event.Record{Kind: event.StoreUnreachable})
		m.rowOutcomes = m.batcher.DropQueued(m.rowOutcomes)
	}
	for _, o := range m.rowOutcomes {
		m.handleRowReply(now, o, out)
	}
}

func (m *Manager) handleRowReply(now time.Time, o storage.RowOutcome, out *Output) {
	if !o.Write {
		m.handleRowRead(now, o, out)
		return
	}
	if id, ok := strings.CutPrefix(o.Key, claimKey("")); ok {
		if s := m.submissions[id]; s != nil {
			m.handleClaimReply(now, s, o, out)
		}
		return
	}
	if id, ok := strings.CutPrefix(o.Key, resultKey("")); ok {
		if s := m.submissions[id]; s != nil {
			m.handleResultReply(now, s, o, out)
		}
	}
}

// Tick handles overdue store calls and the timers that are due. The driver
// calls it at Output.Wake.
func (m *Manager) Tick(now time.Time, out *Output) {
	now = m.advance(now)
	for _, r := range m.batcher.Overdue(now) {
		m.handleReply(now, r, out)
	}
	for {
		t, ok := m.timers.popDue(now)
		if !ok {
			break
		}
		m.handleTimer(now, t, out)
	}
	m.flush(now, out)
}

func (m *Manager) handleTimer(now time.Time, t timer, out *Output) {
	switch t.kind {
	case forwardTimer:
		if f := m.forwards[t.number]; f != nil {
			m.retryForward(now, f, out)
		}
		return
	case retentionTimer:
		// Each finished submission has one timer. If the submission was
		// evicted earlier, its timer finds only later submissions, whose
		// retention time has not ended.
		m.evictExpired(now)
		return
	case tombstoneTimer:
		if expired, ok := m.tombstones[t.id]; ok && !now.Before(expired.windowEnd) {
			delete(m.tombstones, t.id)
		}
		return
	}
	if s := m.submissions[t.id]; s != nil {
		m.handleSubmissionTimer(now, s, t, out)
	}
}

// handleSubmissionTimer handles a timer of a submission. It ignores a timer
// that no longer matches the submission's state.
func (m *Manager) handleSubmissionTimer(now time.Time, s *submission, t timer, out *Output) {
	switch {
	case t.kind == claimTimeoutTimer && s.phase == claiming && s.claimNumber == t.number && !now.Before(s.timeoutAt):
		m.timeOutClaim(s, out)
	case t.kind == startWindowTimer && (s.phase == notRun || s.phase == claimTimedOut) && !now.Before(s.windowEnd):
		delete(m.submissions, s.id)
	case t.kind == storeTimeoutTimer && s.phase == storing:
		m.answerAll(s, m.answerNotStored(s), out)
	case t.kind == deadlineTimer && s.phase == active && !now.Before(s.job.Deadline):
		m.endJob(now, s, job.Failed, m.deadlineFault(s), out)
	case t.kind == storeRetryTimer && s.phase == claiming && s.claimNumber == t.number:
		m.batcher.Insert(claimKey(s.id), s.row, m.settings.ClaimLifetime)
	case t.kind == storeRetryTimer && s.phase == storing:
		m.batcher.Insert(resultKey(s.id), s.row, m.settings.ResultLifetime)
	}
}

// deadlineFault returns the fault of a job whose deadline has passed:
// DeadlineExceeded if a task was sent and not refused, otherwise
// DeadlineTooNear.
func (m *Manager) deadlineFault(s *submission) *fault.Error {
	for i := range s.outcomes {
		if s.outcomes[i].Endpoint != "" {
			return fault.New(fault.DeadlineExceeded, "")
		}
	}
	return fault.New(fault.DeadlineTooNear, "no task could be started before the deadline")
}

// evictExpired evicts the answers whose retention time has ended.
func (m *Manager) evictExpired(now time.Time) {
	for m.head < len(m.order) && !now.Before(m.order[m.head].retainUntil) {
		m.evictOldest(now)
	}
}

// BeginStop starts a planned stop. New jobs are refused as not run or, if a
// caller chose the id, handed over to another instance. Earlier jobs continue
// to their end.
func (m *Manager) BeginStop(now time.Time, out *Output) {
	now = m.advance(now)
	m.stopping = true
	m.flush(now, out)
}
