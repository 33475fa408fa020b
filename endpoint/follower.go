package endpoint

import "time"

const (
	// readers is how many instances of a data centre read the list for all of
	// it: one, and one more for when that one is lost.
	readers = 2
	// newsSilence is how long nothing may come from them before an instance
	// reads for itself: two periods of reading. An endpoint that leaves must
	// get nothing new after two seconds.
	newsSilence = 1300 * time.Millisecond
)

type (
	// Change are changes of the platform's list after one cursor and up to
	// another.
	Change struct {
		After, Cursor uint64
		// Whole tells that Put is the whole list.
		Whole bool
		Put   []Info
		// Gone are the IDs of entries that were removed.
		Gone []string
	}

	// Follower keeps the platform's list by what the store and peers tell. If
	// each instance followed each entry by itself, what they read would grow
	// with instances times endpoints; so a few read, and pass on what matters.
	Follower struct {
		list   *Listing
		cursor uint64
		// told is when a peer told last what it read.
		told time.Time
	}
)

// NewFollower returns a follower that knows nothing yet.
func NewFollower() *Follower { return &Follower{list: NewListing()} }

// Cursor returns up to where the list is known.
func (f *Follower) Cursor() uint64 { return f.cursor }

// Infos returns the entries in the order of their IDs.
func (f *Follower) Infos() []Info { return f.list.Infos() }

// Due reports whether this instance should read the store now. before is how
// many of its data centre go before it in doing so.
func (f *Follower) Due(now time.Time, before int) bool {
	return f.cursor == 0 || before < readers || now.Sub(f.told) > newsSilence
}

// Read takes in what the store told. It returns what peers should be told,
// unless ok is false, and whether the list has changed.
func (f *Follower) Read(now time.Time, c Change) (news Change, ok, changed bool) {
	f.list.StoreBack(now)
	news = Change{After: f.cursor, Cursor: c.Cursor, Gone: c.Gone}
	ok = !c.Whole && f.list.settled(now)
	if c.Whole {
		f.list.Replace(now, c.Put)
		changed = true
	} else {
		news.Put, changed = f.put(c.Put)
	}
	f.cursor = c.Cursor
	return news, ok, f.remove(now, c.Gone) || changed
}

// Hear takes in what a peer has read, and reports whether the list has changed.
// News that do not follow on what is known are left to the store.
func (f *Follower) Hear(now time.Time, c Change) (changed bool) {
	if f.cursor == 0 || c.After > f.cursor || c.Whole || f.list.lost {
		return false
	}
	f.told = now
	if c.Cursor <= f.cursor {
		return false
	}
	_, changed = f.put(c.Put)
	f.cursor = c.Cursor
	return f.remove(now, c.Gone) || changed
}

// Lost takes in that the store does not answer.
func (f *Follower) Lost() { f.list.StoreLost() }

// put takes entries in and returns those that differ from before.
func (f *Follower) put(infos []Info) (differ []Info, changed bool) {
	for _, i := range infos {
		if f.list.Put(i) {
			differ = append(differ, i)
		}
	}
	return differ, len(differ) > 0
}

func (f *Follower) remove(now time.Time, gone []string) (changed bool) {
	for _, id := range gone {
		f.list.Remove(now, id)
	}
	return f.list.Expire(now)
}
