package endpoint

import (
	"fmt"
	"testing"
	"time"
)

var fleetSizes = []int{57, 570, 5700}

func BenchmarkUsable(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr, list := benchTracker(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tr.Usable(epoch, list[i*7%n].ID)
			}
		})
	}
}

func BenchmarkFinished(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr, list := benchTracker(n)
			var out Output
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				runTime := time.Duration(250+i*37%100) * time.Millisecond
				tr.Finished(now, list[i*7%n].ID, Answered, runTime, 300*time.Millisecond, Load{Running: 3}, &out)
				out.Changed, out.Events = out.Changed[:0], out.Events[:0]
			}
		})
	}
}

func benchTracker(n int) (*Tracker, []Info) {
	var out Output
	tr := New(Settings{DataCentre: "sofia-1"}, epoch)
	list := infos(n, 6)
	tr.Update(epoch, list, &out)
	return tr, list
}

// BenchmarkFirstUpdate measures the memory of a tracker, in bytes per
// operation.
func BenchmarkFirstUpdate(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchTracker(n)
			}
		})
	}
}

// BenchmarkUpdate measures an update with an unchanged list.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr, list := benchTracker(n)
			var out Output
			b.ReportAllocs()
			for b.Loop() {
				tr.Update(epoch, list, &out)
			}
		})
	}
}
