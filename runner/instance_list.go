package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
)

type (
	// instanceList is this instance's copy of the announcements in the store.
	instanceList struct {
		// cursor is the position up to which changes have been read.
		cursor        uint64
		announcements map[string]announcement
	}

	// announcement is an instance's last announcement, with the local time at
	// which it was first seen.
	announcement struct {
		ListedInstance
		firstSeen time.Time
	}
)

func newInstanceList() *instanceList {
	return &instanceList{announcements: map[string]announcement{}}
}

// apply updates the list with a change read from the store.
func (l *instanceList) apply(now time.Time, c InstancesChange) {
	l.cursor = c.Cursor
	if c.Full {
		l.retain(c.Put)
	}
	for _, i := range c.Put {
		if a, ok := l.announcements[i.Info.ID]; !ok || a.Version != i.Version {
			l.announcements[i.Info.ID] = announcement{i, now}
		}
	}
	for _, id := range c.Removed {
		delete(l.announcements, id)
	}
}

// retain removes the announcements of instances that are not in the list.
func (l *instanceList) retain(list []ListedInstance) {
	present := make(map[string]bool, len(list))
	for _, i := range list {
		present[i.Info.ID] = true
	}
	for id := range l.announcements {
		if !present[id] {
			delete(l.announcements, id)
		}
	}
}

// recent returns the instances other than self with a recent announcement, in
// the order of their IDs, and the entries to be removed from the store.
func (l *instanceList) recent(now time.Time, self string) (infos []instance.Info, expired []ListedInstance) {
	period := float64(l.announcePeriod())
	for id, a := range l.announcements {
		if id == self {
			continue
		}
		switch age := float64(now.Sub(a.firstSeen)); {
		case age > removeFactor*period:
			expired = append(expired, a.ListedInstance)
		case age <= staleFactor*period:
			infos = append(infos, a.Info)
		}
	}
	slices.SortFunc(infos, func(a, b instance.Info) int { return cmp.Compare(a.ID, b.ID) })
	return infos, expired
}

// announcePeriod returns the period at which each instance announces itself.
func (l *instanceList) announcePeriod() time.Duration {
	return max(minAnnouncePeriod, time.Duration(len(l.announcements))*announceInterval)
}
