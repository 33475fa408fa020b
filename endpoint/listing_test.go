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
