package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listStore is a fake store with a changing list. It counts reads.
type listStore struct {
	ver     uint64
	changes []Change // one for each version
	reads   int
}

func (s *listStore) change(put []Info, removed ...string) {
	s.ver++
	s.changes = append(s.changes, Change{Cursor: s.ver, Put: put, Removed: removed})
}

func (s *listStore) read(after uint64) Change {
	s.reads++
	c := Change{After: after, Cursor: s.ver, Full: after == 0}
	for _, v := range s.changes[min(int(after), len(s.changes)):] {
		c.Put = append(c.Put, v.Put...)
		c.Removed = append(c.Removed, v.Removed...)
	}
	return c
}

// follow simulates rounds of 600 ms. In each round, every follower that is up
// and due reads the store, one after another, and passes the change on. It
// calls afterRound after each round.
func follow(s *listStore, followers []*Follower, rounds int, up func(i int) bool, afterRound func(round int)) {
	now := time.Unix(1_700_000_000, 0)
	for round := range rounds {
		for i, f := range followers {
			now = now.Add(600 * time.Millisecond / time.Duration(len(followers)))
			before := 0
			for j := range i {
				if up(j) {
					before++
				}
			}
			if !up(i) || !f.Due(now, before) {
				continue
			}
			if update, ok, _ := f.HandleStoreChange(now, s.read(f.Cursor())); ok {
				for j, o := range followers {
					if j != i && up(j) {
						o.HandlePeerChange(now, update)
					}
				}
			}
		}
		afterRound(round)
	}
}

// TestFewReadersServeAll checks that the number of reads of the store does not
// grow with the number of instances, and that all instances have the same list,
// also while the readers are down.
func TestFewReadersServeAll(t *testing.T) {
	tests := []struct {
		name string
		// down is the number of first followers that are down in the middle
		// third. most is the maximum number of reads: two per round, and the
		// first read of each follower.
		down, most int
	}{
		{"all readers up", 0, 2*66 + 20},
		{"one reader down", 1, 2*66 + 20},
		{"both readers down", 2, 2*66 + 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &listStore{}
			s.change([]Info{{ID: "a"}, {ID: "b"}})
			followers := make([]*Follower, 20)
			for i := range followers {
				followers[i] = NewFollower()
			}
			round := 0
			up := func(i int) bool { return i >= tt.down || round < 20 || round >= 40 }
			follow(s, followers, 60, up, func(r int) {
				round = r + 1
				s.change([]Info{{ID: fmt.Sprintf("e%d", r)}}, fmt.Sprintf("e%d", r-5))
			})
			s.change(nil, "a")
			follow(s, followers, 6, up, func(int) {})
			want := followers[0].Infos()
			is.Equal(len(want), 6) // b and the last five
			for _, f := range followers {
				is.Equal(f.Infos(), want)
			}
			t.Logf("%d reads; 1320 if each of 20 instances reads itself", s.reads)
			is.True(s.reads <= tt.most)
		})
	}
}

// TestPeerChangeAfterGapIsIgnored checks that a follower ignores a peer's
// change that does not follow on from its list, and reads the store instead.
func TestPeerChangeAfterGapIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	f := NewFollower()
	is.True(!f.HandlePeerChange(now, Change{After: 0, Cursor: 5, Put: []Info{{ID: "x"}}})) // the follower has not read the store yet
	f.HandleStoreChange(now, Change{Cursor: 5, Full: true, Put: []Info{{ID: "a"}}})
	is.True(!f.HandlePeerChange(now, Change{After: 7, Cursor: 9, Put: []Info{{ID: "x"}}}))
	is.Equal(f.Cursor(), uint64(5))
	is.True(f.Due(now, 5)) // it must read the store itself
	is.True(f.HandlePeerChange(now, Change{After: 4, Cursor: 9, Put: []Info{{ID: "x"}}}))
	is.Equal(f.Cursor(), uint64(9))
	is.True(!f.Due(now, 5))
	is.True(f.Due(now.Add(2*time.Second), 5))
}

// TestNoUpdatesRightAfterOutage checks that a reader sends no updates to its
// peers while entries may still reappear after an outage, because the peers may
// not have noticed the outage.
func TestNoUpdatesRightAfterOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	f := NewFollower()
	f.HandleStoreChange(now, Change{Cursor: 5, Full: true, Put: []Info{{ID: "a"}}})
	f.HandleStoreUnreachable()
	now = now.Add(10 * time.Second)
	_, ok, changed := f.HandleStoreChange(now, Change{Cursor: 6, Removed: []string{"a"}})
	is.True(!ok && !changed)
	_, ok, changed = f.HandleStoreChange(now.Add(3*time.Second), Change{Cursor: 6})
	is.True(!ok && changed)
	_, ok, _ = f.HandleStoreChange(now.Add(4*time.Second), Change{Cursor: 6})
	is.True(ok)
	is.Equal(len(f.Infos()), 0)
}

// TestUpdateAfterPagedRead reads a long list in pages, of which a later one is
// newer than the cursor: an endpoint has begun to drain in between. The next update
// must tell the peers so, although nothing changes in the reader's own list. A peer
// that has the cursor of that update from another reader must learn it too. On
// voltmesh-sim-large scale-2, an instance started tasks for 4 s on an endpoint that
// was draining.
func TestUpdateAfterPagedRead(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	ready, draining := Info{ID: "e1"}, Info{ID: "e1", Draining: true}
	peer := NewFollower()
	peer.HandleStoreChange(now, Change{Cursor: 15, Full: true, Put: []Info{ready}})

	reader := NewFollower()
	reader.HandleStoreChange(now, Change{Cursor: 10, Full: true, Put: []Info{draining}, Newer: []string{"e1"}})
	now = now.Add(600 * time.Millisecond)
	update, ok, _ := reader.HandleStoreChange(now, Change{After: 10, Cursor: 20, Put: []Info{draining}})
	is.True(ok)
	is.True(peer.HandlePeerChange(now, update))
	is.Equal(peer.Infos(), []Info{draining})

	other := NewFollower()
	other.HandleStoreChange(now, Change{Cursor: 21, Full: true, Put: []Info{ready}})
	for range 3 { // the change is repeated
		now = now.Add(600 * time.Millisecond)
		update, ok, _ = reader.HandleStoreChange(now, Change{After: update.Cursor, Cursor: update.Cursor + 5})
		is.True(ok)
		other.HandlePeerChange(now, update)
	}
	is.Equal(other.Infos(), []Info{draining})
	now = now.Add(repeatPeriod)
	update, _, _ = reader.HandleStoreChange(now, Change{After: update.Cursor, Cursor: update.Cursor + 5})
	is.Equal(len(update.Put), 0)

	// Removals are repeated too, but not passed on again by those who know.
	update, _, _ = reader.HandleStoreChange(now, Change{After: update.Cursor, Cursor: update.Cursor + 5, Removed: []string{"e1"}})
	is.Equal(update.Removed, []string{"e1"})
	peer.HandlePeerChange(now, update)
	now = now.Add(2 * repeatPeriod)
	peer.HandlePeerChange(now, update)
	update, _, _ = peer.HandleStoreChange(now, Change{After: update.Cursor, Cursor: update.Cursor + 5})
	is.Equal(len(update.Removed), 0)
}
