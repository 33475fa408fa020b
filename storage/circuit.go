package storage

import (
	"math/rand/v2"
	"time"
)

const (
	// failureThreshold is the number of consecutive failed calls that opens
	// the circuit.
	failureThreshold = 3
	// minBackoff and maxBackoff bound the wait before a probe.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Circuit is a circuit breaker that all users of the store in one instance
// share. It opens after several consecutive failures. While it is open, it
// allows one probe at a time, each after a jittered exponential backoff. The
// zero value is closed and uses no jitter; use [NewCircuit] for jitter.
type Circuit struct {
	rng      *rand.Rand
	failures int
	backoff  time.Duration
	probeAt  time.Time
	probing  bool
}

// NewCircuit returns a closed circuit breaker. The seed determines its jitter.
func NewCircuit(seed uint64) *Circuit {
	return &Circuit{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Open reports whether the circuit is open, that is, whether the store counts
// as unreachable.
func (c *Circuit) Open() bool { return c.failures >= failureThreshold }

// Refuses reports whether Allow would refuse a call now. Unlike Allow, it does
// not begin a probe.
func (c *Circuit) Refuses(now time.Time) bool {
	return c.Open() && (c.probing || now.Before(c.probeAt))
}

// Allow reports whether a call may be made now. While the circuit is open, it
// allows one probe after each backoff. The caller must report the probe's
// outcome with RecordSuccess or RecordFailure.
func (c *Circuit) Allow(now time.Time) bool {
	if !c.Open() {
		return true
	}
	if c.Refuses(now) {
		return false
	}
	c.probing = true
	return true
}

// RecordSuccess records a call with the outcome Done. It reports whether that
// closed the circuit.
func (c *Circuit) RecordSuccess() bool {
	closed := c.Open()
	c.failures = 0
	c.backoff = 0
	c.probing = false
	return closed
}

// RecordFailure records a call with an outcome other than Done. It reports
// whether that opened the circuit.
func (c *Circuit) RecordFailure(now time.Time) bool {
	wasOpen := c.Open()
	c.failures++
	if !c.Open() {
		return false
	}
	if wasOpen && !c.probing {
		return false // a call made before the circuit opened
	}
	c.probing = false
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.probeAt = now.Add(c.Jitter(c.backoff))
	return !wasOpen
}

// ProbeAt returns when the next probe is allowed. It returns the zero time if
// the circuit is closed or a probe is in flight.
func (c *Circuit) ProbeAt() time.Time {
	if !c.Open() || c.probing {
		return time.Time{}
	}
	return c.probeAt
}

// RetryAfter returns when a caller that was refused because the circuit is open
// should retry. Jitter spreads the retries of several callers.
func (c *Circuit) RetryAfter() time.Duration {
	return c.Jitter(max(2*c.backoff, time.Second))
}

// Jitter returns a random duration from d/2 to 3d/2.
func (c *Circuit) Jitter(d time.Duration) time.Duration {
	if c.rng == nil || d <= 0 {
		return d
	}
	return d/2 + time.Duration(c.rng.Int64N(int64(d)))
}
