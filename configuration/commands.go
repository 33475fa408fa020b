package configuration

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/storage"
)

const (
	// maxPolls bounds the reads under way at once.
	maxPolls = 4
	// maxPollFactor bounds by how much the instances of a data centre thin out
	// their reads.
	maxPollFactor = 4
	// pollJitter is the part of the time between reads that is random.
	pollJitter = 0.25
	// slowCall is the time of a call from which the store counts as slow.
	slowCall = time.Second
	// neighbourLife is how long an instance that is not heard still counts.
	neighbourLife = 5 * time.Second
	// maxNeighbours bounds those counted.
	maxNeighbours = 2 * maxPollFactor
	// requestAgain is when a peer that did not answer is asked again.
	requestAgain = 500 * time.Millisecond
	// offerLife is how long a version that nobody could deliver keeps a new
	// instance from serving.
	offerLife = 30 * time.Second
)

// Offered takes in which version is in force at a peer, as each heartbeat
// tells.
func (t *Tracker) Offered(now time.Time, from instance.Ref, version uint64, out *Output) {
	t.heard = true
	isNear := from.DataCentre == t.cfg.Self.DataCentre
	if isNear {
		t.countNeighbour(now, from.ID)
	}
	if version >= t.offered {
		t.offered = version
		t.offeredAt = now
	}
	switch {
	case version == t.current.Version:
		t.confirm(now)
	case version > t.current.Version:
		t.plan(now, from, isNear)
	}
	t.Tick(now, out)
}

// plan asks a near peer at once and a far one after a random wait, so that of
// a data centre's instances few ask far away and the rest ask those.
func (t *Tracker) plan(now time.Time, from instance.Ref, isNear bool) {
	if now.Sub(t.requested) < requestAgain {
		return
	}
	if isNear {
		t.fetch, t.fetchAt = from, now
		return
	}
	if t.fetchAt.IsZero() {
		t.fetch = from
		t.fetchAt = now.Add(time.Duration(t.rng.Float64() * float64(t.cfg.FarDelay)))
	}
}

func (t *Tracker) countNeighbour(now time.Time, id string) {
	t.near = slices.DeleteFunc(t.near, func(n neighbour) bool {
		return n.id == id || now.Sub(n.heard) > neighbourLife
	})
	if len(t.near) < maxNeighbours {
		t.near = append(t.near, neighbour{id: id, heard: now})
	}
}

// Requested answers a peer that asks for the document.
func (t *Tracker) Requested(_ time.Time, from instance.Ref, out *Output) {
	if t.current.Version > 0 {
		out.Deliveries = append(out.Deliveries, Delivery{To: from, Document: t.current})
	}
}

// Received takes in a peer's document. One that breaks the bounds is ignored.
func (t *Tracker) Received(now time.Time, d Document, out *Output) {
	t.heard = true
	if len(d.Faults()) > 0 {
		return
	}
	t.adopt(now, d, Near, out)
	t.Tick(now, out)
}

// Replied takes in the table's reply to one of the calls.
func (t *Tracker) Replied(now time.Time, r storage.Reply, out *Output) {
	i := slices.IndexFunc(t.polls, func(p poll) bool { return p.number == r.Number })
	if i >= 0 {
		t.slow = now.Sub(t.polls[i].sent) >= slowCall
		t.polls = slices.Delete(t.polls, i, i+1)
		if r.Fate == storage.Done && len(r.Rows) == 1 {
			t.learn(now, r.Rows[0], out)
		}
	}
	if len(t.pending) > 0 && t.pending[0].stage != resting && t.pending[0].number == r.Number {
		t.advance(now, t.pending[0], r, out)
	}
	t.Tick(now, out)
}

// learn takes in the table's row. A row behind the version in force comes from
// a stale replica and changes nothing.
func (t *Tracker) learn(now time.Time, row storage.Row, out *Output) (Document, error) {
	var d Document
	if row.Version > 0 {
		var err error
		if d, err = Decode(row.Value); err != nil {
			return Document{}, err
		}
	}
	t.read = true
	t.empty = d.Version == 0
	t.adopt(now, d, Near, out)
	return d, nil
}

// adopt puts d in force if it is newer.
func (t *Tracker) adopt(now time.Time, d Document, scope Scope, out *Output) {
	if d.Version < t.current.Version {
		return
	}
	t.confirm(now)
	if d.Version == t.current.Version {
		return
	}
	t.current = d
	t.fetchAt = time.Time{}
	out.InForce = true
	out.Announce = max(out.Announce, scope)
	out.Events = append(out.Events, event.Record{
		Kind:    event.ConfigurationInForce,
		Subject: fmt.Sprint(d.Version),
		Detail:  "change " + d.ChangeID,
	})
}

func (t *Tracker) confirm(now time.Time) {
	t.confirmed = now
	t.stale = false
}

// Tick makes the calls and requests that are due.
func (t *Tracker) Tick(now time.Time, out *Output) {
	t.poll(now, out)
	if !t.fetchAt.IsZero() && !t.fetchAt.After(now) {
		t.fetchAt = time.Time{}
		t.requested = now
		out.Requests = append(out.Requests, t.fetch)
	}
	t.tickChanges(now, out)
	t.settled = t.settled || now.Sub(t.started) >= t.cfg.Settle
	t.ready = t.ready || t.becomesReady(now)
	if !t.stale && now.Sub(t.confirmed) > t.cfg.StaleAfter {
		t.stale = true
		out.Events = append(out.Events, event.Record{
			Kind:    event.ConfigurationStale,
			Subject: fmt.Sprint(t.current.Version),
			Detail:  "not confirmed for " + now.Sub(t.confirmed).Round(time.Second).String(),
		})
	}
}

func (t *Tracker) poll(now time.Time, out *Output) {
	t.polls = slices.DeleteFunc(t.polls, func(p poll) bool { return now.Sub(p.sent) > t.cfg.CallTimeout })
	if t.nextPoll.After(now) {
		return
	}
	random := 1 - pollJitter + 2*pollJitter*t.rng.Float64()
	t.nextPoll = now.Add(time.Duration(random * float64(t.pollPeriod(now))))
	if len(t.polls) >= maxPolls {
		return
	}
	t.polls = append(t.polls, poll{number: t.call(out, storage.Call{Get: []string{t.cfg.Key}}), sent: now})
}

// pollPeriod is longer with more instances near, which tell each other what
// they read. A slow store is read as often as by one alone, so that the whole
// delay stays within bounds.
func (t *Tracker) pollPeriod(now time.Time) time.Duration {
	if t.slow || !t.ready {
		return t.cfg.PollEvery
	}
	n := 1
	for _, peer := range t.near {
		if now.Sub(peer.heard) <= neighbourLife {
			n++
		}
	}
	return t.cfg.PollEvery * time.Duration(min(max(n/2, 1), maxPollFactor))
}

// call numbers c, appends it and returns its number.
func (t *Tracker) call(out *Output, c storage.Call) uint64 {
	t.lastCall++
	c.Number = t.lastCall
	out.Calls = append(out.Calls, c)
	return c.Number
}

// becomesReady reports whether a new instance knows enough to serve: a version
// that is not behind what a peer spoke of, from both the table and a peer or,
// after the settling time, from one of them.
func (t *Tracker) becomesReady(now time.Time) bool {
	if t.current.Version == 0 && !t.empty {
		return false
	}
	if t.offered > t.current.Version && now.Sub(t.offeredAt) < offerLife {
		return false
	}
	return t.read && t.heard || t.settled
}
