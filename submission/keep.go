package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// store begins to write a durable answer.
func (m *Manager) store(now time.Time, s *submission) {
	s.phase = storing
	s.job = nil
	s.sends = nil
	s.row = encodeResult(s.result, s.hash)
	s.bytes = len(s.row)
	m.storingBytes += s.bytes
	s.limit = now.Add(m.settings.StoreLimit)
	m.timers.add(timer{at: s.limit, kind: storeTimer, id: s.id})
	m.batcher.Insert(resultKey(s.id), s.row, m.settings.ResultLifetime)
}

// resultReplied takes the store's reply to the write of a durable answer. The
// row of that key has one writer, so if there is one the answer is stored.
func (m *Manager) resultReplied(now time.Time, s *submission, o storage.Outcome, out *Output) {
	if s.phase != storing {
		return
	}
	if o.Fate != storage.Done {
		m.timers.add(timer{at: now.Add(m.circuit.Jitter(storeRetry)), kind: retryTimer, id: s.id, number: s.claim})
		return
	}
	m.storingBytes -= s.bytes
	s.row = nil
	m.conclude(now, s, out)
}

// conclude gives the final answer to all who wait and keeps it for others.
func (m *Manager) conclude(now time.Time, s *submission, out *Output) {
	if s.phase == active || s.phase == storing {
		s.tellEnded(now, s.result.State, s.result.Fault, out)
	}
	s.phase = finished
	s.job = nil
	s.row = nil
	s.sends = nil
	s.outcomes = nil
	s.bytes = sizeOf(s.result)
	s.retained = now.Add(m.settings.Retention)
	m.answerAll(s, *s.result, out)
	m.finishedBytes += s.bytes
	m.order = append(m.order, s)
	m.timers.add(timer{at: s.retained, kind: retentionTimer})
	m.evict(now)
}

// tellEnded reports the end of an accepted job.
func (s *submission) tellEnded(now time.Time, state job.State, f *fault.Error, out *Output) {
	out.Ended = append(out.Ended, Ended{
		SubmissionID: s.id,
		Class:        s.class,
		Team:         s.team,
		Dropped:      s.dropped,
		State:        state,
		Accepted:     s.accepted,
		Finished:     now,
		Fault:        f,
	})
}

// sizeOf is about how many bytes a kept result takes.
func sizeOf(r *job.Result) int {
	const outcomeBytes = 80
	n := outcomeBytes * len(r.Tasks)
	for i := range r.Tasks {
		n += len(r.Tasks[i].Answer)
	}
	return n
}

// evict drops the oldest answers while they exceed their bound.
func (m *Manager) evict(now time.Time) {
	for m.finishedBytes > m.settings.AnswerBytes && m.head < len(m.order) {
		m.forgetOldest(now)
	}
}

// forgetOldest drops the oldest answer and remembers only that its id was
// used, until the id can't start any more by its age.
func (m *Manager) forgetOldest(now time.Time) {
	s := m.order[m.head]
	m.order[m.head] = nil
	m.head++
	if m.head > len(m.order)/2 {
		n := copy(m.order, m.order[m.head:])
		clear(m.order[n:])
		m.order = m.order[:n]
		m.head = 0
	}
	m.finishedBytes -= s.bytes
	delete(m.submissions, s.id)
	if now.Before(s.until) {
		m.remnants[s.id] = remnant{hash: s.hash, durable: s.durable, state: s.result.State, until: s.until}
		m.timers.add(timer{at: s.until, kind: remnantTimer, id: s.id})
	}
}
