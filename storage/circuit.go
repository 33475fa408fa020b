package storage

import (
	"math/rand/v2"
	"time"
)

const (
	// circuitFailures is how many calls in a row must fail to open a circuit.
	circuitFailures = 3
	circuitMinWait  = 250 * time.Millisecond
	circuitMaxWait  = 4 * time.Second
)

// Circuit is the shared state of all callers of the store in one instance.
// After some failures in a row it opens and lets one probe through at a time,
// after a jittered wait that doubles up to a bound. The zero value is closed
// and probes without jitter; use [NewCircuit] for a seeded one.
type Circuit struct {
	random   *rand.Rand
	failures int
	wait     time.Duration
	probeAt  time.Time
	probing  bool
}

// NewCircuit returns a closed circuit whose jitter follows the seed.
func NewCircuit(seed uint64) *Circuit {
	return &Circuit{random: rand.New(rand.NewPCG(seed, seed))}
}

// Open reports whether the store counts as out of reach.
func (c *Circuit) Open() bool { return c.failures >= circuitFailures }

// Refuses reports whether a call that came now would not be allowed.
func (c *Circuit) Refuses(now time.Time) bool {
	return c.Open() && (c.probing || now.Before(c.probeAt))
}

// Allow reports whether a call may be made now. While the circuit is open it
// allows one probe after each wait; the caller must report the probe's end.
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

// Succeeded tells that the store answered a call. It reports whether the
// circuit closed by that.
func (c *Circuit) Succeeded() bool {
	closed := c.Open()
	c.failures = 0
	c.wait = 0
	c.probing = false
	return closed
}

// Failed tells that a call got no answer of the store. It reports whether the
// circuit opened by that.
func (c *Circuit) Failed(now time.Time) bool {
	wasOpen := c.Open()
	c.failures++
	if !c.Open() {
		return false
	}
	if wasOpen && !c.probing {
		return false // a call from before the circuit opened
	}
	c.probing = false
	c.wait = min(max(2*c.wait, circuitMinWait), circuitMaxWait)
	c.probeAt = now.Add(c.Jitter(c.wait))
	return !wasOpen
}

// ProbeAt returns when the next probe is allowed; zero if none is waited for.
func (c *Circuit) ProbeAt() time.Time {
	if !c.Open() || c.probing {
		return time.Time{}
	}
	return c.probeAt
}

// RetryAfter returns a hint for a caller that is refused while the circuit is
// open. Hints of several callers are spread out.
func (c *Circuit) RetryAfter() time.Duration {
	return c.Jitter(max(2*c.wait, time.Second))
}

// Jitter returns a duration between half of d and one and a half of d.
func (c *Circuit) Jitter(d time.Duration) time.Duration {
	if c.random == nil || d <= 0 {
		return d
	}
	return d/2 + time.Duration(c.random.Int64N(int64(d)))
}
