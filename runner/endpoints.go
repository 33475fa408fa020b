package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// endpointsPeriod is how often the list of endpoints is read: a leaving
	// one must get nothing new after two seconds.
	endpointsPeriod = 600 * time.Millisecond
	// maxListChanges bounds what peers have told and is not taken in yet: some
	// periods of all that read. What is lost is read at the store.
	maxListChanges = 32
)

// followEndpoints keeps the list of endpoints. A few instances of a data centre
// read it and tell the others.
func (r *Runner) followEndpoints() {
	f := endpoint.NewFollower()
	for r.ctx.Err() == nil {
		period := endpointsPeriod
		if f.Due(time.Now(), r.view.Load().ReaderRank) && !r.readEndpoints(f) {
			period = storePause
		}
		r.hearEndpoints(f, period)
	}
}

// readEndpoints reads what has changed in the store, and tells the peers of the
// own data centre. It reports false if the store does not answer.
func (r *Runner) readEndpoints(f *endpoint.Follower) bool {
	change, err := r.Store.Endpoints(r.ctx, f.Cursor())
	now := time.Now()
	r.noteStore(now, err)
	if err != nil {
		f.HandleStoreLost()
		return false
	}
	for _, err := range change.Unreadable {
		r.Record(now, event.Record{Kind: event.EntryUnreadable, Subject: "endpoint", Detail: err.Error()})
	}
	news, ok, changed := f.HandleStoreChange(now, change.Change)
	if ok {
		r.tellListChange(news)
	}
	if changed {
		r.useStoreEndpoints(f.Infos())
	}
	return true
}

func (r *Runner) tellListChange(c endpoint.Change) {
	body := message.ListChange{After: c.After, Cursor: c.Cursor, Put: listedOf(c.Put), Removed: c.Removed}
	for _, ref := range r.view.Load().LocalPeers {
		r.send(ref, body)
	}
}

// noteListChange keeps what a peer has read for the loop that follows the list.
func (r *Runner) noteListChange(c message.ListChange) {
	select {
	case r.listChanges <- endpoint.Change{After: c.After, Cursor: c.Cursor, Put: infosOf(c.Put), Removed: c.Removed}:
	default: // the store has it too
	}
}

// hearEndpoints takes in what peers tell until a period is over.
func (r *Runner) hearEndpoints(f *endpoint.Follower, period time.Duration) {
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
				r.useStoreEndpoints(f.Infos())
			}
		}
	}
}
