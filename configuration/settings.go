package configuration

import (
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
)

// Settings configures a Tracker. Zero values select the defaults.
type Settings struct {
	// Self identifies this incarnation of this instance.
	Self instance.Ref
	// Seed seeds the jitter.
	Seed uint64
	// Key is the key of the document's row in the table; "configuration" by
	// default.
	Key string
	// PollEvery is the poll period of a single instance; 2 s by default. The
	// instances of one data centre share the reads.
	PollEvery time.Duration
	// CallTimeout is how long to wait for the reply to a call; 8 s by default.
	CallTimeout time.Duration
	// ChangeTimeout is how long a change may take before it is abandoned; 30 s
	// by default.
	ChangeTimeout time.Duration
	// StartupWait is how long a new instance waits to hear from both the table
	// and a peer before one of them is enough; 1 s by default.
	StartupWait time.Duration
	// FarDelay is the maximum random wait before the document is requested from
	// another data centre; 500 ms by default. In the meantime a near instance
	// may offer it.
	FarDelay time.Duration
	// StaleAfter is how long the version in force may stay unconfirmed before
	// it is reported as stale; 30 s by default.
	StaleAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.Key == "" {
		s.Key = "configuration"
	}
	setDefault(&s.PollEvery, 2*time.Second)
	setDefault(&s.CallTimeout, 8*time.Second)
	setDefault(&s.ChangeTimeout, 30*time.Second)
	setDefault(&s.StartupWait, time.Second)
	setDefault(&s.FarDelay, 500*time.Millisecond)
	setDefault(&s.StaleAfter, 30*time.Second)
	return s
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
