package endpoint

import "time"

// Settings configures a Tracker. Zero values select the defaults.
type Settings struct {
	// DataCentre is the instance's own data centre. Signals returns reports
	// only on its endpoints and racks.
	DataCentre string
	// Seed seeds the jitter of the ejection backoff.
	Seed uint64
	// MaxEjectedShare is the maximum share of a data centre's endpoints that
	// may be ejected at the same time; 0.5 by default, so that a whole rack can
	// be ejected.
	MaxEjectedShare float64
	// MaxPausedShare is the maximum share of a data centre's endpoints that may
	// be ejected or paused at the same time; 1 by default. Beyond it, a failing
	// endpoint keeps its work.
	MaxPausedShare float64
	// FailureThreshold is the evidence at which an endpoint is ejected or
	// paused, as a log-likelihood ratio; 12 by default. Each failure in a row
	// adds at most log(0.5/0.05).
	FailureThreshold float64
	// SuspectPause is the first pause of a suspect endpoint, before it is tried
	// with one task; 200 ms by default. It doubles with each further pause, up
	// to Backoff.
	SuspectPause time.Duration
	// Backoff is the duration of a first ejection, before jitter; 5 s by
	// default. It doubles with each further ejection.
	Backoff time.Duration
	// MaxBackoff is the maximum duration of an ejection, before jitter; 5 min
	// by default.
	MaxBackoff time.Duration
	// ListLag is the maximum lag of the platform's list; 60 s by default. For
	// this long after an endpoint reported that it is draining, the list cannot
	// revoke that.
	ListLag time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.MaxEjectedShare <= 0 {
		s.MaxEjectedShare = 0.5
	}
	if s.MaxPausedShare <= 0 {
		s.MaxPausedShare = 1
	}
	if s.FailureThreshold <= 0 {
		s.FailureThreshold = 12
	}
	if s.SuspectPause <= 0 {
		s.SuspectPause = 200 * time.Millisecond
	}
	if s.Backoff <= 0 {
		s.Backoff = 5 * time.Second
	}
	if s.MaxBackoff <= 0 {
		s.MaxBackoff = 5 * time.Minute
	}
	if s.ListLag <= 0 {
		s.ListLag = time.Minute
	}
	return s
}
