package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// returnGracePeriod is how long after the store's recovery an entry that
// expired during the outage can still reappear. The platform specifies two
// seconds.
const returnGracePeriod = 2 * time.Second

// coldTolerance is the difference between two times until which an endpoint is
// cold that counts as none. The platform reports the time that is left, which
// has the age of the entry as its error.
const coldTolerance = time.Second

// Listing is the platform's list of endpoints, updated change by change. During
// an outage the store drops entries of healthy endpoints, so a removal takes
// effect only after the store has been back for returnGracePeriod.
type Listing struct {
	entries map[string]Info
	// removals maps the ID of each missing entry to the earliest time at which
	// its removal takes effect. A further outage delays it.
	removals map[string]time.Time
	// storeBackAt is when the store last recovered. storeUnreachable means that
	// it does not answer.
	storeBackAt      time.Time
	storeUnreachable bool
}

// NewListing returns an empty list.
func NewListing() *Listing {
	return &Listing{entries: map[string]Info{}, removals: map[string]time.Time{}}
}

// Put adds or updates an entry and reports whether the list changed.
func (l *Listing) Put(info Info) bool {
	delete(l.removals, info.ID)
	old, ok := l.entries[info.ID]
	if ok && sameColdTime(old, info) {
		info.ColdUntil = old.ColdUntil // small differences don't add up
	}
	l.entries[info.ID] = info
	return !ok || !equalInfo(old, info)
}

func equalInfo(a, b Info) bool {
	return a.Address == b.Address && a.DataCentre == b.DataCentre && a.Rack == b.Rack && a.Slots == b.Slots &&
		a.Size == b.Size && a.Draining == b.Draining && a.Service == b.Service && a.StartedAt.Equal(b.StartedAt) && slices.Equal(a.Labels, b.Labels) && sameColdTime(a, b)
}

// sameColdTime reports whether two entries differ in their cold times by no more
// than the error of the readings.
func sameColdTime(a, b Info) bool {
	if a.ColdUntil.IsZero() || b.ColdUntil.IsZero() {
		return a.ColdUntil.IsZero() && b.ColdUntil.IsZero()
	}
	return a.ColdUntil.Sub(b.ColdUntil).Abs() <= coldTolerance
}

// Remove records that the store no longer has the entry. It reports whether this
// is new.
func (l *Listing) Remove(now time.Time, id string) bool {
	if _, ok := l.entries[id]; !ok {
		return false
	}
	if _, ok := l.removals[id]; ok {
		return false
	}
	l.removals[id] = later(now, l.storeBackAt.Add(returnGracePeriod))
	return true
}

// Replace handles the complete list as read from the store.
func (l *Listing) Replace(now time.Time, infos []Info) {
	present := map[string]bool{}
	for _, i := range infos {
		present[i.ID] = true
		l.Put(i)
	}
	for id := range l.entries {
		if !present[id] {
			l.Remove(now, id)
		}
	}
}

// SetStoreUnreachable records that the store does not answer.
func (l *Listing) SetStoreUnreachable() { l.storeUnreachable = true }

// SetStoreReachable records that the store answers, which starts the grace
// period if it did not answer before.
func (l *Listing) SetStoreReachable(now time.Time) {
	if l.storeUnreachable {
		l.storeUnreachable, l.storeBackAt = false, now
	}
}

// Expire drops the entries whose removal has taken effect by now and reports
// whether there were any.
func (l *Listing) Expire(now time.Time) bool {
	if l.storeUnreachable {
		return false
	}
	dropped := false
	for id, at := range l.removals {
		if !now.Before(later(at, l.storeBackAt.Add(returnGracePeriod))) {
			delete(l.removals, id)
			delete(l.entries, id)
			dropped = true
		}
	}
	return dropped
}

// stable reports whether the store has been back for long enough that removals
// take effect at once, and no removal is pending.
func (l *Listing) stable(now time.Time) bool {
	return !l.storeUnreachable && now.Sub(l.storeBackAt) >= returnGracePeriod && len(l.removals) == 0
}

// Infos returns the entries in the order of their IDs.
func (l *Listing) Infos() []Info {
	return slices.SortedFunc(maps.Values(l.entries), func(a, b Info) int { return cmp.Compare(a.ID, b.ID) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
