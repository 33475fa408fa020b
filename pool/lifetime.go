package pool

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// MaxRemaining is the longest remaining time of a draining endpoint that is
	// believed.
	MaxRemaining = 24 * time.Hour

	// coldShare is the share of its slots that an endpoint gets when its cold time
	// begins. How slow a cold endpoint is is not reported: half bounds what is
	// withheld if it is not slow, and what is late if it is.
	coldShare = 0.5
	// coldSpeed is the speed of a cold endpoint below which a run there counts as
	// overdue.
	coldSpeed = 0.25
)

// lifetime is what is known of when an endpoint leaves and until when it is cold.
// It is kept when the endpoint is released.
type lifetime struct {
	// draining reports that the boot that started at boot said that it is draining,
	// and listedDraining that the list said so.
	draining, listedDraining bool
	boot                     time.Time
	// leavesAt is when the endpoint leaves at the earliest, as read by the poll sent
	// at readAt; zero if it has not said so. invalid reports that it said something
	// that can't be right, and that this was logged.
	leavesAt, readAt time.Time
	invalid          bool
	// coldSince and coldUntil are the time during which the endpoint is cold; zero
	// if it was not.
	coldSince, coldUntil time.Time
}

// observeRemaining records a remaining time, the newest of which counts. It reports
// whether it can be right.
func (l *lifetime) observeRemaining(now, sent time.Time, remaining time.Duration) (valid bool) {
	if remaining < 0 || remaining > MaxRemaining {
		return false
	}
	if !sent.Before(l.readAt) {
		l.leavesAt, l.readAt = now.Add(remaining), sent
	}
	return true
}

// beginBoot forgets what an earlier boot said of its end.
func (l *lifetime) beginBoot(startedAt time.Time) {
	if startedLater(startedAt, l.boot) {
		*l = lifetime{coldSince: l.coldSince, coldUntil: l.coldUntil}
	}
}

// setListed records whether the list says that the endpoint is draining. A notice that
// the list no longer has was withdrawn.
func (l *lifetime) setListed(draining bool) {
	if l.listedDraining && !draining {
		l.draining, l.leavesAt = false, time.Time{}
	}
	l.listedDraining = draining
}

// leaving reports whether the end of the endpoint is announced.
func (l *lifetime) leaving() bool { return !l.leavesAt.IsZero() }

// announced reports whether the endpoint itself or the list has said that it is
// draining. An endpoint that only vanished from the list may have crashed.
func (l *lifetime) announced() bool { return l.draining || l.listedDraining || l.leaving() }

// end returns the earliest end of an endpoint that leaves.
func (l *lifetime) end(now time.Time) time.Time { return later(l.leavesAt, now) }

// setCold records until when the endpoint is cold, and reports whether it has just
// become so.
func (l *lifetime) setCold(now, until time.Time) (begins bool) {
	if !until.After(now) {
		l.coldUntil = time.Time{}
		return false
	}
	begins = !l.cold(now)
	if begins {
		l.coldSince = now
	}
	l.coldUntil = until
	return begins
}

func (l *lifetime) cold(now time.Time) bool { return l.coldUntil.After(now) }

// share returns the share of its slots that the endpoint may use. It rises during
// the cold time.
func (l *lifetime) share(now time.Time) float64 {
	if !l.cold(now) {
		return 1
	}
	elapsed := float64(now.Sub(l.coldSince)) / float64(l.coldUntil.Sub(l.coldSince))
	return coldShare + (1-coldShare)*elapsed
}

// coldPart returns the part of a run that starts now during which the endpoint is
// cold. A run of unknown length counts as all cold.
func (l *lifetime) coldPart(now time.Time, estimate time.Duration) float64 {
	if !l.cold(now) {
		return 0
	}
	return min(float64(l.coldUntil.Sub(now))/float64(max(estimate, 1)), 1)
}

// runTime returns how long a run that starts now takes if the endpoint has
// coldSpeed while it is cold.
func (l *lifetime) runTime(now time.Time, estimate time.Duration) time.Duration {
	if !l.cold(now) {
		return estimate
	}
	slowest := time.Duration(float64(estimate) / coldSpeed)
	return min(slowest, estimate+time.Duration((1-coldSpeed)*float64(l.coldUntil.Sub(now))))
}

// coldSize returns the part of the endpoint's resources and slots that tasks may use
// while it is cold.
func (e *endpointState) coldSize(now time.Time) (size task.Needs, slots int) {
	share := e.lifetime.share(now)
	size = task.Needs{
		Cores:        share * e.info.Size.Cores,
		MemoryBytes:  int64(share * float64(e.info.Size.MemoryBytes)),
		Accelerators: e.info.Size.Accelerators,
	}
	return size, max(int(math.Round(share*float64(e.info.Slots))), 1)
}

// limitedByCold reports whether the endpoint is cold and has tasks already: one task
// may start there in any case.
func (e *endpointState) limitedByCold(now time.Time) bool {
	return e.lifetime.cold(now) && len(e.runs)+e.reserved > 0
}

// atColdLimit reports whether the endpoint gets no task of that size because it is
// cold.
func (e *endpointState) atColdLimit(now time.Time, n task.Needs) bool {
	if !e.limitedByCold(now) {
		return false
	}
	size, slots := e.coldSize(now)
	return len(e.runs)+e.reserved >= slots || !fitsWithin(addScaled(e.used, n, 1), size)
}

// coldRemaining returns the resources that are neither used nor reserved and that a
// task may use, also while the endpoint is cold.
func (e *endpointState) coldRemaining(now time.Time) task.Needs {
	if !e.limitedByCold(now) {
		return e.remaining()
	}
	size, _ := e.coldSize(now)
	return addScaled(size, e.used, -1)
}

// coldSlots returns how many of the slots the endpoint may use while it is cold: the
// share of the cold time, but one task if it has room for it.
func (e *endpointState) coldSlots(now time.Time, sizes taskSizes, total, free float64) (usable, usableFree float64) {
	if !e.lifetime.cold(now) {
		return total, free
	}
	size, slots := e.coldSize(now)
	usable = max(sizes.fits(size, slots), min(total, 1))
	if !e.limitedByCold(now) {
		return usable, min(free, usable)
	}
	return usable, min(free, sizes.fits(e.coldRemaining(now), slots-len(e.runs)-e.reserved))
}
