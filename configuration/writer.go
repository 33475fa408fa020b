package configuration

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/storage"
)

const (
	// maxPending is the maximum number of changes, active and queued, at one
	// instance.
	maxPending = 64
	// retryBase and retryMax bound the backoff before a call is retried,
	// without jitter.
	retryBase = 100 * time.Millisecond
	retryMax  = 2 * time.Second
)

// Change requests a change. Its result is a ChangeResult: at once if the change
// is invalid, has already taken effect or exceeds the maximum number of pending
// changes, otherwise when the table has decided or ChangeTimeout has passed.
func (t *Tracker) Change(now time.Time, c Change, out *Output) {
	if faults := c.contentFaults(); len(faults) > 0 {
		out.Answers = append(out.Answers, ChangeResult{ChangeID: c.ID, Fault: fault.New(fault.BadRequest, "%s", strings.Join(faults, "; "))})
		return
	}
	if version, ok := t.current.applied(c.ID); ok {
		out.Answers = append(out.Answers, ChangeResult{ChangeID: c.ID, Version: version})
		return
	}
	if slices.ContainsFunc(t.pending, func(p *pending) bool { return p.change.ID == c.ID }) {
		return
	}
	if len(t.pending) >= maxPending {
		f := fault.New(fault.StoreUnavailable, "%d changes wait for the table", len(t.pending))
		out.Answers = append(out.Answers, ChangeResult{ChangeID: c.ID, Fault: f.WithRetryAfter(retryMax)})
		return
	}
	p := &pending{change: c, deadline: now.Add(t.cfg.ChangeTimeout), stage: waiting, resumeAt: now, next: reading}
	t.pending = append(t.pending, p)
	t.advanceChanges(now, out)
}

// advanceChanges abandons the changes whose deadline has passed and advances
// the active one. A call without a reply after CallTimeout is handled as a
// reply of unknown effect.
func (t *Tracker) advanceChanges(now time.Time, out *Output) {
	for _, p := range slices.Clone(t.pending) {
		if !p.deadline.After(now) {
			t.abandon(p, out)
		}
	}
	if len(t.pending) == 0 {
		return
	}
	p := t.pending[0]
	if p.stage != waiting && now.Sub(p.sentAt) > t.cfg.CallTimeout {
		t.handleReply(now, p, storage.Reply{Number: p.number, Outcome: storage.Unknown}, out)
	}
	if p.stage == waiting && !p.resumeAt.After(now) {
		t.makeCall(now, p, out)
	}
}

func (t *Tracker) makeCall(now time.Time, p *pending, out *Output) {
	p.stage = p.next
	p.sentAt = now
	c := storage.Call{Get: []string{t.cfg.Key}}
	if p.stage == writing {
		c = storage.Call{Insert: []storage.Write{p.write}}
	}
	p.number = t.call(out, c)
}

// handleReply handles the reply to a call of the active change.
func (t *Tracker) handleReply(now time.Time, p *pending, r storage.Reply, out *Output) {
	if r.Outcome != storage.Done || len(r.Rows) != 1 {
		// An unconfirmed write is retried. Its condition lets it take effect
		// only once, and the row shows whether it did.
		p.unconfirmed = p.unconfirmed || p.stage == writing && r.Outcome != storage.NotApplied
		t.scheduleRetry(now, p, p.stage)
		return
	}
	if p.stage == writing && len(r.Applied) == 1 && r.Applied[0] {
		t.adopt(now, p.document, All, out)
		t.finish(p, ChangeResult{Version: p.document.Version}, out)
		return
	}
	d, err := t.handleRow(now, r.Rows[0], out)
	if err != nil {
		t.finish(p, ChangeResult{Fault: fault.New(fault.Internal, "row %q of the table: %v", t.cfg.Key, err)}, out)
		return
	}
	t.handleDocument(now, p, d, r.Rows[0].Version, out)
}

// handleDocument decides the next step of a change from the document that the
// table holds.
func (t *Tracker) handleDocument(now time.Time, p *pending, d Document, row uint64, out *Output) {
	if version, ok := d.applied(p.change.ID); ok {
		out.Announce = All
		t.finish(p, ChangeResult{Version: version}, out)
		return
	}
	if d.Version < t.current.Version {
		// A stale replica answered.
		t.scheduleRetry(now, p, reading)
		return
	}
	if !p.baseSet {
		p.baseSet = true
		p.base = d.Version
		if p.change.Base != 0 {
			p.base = p.change.Base
		}
	}
	if p.base != d.Version {
		t.finish(p, ChangeResult{Fault: fault.New(fault.Conflict, "based on version %d, but %s", p.base, d.Since(p.base))}, out)
		return
	}
	t.startWrite(now, p, d, row, out)
}

func (t *Tracker) startWrite(now time.Time, p *pending, d Document, row uint64, out *Output) {
	next, faults := d.Apply(p.change)
	if len(faults) > 0 {
		t.finish(p, ChangeResult{Fault: fault.New(fault.BadRequest, "%s", strings.Join(faults, "; "))}, out)
		return
	}
	value, err := next.Encode()
	if err != nil {
		t.finish(p, ChangeResult{Fault: fault.New(fault.Internal, "%v", err)}, out)
		return
	}
	p.document = next
	p.write = storage.Write{Condition: storage.Condition{Key: t.cfg.Key, Version: row}, Value: value}
	p.stage, p.next, p.resumeAt = waiting, writing, now
	t.makeCall(now, p, out)
}

func (t *Tracker) scheduleRetry(now time.Time, p *pending, next stage) {
	pause := min(retryBase<<min(p.retries, 8), retryMax)
	p.retries++
	p.stage = waiting
	p.next = next
	p.resumeAt = now.Add(time.Duration((0.5 + t.rng.Float64()) * float64(pause)))
}

// abandon ends a change that the table did not decide in time.
func (t *Tracker) abandon(p *pending, out *Output) {
	if p.unconfirmed || p.stage == writing {
		t.finish(p, ChangeResult{Fault: fault.New(fault.ChangeUnknown, "the table did not answer within %s", t.cfg.ChangeTimeout)}, out)
		return
	}
	f := fault.New(fault.StoreUnavailable, "the configuration was not changed")
	t.finish(p, ChangeResult{Fault: f.WithRetryAfter(t.cfg.PollEvery)}, out)
}

func (t *Tracker) finish(p *pending, a ChangeResult, out *Output) {
	a.ChangeID = p.change.ID
	out.Answers = append(out.Answers, a)
	t.pending = slices.DeleteFunc(t.pending, func(o *pending) bool { return o == p })
}
