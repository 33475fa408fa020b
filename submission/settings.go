package submission

import (
	"cmp"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/storage"
)

const (
	// MaxIDLength is how long a submission id may be, in bytes.
	MaxIDLength = 256
	// MaxIDBlock is how many ids one request may ask for.
	MaxIDBlock = 10_000

	defaultStartWindow    = 5 * time.Minute
	defaultRetention      = time.Minute
	defaultClaimLimit     = 12 * time.Second
	defaultStoreLimit     = 12 * time.Second
	defaultResultLifetime = 24 * time.Hour
	defaultSubmissions    = 200_000
	defaultClaims         = 10_000
	defaultForwards       = 50_000
	defaultAnswerBytes    = 64 << 20
	defaultRefusals       = 16
	defaultStoreWrites    = 300
	defaultStoreReads     = 1500
)

type (
	// Settings are the bounds of a Manager. Zero values mean defaults.
	Settings struct {
		Self instance.Ref
		// StartWindow is how long after its issue or claim a submission may
		// start. Used ids are remembered for at least that long.
		StartWindow time.Duration
		// Retention is how long answers are kept for resubmissions.
		Retention time.Duration
		// ClaimLimit is how long a caller waits for a claim of unknown fate
		// before it is told that the outcome is unknown.
		ClaimLimit time.Duration
		// StoreLimit is how long a durable answer is held back while it is
		// not stored. After that callers are told to ask again.
		StoreLimit time.Duration
		// ClaimLifetime is how long the table keeps a claim; zero means for
		// ever. An id can start again after its claim is dropped.
		ClaimLifetime time.Duration
		// ResultLifetime is how long the table keeps a durable answer.
		ResultLifetime time.Duration
		// Submissions bounds how many submissions are in memory.
		Submissions int
		// Claims bounds how many rows wait for the store.
		Claims int
		// Forwards bounds how many requests wait for other instances.
		Forwards int
		// AnswerBytes bounds the answers kept for resubmissions, and apart
		// from these the answers that wait to be stored.
		AnswerBytes int
		// Refusals is how often the endpoints may refuse one task.
		Refusals int
		// StoreWrites and StoreReads are the calls a second that all
		// instances together may make.
		StoreWrites, StoreReads float64
		// Circuit is shared by all callers of the store; nil means one of
		// the Manager's own.
		Circuit *storage.Circuit
		// Seed is for jitter.
		Seed uint64
	}

	// Admission decides whether the queue takes a job. It must not change
	// anything, since a job that it admitted may still be refused.
	Admission interface {
		Admit(now time.Time, j *job.Job) *fault.Error
	}
)

func (s Settings) withDefaults() Settings {
	s.StartWindow = cmp.Or(s.StartWindow, defaultStartWindow)
	s.Retention = cmp.Or(s.Retention, defaultRetention)
	s.ClaimLimit = cmp.Or(s.ClaimLimit, defaultClaimLimit)
	s.StoreLimit = cmp.Or(s.StoreLimit, defaultStoreLimit)
	s.ResultLifetime = cmp.Or(s.ResultLifetime, defaultResultLifetime)
	s.Submissions = cmp.Or(s.Submissions, defaultSubmissions)
	s.Claims = cmp.Or(s.Claims, defaultClaims)
	s.Forwards = cmp.Or(s.Forwards, defaultForwards)
	s.AnswerBytes = cmp.Or(s.AnswerBytes, defaultAnswerBytes)
	s.Refusals = cmp.Or(s.Refusals, defaultRefusals)
	s.StoreWrites = cmp.Or(s.StoreWrites, defaultStoreWrites)
	s.StoreReads = cmp.Or(s.StoreReads, defaultStoreReads)
	if s.Circuit == nil {
		s.Circuit = storage.NewCircuit(s.Seed)
	}
	return s
}
