package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is measured.
const minSuspension = 50 * time.Millisecond

// suspensionClock measures how long the machine was suspended. The steady clock,
// which all times of the runner come from, does not count that time.
type suspensionClock struct {
	startedAt time.Time
	// bootTime is the time since the boot, suspensions included, at startedAt.
	bootTime time.Duration
	// total is how long the machine has been suspended since startedAt.
	total time.Duration
}

func newSuspensionClock(now time.Time) suspensionClock {
	return suspensionClock{startedAt: now, bootTime: timeSinceBoot()}
}

// observe returns how long the machine was suspended since the last call, given
// the time since the boot.
func (c *suspensionClock) observe(now time.Time, sinceBoot time.Duration) time.Duration {
	total := sinceBoot - c.bootTime - now.Sub(c.startedAt)
	d := total - c.total
	if d < minSuspension {
		return 0 // the two clocks are read one after the other
	}
	c.total = total
	return d
}

// timeSinceBoot returns the time since the boot, suspensions included.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // the clock does not exist; the steady clock is all there is
	}
	return time.Duration(t.Nano())
}
