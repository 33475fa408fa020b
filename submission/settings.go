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
	// MaxIDLength is the maximum length of a submission id in bytes.
	MaxIDLength = 256
	// MaxIDBlock is the maximum number of ids that one request may ask for.
	MaxIDBlock = 10_000

	defaultStartWindow    = 5 * time.Minute
	defaultRetention      = time.Minute
	defaultClaimTimeout   = 12 * time.Second
	defaultStoreTimeout   = 12 * time.Second
	defaultResultLifetime = 24 * time.Hour
	defaultMaxSubmissions = 200_000
	defaultMaxPendingRows = 10_000
	defaultMaxForwards    = 50_000
	defaultMaxAnswerBytes = 64 << 20
	defaultMaxRefusals    = 16
	defaultStoreWrites    = 300
	defaultStoreReads     = 1500
)

type (
	// Settings configures a Manager. Zero values select the defaults, except
	// where noted.
	Settings struct {
		// Self is the instance incarnation that the Manager belongs to. It is
		// required.
		Self instance.Ref
		// StartWindow is how long after its issue or claim an id may start a
		// job. Used ids are remembered for at least that long.
		StartWindow time.Duration
		// Retention is how long a finished answer is kept in memory for
		// resubmissions.
		Retention time.Duration
		// ClaimTimeout is how long a caller waits for a claim whose outcome is
		// unknown before it is told so.
		ClaimTimeout time.Duration
		// StoreTimeout is how long callers wait for a durable answer that is
		// not stored yet. After that they are told to ask again.
		StoreTimeout time.Duration
		// ClaimLifetime is how long the store keeps a claim; zero means
		// forever. An id can start again after the store drops its claim.
		ClaimLifetime time.Duration
		// ResultLifetime is how long the store keeps a durable answer.
		ResultLifetime time.Duration
		// MaxSubmissions limits the submissions in memory, including tombstones.
		MaxSubmissions int
		// MaxPendingRows limits the rows that wait for the store.
		MaxPendingRows int
		// MaxForwards limits the requests that wait for other instances.
		MaxForwards int
		// MaxAnswerBytes limits the size in bytes of the answers kept for
		// resubmissions and, separately, of the answers that wait to be stored.
		MaxAnswerBytes int
		// MaxRefusals is the number of refusals by endpoints after which a
		// task's job fails.
		MaxRefusals int
		// StoreWrites and StoreReads are the store calls per second that all
		// instances together may make.
		StoreWrites, StoreReads float64
		// Circuit is the circuit breaker shared by all users of the store; nil
		// means that the Manager creates its own.
		Circuit *storage.Circuit
		// Seed seeds the jitter of the Manager's own Circuit.
		Seed uint64
	}

	// Admission decides whether the queue admits a job. It must not change any
	// state, because an admitted job may still be refused.
	Admission interface {
		Admit(now time.Time, j *job.Job) *fault.Error
	}
)

func (s Settings) withDefaults() Settings {
	s.StartWindow = cmp.Or(s.StartWindow, defaultStartWindow)
	s.Retention = cmp.Or(s.Retention, defaultRetention)
	s.ClaimTimeout = cmp.Or(s.ClaimTimeout, defaultClaimTimeout)
	s.StoreTimeout = cmp.Or(s.StoreTimeout, defaultStoreTimeout)
	s.ResultLifetime = cmp.Or(s.ResultLifetime, defaultResultLifetime)
	s.MaxSubmissions = cmp.Or(s.MaxSubmissions, defaultMaxSubmissions)
	s.MaxPendingRows = cmp.Or(s.MaxPendingRows, defaultMaxPendingRows)
	s.MaxForwards = cmp.Or(s.MaxForwards, defaultMaxForwards)
	s.MaxAnswerBytes = cmp.Or(s.MaxAnswerBytes, defaultMaxAnswerBytes)
	s.MaxRefusals = cmp.Or(s.MaxRefusals, defaultMaxRefusals)
	s.StoreWrites = cmp.Or(s.StoreWrites, defaultStoreWrites)
	s.StoreReads = cmp.Or(s.StoreReads, defaultStoreReads)
	if s.Circuit == nil {
		s.Circuit = storage.NewCircuit(s.Seed)
	}
	return s
}
