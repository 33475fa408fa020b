package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestListingGracePeriodAfterOutage checks that entries that expired during an
// outage of the store are kept until the grace period has ended.
func TestListingGracePeriodAfterOutage(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name      string
		outage    bool
		reappears bool
		after     time.Duration
		present   bool
	}{
		{"removed while the store is up", false, false, 0, false},
		{"just after an outage", true, false, time.Second, true},
		{"more than two seconds after an outage", true, false, 2100 * time.Millisecond, false},
		{"reappears within the grace period", true, true, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewListing()
			l.Put(Info{ID: "a"})
			now := start
			if tt.outage {
				l.SetStoreUnreachable()
				now = now.Add(5 * time.Second)
				l.SetStoreReachable(now)
			}
			l.Remove(now, "a")
			if tt.reappears {
				l.Put(Info{ID: "a"})
			}
			l.Expire(now.Add(tt.after))
			is.Equal(len(l.Infos()) == 1, tt.present)
		})
	}
}

func TestListingKeepsEntriesDuringOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	l := NewListing()
	l.Put(Info{ID: "a"})
	l.Remove(now, "a")
	l.SetStoreUnreachable()
	is.True(!l.Expire(now.Add(time.Hour)))
	is.Equal(len(l.Infos()), 1)
}

// TestColdTimeOfListedEndpoint checks that a cold time that shrinks with time is no
// change of the list, while one that begins, ends or moves is.
func TestColdTimeOfListedEndpoint(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name    string
		left    []time.Duration // reported at each second
		changes []bool
	}{
		{"none", []time.Duration{0, 0}, []bool{true, false}},
		{"it shrinks", []time.Duration{8 * time.Second, 7 * time.Second, 6 * time.Second}, []bool{true, false, false}},
		{"it shrinks by old readings", []time.Duration{8 * time.Second, 7800 * time.Millisecond, 6100 * time.Millisecond}, []bool{true, false, false}},
		{"small differences add up", []time.Duration{8 * time.Second, 7700 * time.Millisecond, 7400 * time.Millisecond, 7100 * time.Millisecond}, []bool{true, false, true, false}},
		{"it ends", []time.Duration{time.Second, 0, 0}, []bool{true, true, false}},
		{"it begins", []time.Duration{0, 5 * time.Second}, []bool{true, true}},
		{"it jumps", []time.Duration{5 * time.Second, 9 * time.Second}, []bool{true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewListing()
			for i, left := range tt.left {
				at := now.Add(time.Duration(i) * time.Second)
				is.Equal(l.Put(Info{ID: "a", ColdUntil: ColdUntil(at, left)}), tt.changes[i])
			}
		})
	}
}
