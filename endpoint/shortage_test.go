package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortageTracker returns a tracker of n endpoints with the settings of a caller
// that judges after three failures.
func shortageTracker(n int) (*Tracker, []Info) {
	list := infos(n, 2)
	t := New(Settings{FailureThreshold: 6.5, MaxPausedShare: 0.5, SuspectPause: 400 * time.Millisecond, Backoff: time.Second, MaxBackoff: 4 * time.Second}, epoch)
	for _, i := range list {
		t.Track(epoch, i, &Output{})
	}
	return t, list
}

// end gives the tracker the end of a run on an endpoint, and then of a successful
// one on each other, 10 ms later each.
func end(t *Tracker, now time.Time, list []Info, id string, o Outcome) time.Time {
	t.Finished(now, id, o, 5*time.Millisecond, 0, Load{}, &Output{})
	for _, i := range list {
		if i.ID != id {
			now = now.Add(time.Millisecond)
			t.Finished(now, i.ID, Answered, time.Millisecond/2, 0, Load{}, &Output{})
		}
	}
	return now.Add(10 * time.Millisecond)
}

// TestFailuresUnderShortage counts the failures in a row until an endpoint gets no
// work: one that was healthy before, and one that is known to fail half of its
// runs, with and without a shortage.
func TestFailuresUnderShortage(t *testing.T) {
	tests := []struct {
		name     string
		shortage bool
		// share is the share of failures known from an earlier holder, and
		// successes are how many runs are successful before the failures.
		share       float64
		successes   int
		least, most int
	}{
		{"healthy before", false, 0, 4, 3, 3},
		{"healthy before, shortage", true, 0, 4, 3, 3},
		{"nothing known, shortage", true, 0, 0, 3, 3},
		{"fails half, shortage", true, 0.5, 0, 6, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr, list := shortageTracker(8)
			tr.SetShortage(epoch, tt.shortage, &Output{})
			now := epoch
			if tt.share > 0 {
				tr.Restore(epoch, list[0].ID, tt.share, 16, time.Time{}, &Output{})
			}
			for range tt.successes {
				now = end(tr, now, list, list[0].ID, Answered)
			}
			is.True(tr.Usable(now, list[0].ID) > 0)
			n := 0
			for ; n < 20 && tr.Usable(now, list[0].ID) > 0; n++ {
				now = end(tr, now, list, list[0].ID, Failed)
			}
			t.Logf("no work after %d failures", n)
			is.True(n >= tt.least)
			is.True(n <= tt.most)
		})
	}
}

// TestShortageReadmits checks that an endpoint that does a part of its work is
// tried again when a shortage begins, and readmitted by one success, but not one
// that does nothing.
func TestShortageReadmits(t *testing.T) {
	tests := []struct {
		name     string
		share    float64
		readmits bool
	}{
		{"fails half", 0.5, true},
		{"fails everything", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr, list := shortageTracker(8)
			id := list[0].ID
			tr.Restore(epoch, id, tt.share, 16, epoch.Add(3*time.Second), &Output{})
			is.Equal(tr.Usable(epoch, id), 0)
			is.Equal(tr.Ejected(), 1)
			tr.SetShortage(epoch.Add(time.Millisecond), true, &Output{})
			is.Equal(tr.Usable(epoch, id) > 0, tt.readmits)
			if tt.readmits {
				end(tr, epoch.Add(10*time.Millisecond), list, id, Answered)
				is.Equal(tr.Usable(epoch, id), list[0].Slots)
			}
		})
	}
}

// TestRestoreIsBounded checks that reports can't eject more than half of the
// endpoints, nor for longer than the tracker itself would.
func TestRestoreIsBounded(t *testing.T) {
	is := is.New(t)
	tr, list := shortageTracker(8)
	for _, i := range list {
		tr.Restore(epoch, i.ID, 1, 16, epoch.Add(time.Hour), &Output{})
	}
	is.Equal(tr.Ejected(), 4)
	tr.Tick(epoch.Add(4*time.Second), &Output{})
	is.Equal(tr.Ejected(), 0)
}

// TestPausesAreBounded checks that endpoints that all fail at once, before anybody
// knows that this is normal, keep half of the work.
func TestPausesAreBounded(t *testing.T) {
	is := is.New(t)
	tr, list := shortageTracker(8)
	now := epoch
	for range 50 {
		for _, i := range list {
			tr.Finished(now, i.ID, Failed, time.Millisecond, 0, Load{}, &Output{})
			now = now.Add(time.Millisecond)
			without := 0
			for _, o := range list {
				if tr.Usable(now, o.ID) == 0 {
					without++
				}
			}
			is.True(without <= 4)
		}
	}
}

// TestRetract checks that a failure that is taken back counts for nothing.
func TestRetract(t *testing.T) {
	is := is.New(t)
	tr, list := shortageTracker(8)
	now := epoch
	for range 20 {
		now = end(tr, now, list, list[0].ID, Failed)
		tr.Retract(list[0].ID, &Output{})
	}
	is.Equal(tr.Usable(now, list[0].ID), list[0].Slots)
	share, _ := tr.FailedShare(list[0].ID)
	is.True(share < minPartialShare)
}

// TestReportedOutcomes checks that failures that peers report count as normal
// here, and that impossible numbers are ignored.
func TestReportedOutcomes(t *testing.T) {
	tests := []struct {
		name             string
		failed, finished int
		usable           bool
	}{
		{"nothing", 0, 0, false},
		{"peers' endpoints fail as much", 60, 100, true},
		{"more failures than runs", 200, 100, false},
		{"negative", -1, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr, list := shortageTracker(8)
			tr.SetReported(epoch, list[0].DataCentre, tt.failed, tt.finished)
			now := epoch
			for range 5 {
				now = end(tr, now, list, list[0].ID, Failed)
			}
			is.Equal(tr.Usable(now, list[0].ID) > 0, tt.usable)
		})
	}
}
