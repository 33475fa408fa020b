package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDependency tests that only the first failed read and the first successful
// one after it count as changes.
func TestDependency(t *testing.T) {
	tests := []struct {
		at      time.Duration
		ok      bool
		changed bool
		lostFor time.Duration
	}{
		{0, true, false, 0},
		{time.Second, false, true, 0},
		{2 * time.Second, false, false, 0},
		{4 * time.Second, true, true, 3 * time.Second},
		{5 * time.Second, true, false, 0},
		{6 * time.Second, false, true, 0},
	}
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	var d dependency
	for _, tt := range tests {
		changed, lostFor := d.observe(start.Add(tt.at), tt.ok)
		is.Equal(changed, tt.changed)
		is.Equal(lostFor, tt.lostFor)
		is.Equal(d.lost(), !tt.ok)
	}
}
