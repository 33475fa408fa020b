package logline

import (
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

// BenchmarkLine measures the processor time of one line, from the event to the
// encoded text, in batches of 100 lines.
func BenchmarkLine(b *testing.B) {
	w := NewWriter("instance", "edge-worcester-1")
	r := event.Record{
		Kind: event.JobAnswered, Subject: "8413d5cdc9280ed7",
		Detail: "complete; queue=r-ui4nq7s took=960ms goal=290ms runs=0.0#2@i-d43a35c4d6/edge-worcester-1+484ms,0.1#1@i-132ad8299d/edge-worcester-1+2ms",
	}
	now := time.Unix(1_700_000_000, 0)
	b.ReportAllocs()
	for i := range b.N {
		w.Write(now, r)
		if i%100 == 99 {
			w.drain(now)
		}
	}
}
