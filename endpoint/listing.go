package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// returnTime is how long after the store's return an entry that expired while
// it was away may still come back; the platform says two seconds.
const returnTime = 2 * time.Second

// Listing is the platform's list of endpoints as its changes come in. The
// store removes entries of sound endpoints while it is away, so a removal
// counts only once the store has been back for a while.
type Listing struct {
	entries map[string]Info
	// missing holds when the removal of an entry counts.
	missing map[string]time.Time
	// backAt is when the store came back last; lost tells that it is away.
	backAt time.Time
	lost   bool
}

// NewListing returns an empty list.
func NewListing() *Listing {
	return &Listing{entries: map[string]Info{}, missing: map[string]time.Time{}}
}

// Put takes an entry in and reports whether that changed the list.
func (l *Listing) Put(info Info) bool {
	delete(l.missing, info.ID)
	old, ok := l.entries[info.ID]
	l.entries[info.ID] = info
	return !ok || !same(old, info)
}

func same(a, b Info) bool {
	return a.Address == b.Address && a.DataCentre == b.DataCentre && a.Rack == b.Rack && a.Slots == b.Slots &&
		a.Size == b.Size && a.Leaving == b.Leaving && a.Service == b.Service && a.Born.Equal(b.Born) && slices.Equal(a.Labels, b.Labels)
}

// Remove takes in that the store does not have an entry.
func (l *Listing) Remove(now time.Time, id string) {
	if _, ok := l.entries[id]; !ok {
		return
	}
	if _, ok := l.missing[id]; ok {
		return
	}
	l.missing[id] = later(now, l.backAt.Add(returnTime))
}

// Replace takes in the whole list as the store has it.
func (l *Listing) Replace(now time.Time, infos []Info) {
	have := map[string]bool{}
	for _, i := range infos {
		have[i.ID] = true
		l.Put(i)
	}
	for id := range l.entries {
		if !have[id] {
			l.Remove(now, id)
		}
	}
}

// StoreLost takes in that the store does not answer.
func (l *Listing) StoreLost() { l.lost = true }

// StoreBack takes in that the store answers.
func (l *Listing) StoreBack(now time.Time) {
	if l.lost {
		l.lost, l.backAt = false, now
	}
}

// Expire drops the entries whose removal counts by now, and reports whether
// there were any.
func (l *Listing) Expire(now time.Time) bool {
	if l.lost {
		return false
	}
	dropped := false
	for id, at := range l.missing {
		if !now.Before(later(at, l.backAt.Add(returnTime))) {
			delete(l.missing, id)
			delete(l.entries, id)
			dropped = true
		}
	}
	return dropped
}

// settled reports whether the store has been back for so long that removals
// count at once.
func (l *Listing) settled(now time.Time) bool {
	return !l.lost && now.Sub(l.backAt) >= returnTime && len(l.missing) == 0
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
