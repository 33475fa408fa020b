package endpoint

import (
	"maps"
	"slices"
	"time"
)

const (
	// readers is how many instances of a data centre read the list on behalf of
	// all: one, and a second in case the first is lost.
	readers = 2
	// peerUpdateTimeout is the time without an update from the readers after
	// which an instance reads the store itself: a little more than two read
	// periods of 600 ms. It is short because a draining endpoint must get no new
	// work after two seconds.
	peerUpdateTimeout = 1300 * time.Millisecond
	// repeatPeriod is how long updates to peers repeat a change. An update has
	// only what changed in the list of its sender, which a peer may have missed
	// if its own cursor comes from another reader.
	repeatPeriod = 2500 * time.Millisecond
)

type (
	// Change holds the changes of the platform's list between two cursors.
	Change struct {
		After, Cursor uint64
		// Full means that Put is the complete list.
		Full bool
		Put  []Info
		// Newer holds the IDs of the entries of a complete list that may have
		// changed after Cursor, since a long list is read in pages.
		Newer []string
		// Removed holds the IDs of the removed entries.
		Removed []string
	}

	// Follower maintains the platform's list from reads of the store and
	// updates from peers. If every instance followed every entry itself, the
	// reads would grow with instances times endpoints. Instead, a few instances
	// read the store and pass the changes on.
	Follower struct {
		list   *Listing
		cursor uint64
		// lastPeerUpdate is when a peer last sent a change that follows on from
		// the known list.
		lastPeerUpdate time.Time
		// changedAt and removedAt are when entries changed or were removed, by
		// ID, as far as updates still repeat them; see repeatPeriod.
		changedAt, removedAt map[string]time.Time
	}
)

// NewFollower returns a follower with an empty list.
func NewFollower() *Follower {
	return &Follower{list: NewListing(), changedAt: map[string]time.Time{}, removedAt: map[string]time.Time{}}
}

// Cursor returns the store's cursor up to which the list is known; zero before
// the first read.
func (f *Follower) Cursor() uint64 { return f.cursor }

// Infos returns the entries in the order of their IDs.
func (f *Follower) Infos() []Info { return f.list.Infos() }

// Due reports whether this instance should read the store now. before is the
// number of instances of its data centre that precede it in the order of
// readers.
func (f *Follower) Due(now time.Time, before int) bool {
	return f.cursor == 0 || before < readers || now.Sub(f.lastPeerUpdate) > peerUpdateTimeout
}

// HandleStoreChange handles a change read from the store. It returns the update
// to send to peers, whether to send it, and whether the list changed.
func (f *Follower) HandleStoreChange(now time.Time, c Change) (update Change, ok, changed bool) {
	f.list.SetStoreReachable(now)
	update = Change{After: f.cursor, Cursor: c.Cursor}
	ok = !c.Full && f.list.stable(now)
	if c.Full {
		f.list.Replace(now, c.Put)
		for _, id := range c.Newer {
			f.changedAt[id] = now
		}
		changed = true
	} else {
		changed = f.put(now, c.Put)
	}
	f.cursor = c.Cursor
	changed = f.remove(now, c.Removed) || changed
	update.Put, update.Removed = f.recentChanges(now)
	return update, ok, changed
}

// forgetOldChanges forgets the changes that updates no longer repeat.
func (f *Follower) forgetOldChanges(now time.Time) {
	old := func(_ string, at time.Time) bool { return now.Sub(at) > repeatPeriod }
	maps.DeleteFunc(f.changedAt, old)
	maps.DeleteFunc(f.removedAt, old)
}

// recentChanges returns the entries that changed and the IDs of those that were
// removed within repeatPeriod, in the order of their IDs.
func (f *Follower) recentChanges(now time.Time) (put []Info, removed []string) {
	f.forgetOldChanges(now)
	for _, id := range slices.Sorted(maps.Keys(f.changedAt)) {
		if info, ok := f.list.entries[id]; ok {
			put = append(put, info)
		}
	}
	return put, slices.Sorted(maps.Keys(f.removedAt))
}

// HandlePeerChange handles a change that a peer has read and reports whether
// the list changed. A change that leaves a gap after the current cursor is
// ignored; a read of the store then fills the gap.
func (f *Follower) HandlePeerChange(now time.Time, c Change) (changed bool) {
	if f.cursor == 0 || c.After > f.cursor || c.Full || f.list.storeUnreachable {
		return false
	}
	f.lastPeerUpdate = now
	if c.Cursor <= f.cursor {
		return false
	}
	f.forgetOldChanges(now)
	changed = f.put(now, c.Put)
	f.cursor = c.Cursor
	return f.remove(now, c.Removed) || changed
}

// HandleStoreUnreachable records that the store does not answer.
func (f *Follower) HandleStoreUnreachable() { f.list.SetStoreUnreachable() }

// put updates entries and reports whether any of them changed.
func (f *Follower) put(now time.Time, infos []Info) (changed bool) {
	for _, i := range infos {
		if f.list.Put(i) {
			f.changedAt[i.ID] = now
			delete(f.removedAt, i.ID)
			changed = true
		}
	}
	return changed
}

// remove removes entries and reports whether the removal of any entry took
// effect.
func (f *Follower) remove(now time.Time, removed []string) (changed bool) {
	for _, id := range removed {
		if f.list.Remove(now, id) {
			f.removedAt[id] = now
			delete(f.changedAt, id)
		}
	}
	return f.list.Expire(now)
}
