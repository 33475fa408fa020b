package configuration

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/storage"
)

const (
	// maxPending bounds the changes under way and waiting at one instance.
	maxPending = 64
	// restBase and restMax bound the pause before a call is made again.
	restBase = 100 * time.Millisecond
	restMax  = 2 * time.Second
)

// Change asks for a change. Its end is an Answer: at once if the change is not
// valid, else when the table has decided.
func (t *Tracker) Change(now time.Time, c Change, out *Output) {
	if faults := c.ownFaults(); len(faults) > 0 {
		out.Answers = append(out.Answers, Answer{ChangeID: c.ID, Fault: fault.New(fault.BadRequest, "%s", strings.Join(faults, "; "))})
		return
	}
	if version, ok := t.current.applied(c.ID); ok {
		out.Answers = append(out.Answers, Answer{ChangeID: c.ID, Version: version})
		return
	}
	if slices.ContainsFunc(t.pending, func(p *pending) bool { return p.change.ID == c.ID }) {
		return
	}
	if len(t.pending) >= maxPending {
		f := fault.New(fault.StoreUnavailable, "%d changes wait for the table", len(t.pending))
		out.Answers = append(out.Answers, Answer{ChangeID: c.ID, Fault: f.WithRetryAfter(restMax)})
		return
	}
	p := &pending{change: c, deadline: now.Add(t.cfg.ChangeTimeout), stage: resting, resume: now, next: reading}
	t.pending = append(t.pending, p)
	t.tickChanges(now, out)
}

// tickChanges goes on with the change under way, gives up those that wait for
// too long and takes lost replies for what they are.
func (t *Tracker) tickChanges(now time.Time, out *Output) {
	for _, p := range slices.Clone(t.pending) {
		if !p.deadline.After(now) {
			t.giveUp(p, out)
		}
	}
	if len(t.pending) == 0 {
		return
	}
	p := t.pending[0]
	if p.stage != resting && now.Sub(p.sent) > t.cfg.CallTimeout {
		t.advance(now, p, storage.Reply{Number: p.number, Fate: storage.Doubtful}, out)
	}
	if p.stage == resting && !p.resume.After(now) {
		t.resume(now, p, out)
	}
}

func (t *Tracker) resume(now time.Time, p *pending, out *Output) {
	p.stage = p.next
	p.sent = now
	c := storage.Call{Get: []string{t.cfg.Key}}
	if p.stage == writing {
		c = storage.Call{Insert: []storage.Write{p.write}}
	}
	p.number = t.call(out, c)
}

// advance takes in the reply to the call of the change under way.
func (t *Tracker) advance(now time.Time, p *pending, r storage.Reply, out *Output) {
	if r.Fate != storage.Done || len(r.Rows) != 1 {
		// A write whose effect is in doubt is made again: its condition lets
		// it take effect once, and the row shows whether it did.
		p.doubtful = p.doubtful || p.stage == writing && r.Fate != storage.NotApplied
		t.rest(now, p, p.stage)
		return
	}
	if p.stage == writing && len(r.Applied) == 1 && r.Applied[0] {
		t.adopt(now, p.document, All, out)
		t.finish(p, Answer{Version: p.document.Version}, out)
		return
	}
	d, err := t.learn(now, r.Rows[0], out)
	if err != nil {
		t.finish(p, Answer{Fault: fault.New(fault.Internal, "row %q of the table: %v", t.cfg.Key, err)}, out)
		return
	}
	t.decide(now, p, d, r.Rows[0].Version, out)
}

// decide goes on from what the table holds.
func (t *Tracker) decide(now time.Time, p *pending, d Document, row uint64, out *Output) {
	if version, ok := d.applied(p.change.ID); ok {
		out.Announce = All
		t.finish(p, Answer{Version: version}, out)
		return
	}
	if d.Version < t.current.Version {
		// A stale replica answered.
		t.rest(now, p, reading)
		return
	}
	if !p.seen {
		p.seen = true
		p.base = d.Version
		if p.change.Base != 0 {
			p.base = p.change.Base
		}
	}
	if p.base != d.Version {
		t.finish(p, Answer{Fault: fault.New(fault.Conflict, "based on version %d, but %s", p.base, d.Since(p.base))}, out)
		return
	}
	t.write(now, p, d, row, out)
}

func (t *Tracker) write(now time.Time, p *pending, d Document, row uint64, out *Output) {
	next, faults := d.Apply(p.change)
	if len(faults) > 0 {
		t.finish(p, Answer{Fault: fault.New(fault.BadRequest, "%s", strings.Join(faults, "; "))}, out)
		return
	}
	value, err := next.Encode()
	if err != nil {
		t.finish(p, Answer{Fault: fault.New(fault.Internal, "%v", err)}, out)
		return
	}
	p.document = next
	p.write = storage.Write{Condition: storage.Condition{Key: t.cfg.Key, Version: row}, Value: value}
	p.stage, p.next, p.resume = resting, writing, now
	t.resume(now, p, out)
}

func (t *Tracker) rest(now time.Time, p *pending, next stage) {
	pause := min(restBase<<min(p.retries, 8), restMax)
	p.retries++
	p.stage = resting
	p.next = next
	p.resume = now.Add(time.Duration((0.5 + t.rng.Float64()) * float64(pause)))
}

// giveUp ends a change that the table did not decide in time.
func (t *Tracker) giveUp(p *pending, out *Output) {
	if p.doubtful || p.stage == writing {
		t.finish(p, Answer{Fault: fault.New(fault.ChangeUnknown, "the table did not answer within %s", t.cfg.ChangeTimeout)}, out)
		return
	}
	f := fault.New(fault.StoreUnavailable, "the configuration was not changed")
	t.finish(p, Answer{Fault: f.WithRetryAfter(t.cfg.PollEvery)}, out)
}

func (t *Tracker) finish(p *pending, a Answer, out *Output) {
	a.ChangeID = p.change.ID
	out.Answers = append(out.Answers, a)
	t.pending = slices.DeleteFunc(t.pending, func(o *pending) bool { return o == p })
}
