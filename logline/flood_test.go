package logline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// TestFlood tests the bound of each buffer and the priority of refusals and
// failures, batch by batch on a virtual clock.
func TestFlood(t *testing.T) {
	tests := []struct {
		name string
		// answered, refused and failed are the numbers of events in each
		// interval between two batches.
		answered, refused, failed int
		// wantAnswered, wantUrgent and wantDropped are the numbers of lines in
		// each batch, and of the events that its last line reports as dropped.
		wantAnswered, wantUrgent, wantDropped int
	}{
		{"a calm interval", 10, 1, 1, 10, 2, 0},
		{"as many as fit", maxOrdinaryLines, maxUrgentLines - 1, 1, maxOrdinaryLines, maxUrgentLines, 0},
		{"a burst of answers keeps failures", 5 * maxOrdinaryLines, 3, 2, maxOrdinaryLines, 5, 4 * maxOrdinaryLines},
		{"a burst of refusals keeps answers", 7, 2 * maxUrgentLines, 0, 7, maxUrgentLines, maxUrgentLines},
		{"a burst of both", maxOrdinaryLines + 1, maxUrgentLines + 1, 1, maxOrdinaryLines, maxUrgentLines, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			w := NewWriter("instance", "a")
			for range 3 { // a batch empties the buffers for the next one
				writeMany(w, now, event.JobAnswered, tt.answered)
				writeMany(w, now, event.JobRefused, tt.refused)
				writeMany(w, now, event.JobFailed, tt.failed)
				now = now.Add(flushInterval)
				text := string(w.drain(now))
				is.Equal(strings.Count(text, "code=LC2069"), tt.wantAnswered)
				is.Equal(strings.Count(text, "code=LC2040")+strings.Count(text, "code=LC2041"), tt.wantUrgent)
				is.Equal(strings.Contains(text, "code=LC2070"), tt.wantDropped > 0)
				is.Equal(strings.HasSuffix(text, fmt.Sprintf("detail=%d\n", tt.wantDropped)), tt.wantDropped > 0)
			}
		})
	}
}

func writeMany(w *Writer, now time.Time, k event.Kind, n int) {
	for range n {
		w.Write(now, event.Record{Kind: k, Subject: "j"})
	}
}
