package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listStore is a store whose list changes; it counts what is read.
type listStore struct {
	ver     uint64
	changes []Change // one for each version
	reads   int
}

func (s *listStore) change(put []Info, gone ...string) {
	s.ver++
	s.changes = append(s.changes, Change{Cursor: s.ver, Put: put, Gone: gone})
}

func (s *listStore) read(after uint64) Change {
	s.reads++
	c := Change{After: after, Cursor: s.ver, Whole: after == 0}
	for _, v := range s.changes[min(int(after), len(s.changes)):] {
		c.Put = append(c.Put, v.Put...)
		c.Gone = append(c.Gone, v.Gone...)
	}
	return c
}

// follow lets a number of followers read for a time, a tenth of a second after
// another, and calls at after each round of 600 ms.
func follow(s *listStore, followers []*Follower, rounds int, up func(i int) bool, at func(round int)) {
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
			if news, ok, _ := f.Read(now, s.read(f.Cursor())); ok {
				for j, o := range followers {
					if j != i && up(j) {
						o.Hear(now, news)
					}
				}
			}
		}
		at(round)
	}
}

// What is read at the store does not grow with the number of instances, and all
// have the same list, also while those that read are lost.
func TestFewReadForAll(t *testing.T) {
	tests := []struct {
		name string
		// lost is how many of the first followers are lost in the middle third;
		// most are two reads a round, and the first of each.
		lost, most int
	}{
		{"all well", 0, 2*66 + 20},
		{"a reader is lost", 1, 2*66 + 20},
		{"both readers are lost", 2, 2*66 + 20},
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
			up := func(i int) bool { return i >= tt.lost || round < 20 || round >= 40 }
			follow(s, followers, 60, up, func(r int) {
				round = r + 1
				s.change([]Info{{ID: fmt.Sprintf("e%d", r)}}, fmt.Sprintf("e%d", r-5))
			})
			s.change(nil, "a")
			follow(s, followers, 6, up, func(int) {})
			want := followers[0].Infos()
			is.Equal(len(want), 6) // b and the five last ones
			for _, f := range followers {
				is.Equal(f.Infos(), want)
			}
			t.Logf("%d reads; each of 20 for itself makes 1320", s.reads)
			is.True(s.reads <= tt.most)
		})
	}
}

// News that do not follow on what is known are not taken.
func TestHearLeavesGapsToTheStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	f := NewFollower()
	is.True(!f.Hear(now, Change{After: 0, Cursor: 5, Put: []Info{{ID: "x"}}})) // it has read nothing yet
	f.Read(now, Change{Cursor: 5, Whole: true, Put: []Info{{ID: "a"}}})
	is.True(!f.Hear(now, Change{After: 7, Cursor: 9, Put: []Info{{ID: "x"}}}))
	is.Equal(f.Cursor(), uint64(5))
	is.True(f.Due(now, 5)) // so it reads for itself
	is.True(f.Hear(now, Change{After: 4, Cursor: 9, Put: []Info{{ID: "x"}}}))
	is.Equal(f.Cursor(), uint64(9))
	is.True(!f.Due(now, 5))
	is.True(f.Due(now.Add(2*time.Second), 5))
}

// A reader passes nothing on while entries may still come back after an outage:
// the others may not have noticed that.
func TestNothingIsPassedOnAfterAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	f := NewFollower()
	f.Read(now, Change{Cursor: 5, Whole: true, Put: []Info{{ID: "a"}}})
	f.Lost()
	now = now.Add(10 * time.Second)
	_, ok, changed := f.Read(now, Change{Cursor: 6, Gone: []string{"a"}})
	is.True(!ok && !changed)
	_, ok, changed = f.Read(now.Add(3*time.Second), Change{Cursor: 6})
	is.True(!ok && changed)
	_, ok, _ = f.Read(now.Add(4*time.Second), Change{Cursor: 6})
	is.True(ok)
	is.Equal(len(f.Infos()), 0)
}
