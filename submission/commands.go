package submission

import (
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// StoreReplied takes the reply to a call of this package. Replies to other
// calls and repeated ones change nothing.
func (m *Manager) StoreReplied(now time.Time, r storage.Reply, out *Output) {
	now = m.advance(now)
	m.replied(now, r, out)
	m.end(now, out)
}

func (m *Manager) replied(now time.Time, r storage.Reply, out *Output) {
	m.outcomes = m.batcher.Replied(r, m.outcomes[:0])
	if len(m.outcomes) == 0 {
		return
	}
	if r.Fate == storage.Done {
		if m.circuit.Succeeded() {
			out.Events = append(out.Events, event.Record{Kind: event.StoreUp})
		}
	} else if m.circuit.Failed(now) {
		out.Events = append(out.Events, event.Record{Kind: event.StoreDown})
		m.outcomes = m.batcher.DropWaiting(m.outcomes)
	}
	for _, o := range m.outcomes {
		m.rowReplied(now, o, out)
	}
}

func (m *Manager) rowReplied(now time.Time, o storage.Outcome, out *Output) {
	if !o.Write {
		m.rowRead(now, o, out)
		return
	}
	if id, ok := strings.CutPrefix(o.Key, claimKey("")); ok {
		if s := m.submissions[id]; s != nil {
			m.claimReplied(now, s, o, out)
		}
		return
	}
	if id, ok := strings.CutPrefix(o.Key, resultKey("")); ok {
		if s := m.submissions[id]; s != nil {
			m.resultReplied(now, s, o, out)
		}
	}
}

// Tick does what is due. It is wanted when Output.Wake has come.
func (m *Manager) Tick(now time.Time, out *Output) {
	now = m.advance(now)
	for _, r := range m.batcher.Overdue(now) {
		m.replied(now, r, out)
	}
	for {
		t, ok := m.timers.due(now)
		if !ok {
			break
		}
		m.fire(now, t, out)
	}
	m.end(now, out)
}

func (m *Manager) fire(now time.Time, t timer, out *Output) {
	switch t.kind {
	case forwardTimer:
		if f := m.forwards[t.number]; f != nil {
			m.pollForward(now, f, out)
		}
		return
	case retentionTimer:
		// One timer is set for each finished submission, in their order;
		// those that went early leave timers that find younger ones.
		m.retire(now)
		return
	case remnantTimer:
		if r, ok := m.remnants[t.id]; ok && !now.Before(r.until) {
			delete(m.remnants, t.id)
		}
		return
	}
	if s := m.submissions[t.id]; s != nil {
		m.fireFor(now, s, t, out)
	}
}

func (m *Manager) fireFor(now time.Time, s *submission, t timer, out *Output) {
	switch {
	case t.kind == claimTimer && s.phase == claiming && s.claim == t.number && !now.Before(s.limit):
		m.lapse(s, out)
	case t.kind == heldTimer && (s.phase == held || s.phase == lapsed) && !now.Before(s.until):
		delete(m.submissions, s.id)
	case t.kind == storeTimer && s.phase == storing:
		m.answerAll(s, m.notStored(s), out)
	case t.kind == deadlineTimer && s.phase == active && !now.Before(s.job.Deadline):
		m.finish(now, s, job.Failed, m.late(s), out)
	case t.kind == retryTimer && s.phase == claiming && s.claim == t.number:
		m.batcher.Insert(claimKey(s.id), s.row, m.settings.ClaimLifetime)
	case t.kind == retryTimer && s.phase == storing:
		m.batcher.Insert(resultKey(s.id), s.row, m.settings.ResultLifetime)
	}
}

// late is the fault of a job whose deadline passed.
func (m *Manager) late(s *submission) *fault.Error {
	for i := range s.outcomes {
		if s.outcomes[i].Endpoint != "" {
			return fault.New(fault.DeadlineExceeded, "")
		}
	}
	return fault.New(fault.DeadlineTooNear, "no task could be started before the deadline")
}

// retire drops answers that have been kept long enough.
func (m *Manager) retire(now time.Time) {
	for m.head < len(m.order) && !now.Before(m.order[m.head].retained) {
		m.forgetOldest(now)
	}
}

// BeginStop tells that a planned stop has begun. New jobs are refused as not
// run; those that came before go on to their end.
func (m *Manager) BeginStop(now time.Time, out *Output) {
	now = m.advance(now)
	m.stopping = true
	m.end(now, out)
}
