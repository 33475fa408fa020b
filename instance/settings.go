package instance

import "time"

// Settings configures a Membership. Zero values select the defaults.
type Settings struct {
	// Self describes this incarnation of this instance.
	Self Info
	// Seed seeds the jitter of the heartbeats.
	Seed uint64
	// NearPeriod is the time between heartbeats to an instance of the same data
	// centre; 560 ms by default.
	NearPeriod time.Duration
	// FarPeriod is the least time between heartbeats to an instance of another
	// data centre; 2 s by default.
	FarPeriod time.Duration
	// FarSpacing is the least time between any two heartbeats to instances of
	// other data centres; 240 ms by default. It lengthens the period as their
	// number grows.
	FarSpacing time.Duration
	// MissedHeartbeats is the number of heartbeat periods without a message
	// after which an instance is lost; 3 by default.
	MissedHeartbeats int
	// ForgetAfter is how long an unlisted instance must be silent before it is
	// removed; one minute by default.
	ForgetAfter time.Duration
	// MaxInstances is the maximum number of known instances; 1024 by default.
	MaxInstances int
}

func (s Settings) withDefaults() Settings {
	if s.NearPeriod <= 0 {
		s.NearPeriod = 560 * time.Millisecond
	}
	if s.FarPeriod <= 0 {
		s.FarPeriod = 2 * time.Second
	}
	if s.FarSpacing <= 0 {
		s.FarSpacing = 240 * time.Millisecond
	}
	if s.MissedHeartbeats <= 0 {
		s.MissedHeartbeats = 3
	}
	if s.ForgetAfter <= 0 {
		s.ForgetAfter = time.Minute
	}
	if s.MaxInstances <= 0 {
		s.MaxInstances = 1024
	}
	return s
}
