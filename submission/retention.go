package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

// storeResult starts to write the durable answer.
func (m *Manager) storeResult(now time.Time, s *submission) {
	s.phase = storing
	s.job = nil
	s.attempts = nil
	s.row = encodeResult(s.result, s.hash)
	s.resultBytes = len(s.row)
	m.storingBytes += s.resultBytes
	s.timeoutAt = now.Add(m.settings.StoreTimeout)
	m.timers.add(timer{at: s.timeoutAt, kind: storeTimeoutTimer, id: s.id})
	m.batcher.Insert(resultKey(s.id), s.row, m.settings.ResultLifetime)
}

// handleResultReply handles the store's reply to the write of a durable answer.
// Only this submission writes the row, so if the row exists the answer is
// stored.
func (m *Manager) handleResultReply(now time.Time, s *submission, o storage.RowOutcome, out *Output) {
	if s.phase != storing {
		return
	}
	if o.Outcome != storage.Done {
		m.timers.add(timer{at: now.Add(m.circuit.Jitter(storeRetryDelay)), kind: storeRetryTimer, id: s.id, number: s.claimNumber})
		return
	}
	m.storingBytes -= s.resultBytes
	s.row = nil
	m.finalize(now, s, out)
}

// finalize sends the final answer to all waiters and keeps it for later
// requests.
func (m *Manager) finalize(now time.Time, s *submission, out *Output) {
	if s.phase == active || s.phase == storing {
		s.reportEnded(now, s.result.State, s.result.Fault, out)
	}
	s.phase = finished
	s.job = nil
	s.row = nil
	s.attempts = nil
	s.outcomes = nil
	s.resultBytes = resultSize(s.result)
	s.retainUntil = now.Add(m.settings.Retention)
	m.answerAll(s, *s.result, out)
	m.finishedBytes += s.resultBytes
	m.order = append(m.order, s)
	m.timers.add(timer{at: s.retainUntil, kind: retentionTimer})
	m.evictOverLimit(now)
}

// reportEnded adds the end of an accepted job to the output.
func (s *submission) reportEnded(now time.Time, state job.State, f *fault.Error, out *Output) {
	out.Ended = append(out.Ended, EndedJob{
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

// resultSize returns the approximate memory use of a kept result in bytes.
func resultSize(r *job.Result) int {
	const outcomeBytes = 80
	n := outcomeBytes * len(r.Tasks)
	for i := range r.Tasks {
		n += len(r.Tasks[i].Answer)
	}
	return n
}

// evictOverLimit evicts the oldest answers while the kept answers exceed
// MaxAnswerBytes.
func (m *Manager) evictOverLimit(now time.Time) {
	for m.finishedBytes > m.settings.MaxAnswerBytes && m.head < len(m.order) {
		m.evictOldest(now)
	}
}

// evictOldest evicts the oldest answer. Until the end of the start window a
// tombstone remembers that the id was used. After that, the age of an issued id
// or the claim's row of a caller-chosen id keeps it from starting again.
func (m *Manager) evictOldest(now time.Time) {
	s := m.order[m.head]
	m.order[m.head] = nil
	m.head++
	if m.head > len(m.order)/2 {
		n := copy(m.order, m.order[m.head:])
		clear(m.order[n:])
		m.order = m.order[:n]
		m.head = 0
	}
	m.finishedBytes -= s.resultBytes
	delete(m.submissions, s.id)
	if now.Before(s.windowEnd) {
		m.tombstones[s.id] = tombstone{hash: s.hash, durable: s.durable, state: s.result.State, windowEnd: s.windowEnd}
		m.timers.add(timer{at: s.windowEnd, kind: tombstoneTimer, id: s.id})
	}
}
