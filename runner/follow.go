package runner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/pool"
	"github.com/lovagecrank/lovagecrank/route"
)

const (
	// routesWait is how long the store may wait for a change of the
	// configuration. A connection may go silent, and a change must be in
	// force within two seconds.
	routesWait = 800 * time.Millisecond
	// firstPeriod is how often the configuration is asked for until there is one.
	firstPeriod = 100 * time.Millisecond
	// instancesPeriod is how often the list of instances is read, and
	// gatherPeriod the same in the first gatherFor of a new instance.
	instancesPeriod = 2 * time.Second
	gatherPeriod    = 250 * time.Millisecond
	gatherFor       = 1500 * time.Millisecond
	// announcePeriod is how often an instance announces itself, and staleTime
	// how long after its last announcement it counts as gone. dropTime is how
	// long its entry is kept.
	announcePeriod = 10 * time.Second
	staleTime      = 35 * time.Second
	dropTime       = 2 * time.Minute
	// askAgain is how long a peer that was asked for a configuration may take
	// before another one is asked: many times the way there and back, and far
	// less than the bound within which a change must be in force.
	askAgain = 200 * time.Millisecond
	// storePause is the pause after a call to the store that failed.
	storePause = 300 * time.Millisecond
)

// followRoutes brings versions of the configuration into force.
func (r *Runner) followRoutes() {
	cursor := uint64(0)
	for r.ctx.Err() == nil {
		change, err := r.Store.Routes(r.ctx, cursor, routesWait)
		if err != nil {
			r.pause(storePause)
			continue
		}
		cursor = change.Cursor
		if change.Document != nil {
			r.learnRoutes(change.Document)
		} else if r.routes.Load() == nil {
			r.pause(firstPeriod)
		}
	}
}

// learnRoutes brings a configuration into force if it is newer than the one in
// force, whoever brought it.
func (r *Runner) learnRoutes(document []byte) {
	d, err := r.DecodeRoutes(document)
	if err != nil {
		r.Record(time.Now(), event.Record{Kind: event.EntryUnreadable, Subject: "configuration", Detail: err.Error()})
		return
	}
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) {
		if d.Version <= r.routes.Load().Version() {
			return
		}
		r.routes.Store(route.NewTable(d))
		r.document.Store(&document)
		m.SetVersion(now, d.Version, out)
		out.Events = append(out.Events, event.Record{Kind: event.ConfigurationInForce, Subject: version(d.Version)})
	})
}

// followInstances keeps the list of instances and announces this one.
func (r *Runner) followInstances() {
	begun := time.Now()
	seen := map[string]sighting{}
	var announced time.Time
	for r.ctx.Err() == nil {
		now := time.Now()
		if now.Sub(announced) >= announcePeriod && !r.stopping.Load() && r.Store.Announce(r.ctx, r.cfg.Self) == nil {
			announced = now
		}
		list, err := r.Store.Instances(r.ctx)
		r.noteStore(time.Now(), err)
		if err == nil {
			r.setInstances(time.Now(), list, seen)
		}
		period := instancesPeriod
		if now.Sub(begun) < gatherFor || err != nil {
			period = gatherPeriod
		}
		r.pause(period/2 + rand.N(period))
	}
}

// noteStore writes a line when the store stops or begins to answer.
func (r *Runner) noteStore(now time.Time, err error) {
	switch {
	case r.ctx.Err() != nil:
	case err == nil && r.storeLost.Swap(false):
		r.Record(now, event.Record{Kind: event.StoreUp, Subject: "store"})
	case err != nil && !r.storeLost.Swap(true):
		r.Record(now, event.Record{Kind: event.StoreDown, Subject: "store", Detail: err.Error()})
	}
}

// sighting is when an announcement was first seen here.
type sighting struct {
	version uint64
	at      time.Time
}

func (r *Runner) setInstances(now time.Time, list []Listed, seen map[string]sighting) {
	infos := make([]instance.Info, 0, len(list))
	for _, l := range list {
		s, ok := seen[l.Info.ID]
		if !ok || s.version != l.Version {
			s = sighting{l.Version, now}
			seen[l.Info.ID] = s
		}
		if l.Info.ID == r.cfg.Self.ID {
			continue
		}
		switch age := now.Sub(s.at); {
		case age > dropTime:
			r.forget(l)
		case age <= staleTime:
			infos = append(infos, l.Info)
		}
	}
	r.useInstances(infos)
}

func (r *Runner) forget(l Listed) {
	if err := r.Store.Forget(r.ctx, l); err != nil && r.ctx.Err() == nil {
		r.Record(time.Now(), event.Record{Kind: event.StoreDown, Subject: l.Info.ID, Detail: "its stale entry could not be removed: " + err.Error()})
	}
}

// pause waits, or returns at the context's end.
func (r *Runner) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// share passes on what the store told, and asks for it where a peer knows more.
func (r *Runner) share(m message.Message) {
	switch b := m.Body.(type) {
	case message.Standing:
		r.askRoutes(time.Now(), m.From, b.Version)
	case message.RoutesRequest:
		if document := r.document.Load(); document != nil {
			r.send(m.From, message.Routes{Document: *document})
		}
	case message.Routes:
		r.learnRoutes(b.Document)
	case message.ListChange:
		r.noteListChange(b)
	case message.ListsRequest:
		if lists := r.ownLists(); len(lists.Endpoints) > 0 {
			lists.Instances = append(slices.Clone(lists.Instances), r.cfg.Self)
			r.send(m.From, lists)
		}
	case message.Lists:
		r.learnLists(b)
	}
}

// askRoutes asks a peer for the configuration that it has in force, if that is
// newer and no other peer has just been asked for it: all tell of a change at
// once, and the store does too.
func (r *Runner) askRoutes(now time.Time, peer instance.Ref, version uint64) {
	r.askMu.Lock()
	defer r.askMu.Unlock()
	if version <= r.routes.Load().Version() || version <= r.asked && now.Sub(r.askedAt) < askAgain {
		return
	}
	r.asked, r.askedAt = version, now
	r.send(peer, message.RoutesRequest{})
}
