package runner

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/pool"
	"github.com/lovagecrank/lovagecrank/route"
)

const (
	// configurationWait is how long the store may wait for a change of the
	// configuration before it replies. It is short because a connection may stop
	// responding, and a change must be in force within two seconds.
	configurationWait = 800 * time.Millisecond
	// initialConfigurationPeriod is the period at which the configuration is read
	// until there is one.
	initialConfigurationPeriod = 100 * time.Millisecond
	// instancesPeriod is the average period at which the list of instances is
	// read. It is startupInstancesPeriod during the first startupTime of an
	// instance and after errors.
	instancesPeriod        = 2 * time.Second
	startupInstancesPeriod = 150 * time.Millisecond
	startupTime            = 1500 * time.Millisecond
	// minAnnouncePeriod is the minimum period at which an instance announces
	// itself in the store. With many instances the period is announceInterval
	// times their number, so that the announcements that each of them reads do
	// not grow with their number.
	minAnnouncePeriod = 10 * time.Second
	announceInterval  = 200 * time.Millisecond
	// staleFactor and removeFactor are the numbers of announce periods after
	// which an entry without a new announcement is ignored and removed.
	staleFactor  = 3.5
	removeFactor = 12
	// storeBackoff is the pause after a failed call to the store.
	storeBackoff = 300 * time.Millisecond
)

// followConfiguration reads new versions of the configuration, and the requests to
// evacuate data centres, from the store and applies them until the context ends.
func (r *Runner) followConfiguration() {
	cursor, evacuated := uint64(0), evacuationList{}
	for r.ctx.Err() == nil {
		change, err := r.Store.Configuration(r.ctx, cursor, configurationWait)
		r.recordRead(&r.configurationReads, "configuration", "version "+formatVersion(r.routes.Load().Version())+" stays in force", err)
		if err != nil {
			r.sleep(storeBackoff)
			continue
		}
		cursor = change.Cursor
		r.applyEvacuations(evacuated, change)
		if change.Encoded != nil {
			r.applyConfiguration("the store", change.Encoded)
		} else if r.routes.Load() == nil {
			r.sleep(initialConfigurationPeriod)
		}
	}
}

// applyConfiguration puts a configuration from the store or a peer into force if
// it is newer than the one in force. The source is for the log.
func (r *Runner) applyConfiguration(source string, encoded []byte) {
	if known := r.encodedConfiguration.Load(); known != nil && bytes.Equal(*known, encoded) {
		return // it was also read from the store, or sent by a peer
	}
	d, err := r.DecodeConfiguration(encoded)
	if err != nil {
		r.Record(time.Now(), event.Record{Kind: event.StoreRowInvalid, Subject: "configuration", Detail: "from " + source + ": " + err.Error()})
		return
	}
	table := route.NewTable(d)
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) {
		previous := r.routes.Load().Version()
		if d.Version <= previous {
			return
		}
		r.routes.Store(table)
		r.encodedConfiguration.Store(&encoded)
		m.SetConfiguration(now, d.Version, d.UnguardedServices, out)
		out.Events = append(out.Events, event.Record{Kind: event.ConfigurationInForce, Subject: formatVersion(d.Version), Detail: fmt.Sprintf("%d queues from %s, replaces version %d", len(d.Queues), source, previous)})
	})
}

// followInstances keeps the list of instances up to date and announces this one
// until the context ends.
func (r *Runner) followInstances() {
	startedAt := time.Now()
	list := newInstanceList()
	var lastAnnounced time.Time
	for r.ctx.Err() == nil {
		now := time.Now()
		if now.Sub(lastAnnounced) >= list.announcePeriod() && !r.stopping.Load() && r.Store.Announce(r.ctx, r.cfg.Self) == nil {
			lastAnnounced = now
		}
		change, err := r.Store.Instances(r.ctx, list.cursor)
		r.recordRead(&r.listReads, "store", "the lists in use stay", err)
		if err == nil {
			list.apply(time.Now(), change)
			r.updateInstances(time.Now(), list)
		}
		period := instancesPeriod
		if now.Sub(startedAt) < startupTime || err != nil {
			period = startupInstancesPeriod
		}
		r.sleep(period/2 + rand.N(period))
	}
}

// updateInstances sets the instances in use to those with a recent announcement
// if they have changed, and removes old entries from the store.
func (r *Runner) updateInstances(now time.Time, list *instanceList) {
	infos, expired := list.recent(now, r.cfg.Self.ID)
	for _, l := range expired {
		r.removeStale(l)
	}
	if current := r.currentLists().Instances; current == nil || !slices.Equal(infos, current) {
		r.setInstances(infos)
	}
}

// removeStale removes the entry of an instance that no longer announces itself.
func (r *Runner) removeStale(l ListedInstance) {
	if err := r.Store.RemoveInstance(r.ctx, l); err != nil && r.ctx.Err() == nil {
		r.Record(time.Now(), event.Record{Kind: event.StoreUnreachable, Subject: l.Info.ID, Detail: "the instance's stale entry could not be removed from the store: " + err.Error()})
	}
}

// sleep returns after d or when the context ends.
func (r *Runner) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// handleMessage handles messages that carry the configuration or the lists, which
// instances copy from each other.
func (r *Runner) handleMessage(m message.Message) {
	switch b := m.Body.(type) {
	case message.Status:
		r.reportConfiguration(m.From, b.Version)
	case message.PlatformConfigurationRequest:
		if encoded := r.encodedConfiguration.Load(); encoded != nil {
			r.send(m.From, message.PlatformConfiguration{Document: *encoded})
		}
	case message.PlatformConfiguration:
		r.applyConfiguration("peer "+m.From.ID, b.Document)
	case message.ListChange:
		r.queueListChange(b)
	case message.ListsRequest:
		if lists := r.currentLists(); len(lists.Endpoints) > 0 {
			lists.Instances = append(slices.Clone(lists.Instances), r.cfg.Self)
			r.send(m.From, lists)
		}
	case message.Lists:
		r.handleLists(b)
	}
}
