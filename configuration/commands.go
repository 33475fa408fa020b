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
	// maxPolls is the maximum number of concurrent reads of the table.
	maxPolls = 4
	// maxPollFactor is the largest factor by which the instances of a data
	// centre lengthen their poll period. They share the reads.
	maxPollFactor = 4
	// pollJitter is the largest random change of the poll period, as a share of
	// it.
	pollJitter = 0.25
	// slowCall is the duration from which a call marks the store as slow.
	slowCall = time.Second
	// neighbourTTL is how long an instance counts as a neighbour after its last
	// heartbeat.
	neighbourTTL = 5 * time.Second
	// maxNeighbours bounds the number of neighbours that are counted.
	maxNeighbours = 2 * maxPollFactor
	// requestRetryDelay is how long a peer has to answer a request for the
	// document before the next request is scheduled.
	requestRetryDelay = 500 * time.Millisecond
	// offerTTL is how long a version that a peer has offered but no peer has
	// delivered keeps a new instance from becoming ready.
	offerTTL = 30 * time.Second
)

// HandleVersion handles a peer's heartbeat, which carries the version in force
// at the peer.
func (t *Tracker) HandleVersion(now time.Time, from instance.Ref, version uint64, out *Output) {
	t.peerContacted = true
	near := from.DataCentre == t.cfg.Self.DataCentre
	if near {
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
		t.scheduleFetch(now, from, near)
	}
	t.Tick(now, out)
}

// scheduleFetch schedules a request for the document: to a near peer at once,
// to a far one after a random wait. Thus few instances of a data centre request
// it from far away, and the others request it from those few.
func (t *Tracker) scheduleFetch(now time.Time, from instance.Ref, near bool) {
	if now.Sub(t.lastRequest) < requestRetryDelay {
		return
	}
	if near {
		t.fetchFrom, t.fetchAt = from, now
		return
	}
	if t.fetchAt.IsZero() {
		t.fetchFrom = from
		t.fetchAt = now.Add(time.Duration(t.rng.Float64() * float64(t.cfg.FarDelay)))
	}
}

func (t *Tracker) countNeighbour(now time.Time, id string) {
	t.neighbours = slices.DeleteFunc(t.neighbours, func(n neighbour) bool {
		return n.id == id || now.Sub(n.lastHeartbeat) > neighbourTTL
	})
	if len(t.neighbours) < maxNeighbours {
		t.neighbours = append(t.neighbours, neighbour{id: id, lastHeartbeat: now})
	}
}

// HandleRequest handles a peer's request for the document.
func (t *Tracker) HandleRequest(_ time.Time, from instance.Ref, out *Output) {
	if t.current.Version > 0 {
		out.Deliveries = append(out.Deliveries, Delivery{To: from, Document: t.current})
	}
}

// HandleDocument handles a document from a peer. It ignores an invalid
// document.
func (t *Tracker) HandleDocument(now time.Time, d Document, out *Output) {
	t.peerContacted = true
	if len(d.Faults()) > 0 {
		return
	}
	t.adopt(now, d, Near, out)
	t.Tick(now, out)
}

// HandleReply handles the table's reply to one of the calls.
func (t *Tracker) HandleReply(now time.Time, r storage.Reply, out *Output) {
	i := slices.IndexFunc(t.polls, func(p poll) bool { return p.number == r.Number })
	if i >= 0 {
		t.slow = now.Sub(t.polls[i].sentAt) >= slowCall
		t.polls = slices.Delete(t.polls, i, i+1)
		if r.Outcome == storage.Done && len(r.Rows) == 1 {
			t.handleRow(now, r.Rows[0], out)
		}
	}
	if len(t.pending) > 0 && t.pending[0].stage != waiting && t.pending[0].number == r.Number {
		t.handleReply(now, t.pending[0], r, out)
	}
	t.Tick(now, out)
}

// handleRow handles the table's row and returns its document. A row older than
// the version in force comes from a stale replica and changes nothing. It is an
// error if the row does not hold a valid document.
func (t *Tracker) handleRow(now time.Time, row storage.Row, out *Output) (Document, error) {
	var d Document
	if row.Version > 0 {
		var err error
		if d, err = Decode(row.Value); err != nil {
			return Document{}, err
		}
	}
	t.tableRead = true
	t.tableEmpty = d.Version == 0
	t.adopt(now, d, Near, out)
	return d, nil
}

// adopt confirms d if it is the version in force, and puts it in force if it is
// newer. It ignores an older version.
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
	out.NewVersion = true
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
		t.lastRequest = now
		out.Requests = append(out.Requests, t.fetchFrom)
	}
	t.advanceChanges(now, out)
	t.startupWaitOver = t.startupWaitOver || now.Sub(t.started) >= t.cfg.StartupWait
	t.ready = t.ready || t.startupComplete(now)
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
	t.polls = slices.DeleteFunc(t.polls, func(p poll) bool { return now.Sub(p.sentAt) > t.cfg.CallTimeout })
	if t.nextPoll.After(now) {
		return
	}
	random := 1 - pollJitter + 2*pollJitter*t.rng.Float64()
	t.nextPoll = now.Add(time.Duration(random * float64(t.pollPeriod(now))))
	if len(t.polls) >= maxPolls {
		return
	}
	t.polls = append(t.polls, poll{number: t.call(out, storage.Call{Get: []string{t.cfg.Key}}), sentAt: now})
}

// pollPeriod returns the mean time between reads of the table. It grows with
// the number of near instances, because they pass on what they read. While the
// store is slow or the instance is not ready, the period is that of a single
// instance, so that the total delay stays bounded.
func (t *Tracker) pollPeriod(now time.Time) time.Duration {
	if t.slow || !t.ready {
		return t.cfg.PollEvery
	}
	n := 1
	for _, peer := range t.neighbours {
		if now.Sub(peer.lastHeartbeat) <= neighbourTTL {
			n++
		}
	}
	return t.cfg.PollEvery * time.Duration(min(max(n/2, 1), maxPollFactor))
}

// call assigns a number to c, appends c to the calls and returns the number.
func (t *Tracker) call(out *Output, c storage.Call) uint64 {
	t.lastCall++
	c.Number = t.lastCall
	out.Calls = append(out.Calls, c)
	return c.Number
}

// startupComplete reports whether a new instance knows enough to serve. It
// needs a version that is not older than any that a peer offered recently, or
// an empty table. Both the table and a peer must have answered, or one of them
// after the startup wait.
func (t *Tracker) startupComplete(now time.Time) bool {
	if t.current.Version == 0 && !t.tableEmpty {
		return false
	}
	if t.offered > t.current.Version && now.Sub(t.offeredAt) < offerTTL {
		return false
	}
	return t.tableRead && t.peerContacted || t.startupWaitOver
}
