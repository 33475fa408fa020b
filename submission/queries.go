package submission

// Unfinished counts what a forced stop would leave without an answer.
type Unfinished struct {
	// Claims is the number of submissions whose claim is pending.
	Claims int
	// Jobs is the number of accepted jobs that have not ended.
	Jobs int
	// Answers is the number of durable answers that are not stored yet.
	Answers int
	// Requests is the number of requests that wait for another instance or the
	// store.
	Requests int
}

// Idle reports whether a planned stop is complete: no caller waits, and no job
// or durable answer would be lost.
func (m *Manager) Idle() bool { return m.Unfinished() == Unfinished{} }

// Unfinished returns what a forced stop would lose now.
func (m *Manager) Unfinished() Unfinished {
	unfinished := Unfinished{Requests: len(m.forwards)}
	for _, l := range m.lookups {
		unfinished.Requests += len(l)
	}
	for _, s := range m.submissions {
		switch s.phase {
		case claiming:
			unfinished.Claims++
		case active:
			unfinished.Jobs++
		case storing:
			unfinished.Answers++
		}
	}
	return unfinished
}

// Size returns the number of submissions in memory and the number of
// tombstones.
func (m *Manager) Size() (submissions, tombstones int) {
	return len(m.submissions), len(m.tombstones)
}
