package configuration

import "time"

// Current returns the document in force. The caller must not modify it.
func (t *Tracker) Current() Document { return t.current }

// Ready reports whether this instance knows enough of the configuration to
// serve. Once ready, it stays ready.
func (t *Tracker) Ready() bool { return t.ready }

// Stale reports whether neither the table nor a peer has confirmed the version
// in force for longer than Settings.StaleAfter.
func (t *Tracker) Stale() bool { return t.stale }

// Next returns when Tick must be called next.
func (t *Tracker) Next() time.Time {
	next := t.nextPoll
	if !t.fetchAt.IsZero() && t.fetchAt.Before(next) {
		next = t.fetchAt
	}
	if startupEnd := t.started.Add(t.cfg.StartupWait); !t.startupWaitOver && startupEnd.Before(next) {
		next = startupEnd
	}
	for _, p := range t.pending {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	if len(t.pending) > 0 {
		p := t.pending[0]
		at := p.resumeAt
		if p.stage != waiting {
			at = p.sentAt.Add(t.cfg.CallTimeout + 1)
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}
