package footprint

import (
	"bytes"
	"math"
	"sync/atomic"
)

const (
	// DefaultJobTasks is the maximum number of tasks of one job if none is set: ten
	// times those of the largest jobs that are expected.
	DefaultJobTasks = 4096
	// DefaultInstanceBytes is the memory of an instance of which it is not known.
	DefaultInstanceBytes = 256 << 20
	// jobShare is the share of an instance's memory that bodies and jobs may take. The
	// collector lets the heap grow to twice of what is in use, and the rest is for
	// connections, messages and what is known of endpoints.
	jobShare = 0.25

	// arrivingShare is the share of that to which bodies may fill it that have not arrived
	// whole, except those of at most SmallBodyBytes.
	arrivingShare = 0.75
	// SmallBodyBytes is the size of a small body: several times that of a usual job.
	SmallBodyBytes = 4 << 10

	// taskBytes is what an open task takes: its state, its name, its places in maps
	// and lists, and its run with the messages about it.
	taskBytes = 1 << 10
	// stepBytes is what a step of an open job takes without its tasks.
	stepBytes = 512
	// dependencyBytes is what an element of a step's dependencies takes.
	dependencyBytes = 8
	// objectBytes is what decoding one JSON object takes at most.
	objectBytes = 512
	// decodingFactor is what decoding a byte of JSON takes at most besides: a list of
	// small numbers takes most, with the copies that are made as it grows.
	decodingFactor = 32
)

type (
	// Limits bound the memory and the descriptors that callers take. A field that is zero
	// has its default.
	Limits struct {
		// JobTasks is the maximum number of tasks of one job.
		JobTasks int
		// InstanceBytes is the memory that the instance may use for everything.
		InstanceBytes int64
		// Descriptors is the number of descriptors that the instance may open.
		Descriptors int
	}

	// Size is the size of a job. The zero value is a job without steps.
	Size struct {
		// Tasks is the number of tasks, and Bytes the memory that the job takes while
		// it is open. Sums that are too large for their types are their maxima.
		Tasks int
		Bytes int64
	}

	// Budget is the memory that bodies and jobs may take together. It is safe for
	// concurrent use.
	Budget struct {
		limit int64
		used  atomic.Int64
	}

	// Arrival is the reservation of a body while it arrives. The budget may be nil; then
	// nothing is reserved. It is not safe for concurrent use.
	Arrival struct {
		Budget   *Budget
		reserved int64
	}
)

// WithDefaults returns the limits with the defaults of fields that are not positive.
func (l Limits) WithDefaults() Limits {
	if l.JobTasks <= 0 {
		l.JobTasks = DefaultJobTasks
	}
	if l.InstanceBytes <= 0 {
		l.InstanceBytes = DefaultInstanceBytes
	}
	if l.Descriptors <= 0 {
		l.Descriptors = DefaultDescriptors
	}
	return l
}

// NewBudget returns the budget of an instance with the limits.
func NewBudget(l Limits) *Budget {
	return &Budget{limit: int64(jobShare * float64(l.WithDefaults().InstanceBytes))}
}

// Reserve takes a number of bytes and reports whether they were left. The caller
// releases what it has reserved.
func (b *Budget) Reserve(n int64) (ok bool) { return b.reserve(n, b.limit) }

func (b *Budget) reserve(n, limit int64) (ok bool) {
	for {
		used := b.used.Load()
		if n > limit-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Grow reserves as many bytes as the body takes, with what is reserved already, and reports
// whether they were left. The body has size bytes so far. All bodies but small ones leave a
// part of the budget to others, since they may never be complete.
func (a *Arrival) Grow(bytes, size int64) (ok bool) {
	if a.Budget == nil || bytes <= a.reserved {
		return true
	}
	limit := a.Budget.limit
	if size > SmallBodyBytes {
		limit = int64(arrivingShare * float64(limit))
	}
	if !a.Budget.reserve(bytes-a.reserved, limit) {
		return false
	}
	a.reserved = bytes
	return true
}

// Release returns all that is reserved.
func (a *Arrival) Release() {
	if a.reserved > 0 {
		a.Budget.Release(a.reserved)
		a.reserved = 0
	}
}

// Release returns bytes that were reserved.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the number of bytes that can be reserved.
func (b *Budget) Limit() int64 { return b.limit }

// AddStep adds a step with a number of tasks and dependencies, and texts of the given
// length.
func (s *Size) AddStep(tasks, dependencies, textBytes int) {
	s.Tasks = int(saturatingSum(int64(s.Tasks), int64(max(tasks, 0)), math.MaxInt))
	bytes := saturatingProduct(int64(max(tasks, 0)), taskBytes)
	bytes = saturatingSum(bytes, stepBytes+dependencyBytes*int64(dependencies)+int64(textBytes), math.MaxInt64)
	s.Bytes = saturatingSum(s.Bytes, bytes, math.MaxInt64)
}

// Decoding returns the memory in bytes that decoding a JSON text takes at most.
func Decoding(text []byte) int64 {
	return decodingFactor*int64(len(text)) + objectBytes*int64(bytes.Count(text, []byte("{")))
}

// saturatingSum returns the sum of two numbers that are not negative, or the limit if
// that is smaller.
func saturatingSum(a, b, limit int64) int64 {
	if a > limit-b {
		return limit
	}
	return a + b
}

func saturatingProduct(a, b int64) int64 {
	if a > math.MaxInt64/b {
		return math.MaxInt64
	}
	return a * b
}
