package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspensionClock guards against a suspension that the steady clock hides.
func TestSuspensionClock(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := suspensionClock{startedAt: now, bootTime: time.Hour}
	tests := []struct {
		name              string
		steady, sinceBoot time.Duration
		want              time.Duration
	}{
		{"both clocks run", time.Second, time.Hour + time.Second, 0},
		{"read one after the other", 2 * time.Second, time.Hour + 2*time.Second + time.Millisecond, 0},
		{"suspended for three seconds", 3 * time.Second, time.Hour + 6*time.Second, 3 * time.Second},
		{"counted once", 4 * time.Second, time.Hour + 7*time.Second, 0},
		{"suspended again", 5 * time.Second, time.Hour + 9*time.Second, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.Equal(c.observe(now.Add(tt.steady), tt.sinceBoot), tt.want)
		})
	}
}
