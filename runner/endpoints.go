package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// endpointsPeriod is the period at which the list of endpoints is read. A
	// draining endpoint must get no new runs after two seconds.
	endpointsPeriod = 600 * time.Millisecond
	// maxQueuedListChanges is the maximum number of queued changes from peers. It
	// is enough for several periods of all instances that read the list. Changes
	// that do not fit are dropped and read from the store later.
	maxQueuedListChanges = 32
)

// followEndpoints keeps the list of endpoints up to date until the context ends.
// A few instances of a data centre read it from the store and send its changes to
// the others.
func (r *Runner) followEndpoints() {
	f := endpoint.NewFollower()
	for r.ctx.Err() == nil {
		period := endpointsPeriod
		if f.Due(time.Now(), r.view.Load().ReaderRank) && !r.readEndpoints(f) {
			period = storeBackoff
		}
		r.handleListChanges(f, period)
	}
}

// readEndpoints reads changes of the list from the store and sends them to the
// peers in the local data centre. It reports whether the store answered.
func (r *Runner) readEndpoints(f *endpoint.Follower) bool {
	change, err := r.Store.Endpoints(r.ctx, f.Cursor())
	now := time.Now()
	r.recordRead(&r.listReads, "store", "the lists in use stay", err)
	if err != nil {
		f.HandleStoreUnreachable()
		return false
	}
	for _, err := range change.InvalidEntries {
		r.Record(now, event.Record{Kind: event.StoreRowInvalid, Subject: "endpoint", Detail: err.Error()})
	}
	update, ok, changed := f.HandleStoreChange(now, change.Change)
	if ok {
		r.broadcastListChange(update)
	}
	if changed {
		r.setStoreEndpoints(f.Infos())
	}
	return true
}

// broadcastListChange sends a change of the list to the peers in the local data
// centre.
func (r *Runner) broadcastListChange(c endpoint.Change) {
	body := message.ListChange{After: c.After, Cursor: c.Cursor, Put: toListedEndpoints(time.Now(), c.Put), Removed: c.Removed}
	for _, ref := range r.view.Load().LocalPeers {
		r.send(ref, body)
	}
}

// queueListChange queues a change that a peer has read, for handleListChanges.
func (r *Runner) queueListChange(c message.ListChange) {
	select {
	case r.listChanges <- endpoint.Change{After: c.After, Cursor: c.Cursor, Put: fromListedEndpoints(time.Now(), c.Put), Removed: c.Removed}:
	default: // dropped; the change can be read from the store
	}
}

// handleListChanges handles the changes that peers send during one period.
func (r *Runner) handleListChanges(f *endpoint.Follower, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-timer.C:
			return
		case c := <-r.listChanges:
			if f.HandlePeerChange(time.Now(), c) {
				r.setStoreEndpoints(f.Infos())
			}
		}
	}
}
