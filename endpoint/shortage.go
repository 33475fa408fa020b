package endpoint

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

const (
	// shareWeight is the weight of one outcome in an endpoint's share of
	// failures.
	shareWeight = 1.0 / 16
	// minPartialShare and maxPartialShare bound the share of failures of an
	// endpoint that still does a part of its work, and partialOutcomes is the
	// number of outcomes after which that is known. maxStreak is the number of
	// failures in a row at which it no longer counts as such: an endpoint that
	// fails half of its runs reaches it once in 128 runs.
	minPartialShare = 0.2
	maxPartialShare = 0.8
	partialOutcomes = 8
	maxStreak       = 6
	// maxReportedOutcomes bounds the weight of the outcomes that peers report.
	maxReportedOutcomes = 200
)

// SetShortage tells the tracker whether there is less room than work. If there
// is, an endpoint that fails only a part of its runs keeps its work, and one that
// is ejected for that is tried again at once.
func (t *Tracker) SetShortage(now time.Time, shortage bool, out *Output) {
	if shortage == t.shortage {
		return
	}
	t.shortage = shortage
	if !shortage {
		return
	}
	for _, e := range t.timed {
		if e.partial(e.failedShare) {
			e.until = now
		}
	}
	t.Tick(now, out)
}

// FailedShare returns the share of failures among the last outcomes of the
// endpoint, and how many outcomes it has.
func (t *Tracker) FailedShare(id string) (share float64, outcomes int) {
	if e, ok := t.byID[id]; ok {
		return e.failedShare, e.outcomes
	}
	return 0, 0
}

// Retract takes back a failure that turned out to be the task's own.
func (t *Tracker) Retract(id string, out *Output) {
	e, ok := t.byID[id]
	if !ok || e.health != Healthy || e.failures == 0 {
		return
	}
	e.failures--
	e.evidence = max(e.evidence-math.Log(failingRate/e.normalRate()), 0)
	e.streak = max(e.streak-1, 0)
	e.failedShare = max(e.failedShare-e.lastFailureShare, 0)
	e.lastFailureShare = 0
	if e.evidence == 0 {
		e.resetEvidence()
	}
	t.updateUsable(e, out)
}

// Track adds an endpoint, or updates a known one. Unlike Update, it leaves the
// others as they are and emits no event.
func (t *Tracker) Track(now time.Time, info Info, out *Output) {
	var ignored Output
	t.upsert(now, info, &ignored)
	out.Changed = append(out.Changed, info.ID)
}

// Forget removes an endpoint.
func (t *Tracker) Forget(id string) {
	if e, ok := t.byID[id]; ok {
		t.remove(e)
	}
}

// Restore gives a newly tracked endpoint what an earlier holder has learnt: its
// share of failures, and that it stays ejected until the given time, which may
// have passed.
func (t *Tracker) Restore(now time.Time, id string, failedShare float64, outcomes int, until time.Time, out *Output) {
	e, ok := t.byID[id]
	if !ok || e.outcomes > 0 {
		return
	}
	e.failedShare, e.outcomes = failedShare, outcomes
	if !until.After(now) || e.health != Healthy || !t.canEject(e.dc) {
		return
	}
	e.health, e.reason = Ejected, failing
	e.until = earlier(until, now.Add(t.cfg.MaxBackoff))
	e.ejections, e.lastEjected = 1, now
	e.dc.ejected++
	t.timed = append(t.timed, e)
	out.Events = append(out.Events, event.Record{Kind: event.EndpointEjected, Subject: id, Detail: "as its earlier holder reported"})
	t.updateUsable(e, out)
}

// SetReported replaces the outcomes that peers have reported for the endpoints
// of a data centre which this instance does not track.
func (t *Tracker) SetReported(now time.Time, dataCentre string, failed, finished int) {
	if finished <= 0 || failed < 0 || failed > finished {
		return
	}
	scale := min(1, float64(maxReportedOutcomes)/float64(finished))
	d := t.dataCentre(dataCentre)
	d.reported = outcomeCounts{failed: int(scale * float64(failed)), finished: int(scale * float64(finished))}
	d.reportedAt = now
}

// EjectedUntil returns until when the endpoint is ejected; zero if it is not.
func (t *Tracker) EjectedUntil(id string) time.Time {
	if e, ok := t.byID[id]; ok && e.health == Ejected {
		return e.until
	}
	return time.Time{}
}

// Ejected returns how many endpoints are ejected.
func (t *Tracker) Ejected() int {
	n := 0
	for _, d := range t.dcs {
		n += d.ejected
	}
	return n
}

// countOutcome adds an outcome to the share of failures.
func (e *entry) countOutcome(failed bool) {
	value := 0.0
	if failed {
		value = 1
		if e.streak == 0 {
			e.shareBefore = e.failedShare
		}
		e.streak++
	} else {
		e.streak = 0
	}
	e.outcomes++
	change := max(shareWeight, 1/float64(e.outcomes+2)) * (value - e.failedShare)
	e.failedShare += change
	if failed {
		e.lastFailureShare = change
	}
}

// partial reports whether an endpoint with that share of failures does a part of
// its work.
func (e *entry) partial(share float64) bool {
	return e.outcomes >= partialOutcomes && share >= minPartialShare && share <= maxPartialShare
}

// keepsWork reports whether a failing endpoint keeps its work: there is a
// shortage and it still does a part, or too many others get none already.
func (t *Tracker) keepsWork(e *entry) bool {
	if t.shortage && e.partial(e.shareBefore) && e.streak < maxStreak {
		return true
	}
	return t.cfg.MaxPausedShare < 1 && e.dc.withoutWork() >= max(int(t.cfg.MaxPausedShare*float64(len(e.dc.entries))), 1)
}

// withoutWork returns how many endpoints are ejected or paused.
func (d *dataCentre) withoutWork() int {
	n := 0
	for _, e := range d.entries {
		if e.health == Ejected || e.health == Suspect {
			n++
		}
	}
	return n
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
