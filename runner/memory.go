package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/pool"
)

const (
	// A caller refused for lack of memory is told to come back after memoryRetryAfter
	// and up to memoryRetrySpread more. Open jobs end within seconds.
	memoryRetryAfter  = 500 * time.Millisecond
	memoryRetrySpread = time.Second
)

// BodyMemory is the memory that is reserved for a body while it arrives.
type BodyMemory struct {
	runner  *Runner
	id      string
	arrival footprint.Arrival
}

// reserveJob reserves the memory of a job until it is answered.
func (r *Runner) reserveJob(j pool.Job) (release func(), f *fault.Error) {
	size := j.Size()
	if limit := r.cfg.Limits.JobTasks; size.Tasks > limit {
		return nil, fault.New(fault.JobTooLarge, "the job has more than %d tasks", limit)
	}
	return r.ReserveMemory(j.ID, size.Bytes+int64(len(j.Spec)))
}

// ReserveMemory reserves memory for the submission of a job, or returns why it is refused.
// The caller of ReserveMemory calls release when the memory is free again.
func (r *Runner) ReserveMemory(id string, bytes int64) (release func(), f *fault.Error) {
	if limit := r.memory.Limit(); bytes > limit {
		return nil, fault.New(fault.JobTooLarge, "the job needs %d bytes, more than the %d for all jobs", bytes, limit)
	}
	if !r.memory.Reserve(bytes) {
		return nil, r.memoryFull(id, bytes)
	}
	return func() { r.memory.Release(bytes) }, nil
}

func (r *Runner) memoryFull(id string, bytes int64) *fault.Error {
	after := memoryRetryAfter + time.Duration(admission.HashFraction(id)*float64(memoryRetrySpread))
	return fault.New(fault.QueueFull, "the job needs %d bytes, and the open jobs take %d of %d", bytes, r.memory.Used(), r.memory.Limit()).WithRetryAfter(after)
}

// NewBodyMemory returns the memory of the body of a submission, of which nothing has
// arrived.
func (r *Runner) NewBodyMemory(id string) *BodyMemory {
	return &BodyMemory{runner: r, id: id, arrival: footprint.Arrival{Budget: r.memory}}
}

// Grow reserves memory for a body of which size bytes may have arrived, or returns why it
// is refused.
func (b *BodyMemory) Grow(size int64) *fault.Error {
	if !b.arrival.Grow(size, size) {
		return b.runner.memoryFull(b.id, size)
	}
	return nil
}

// Release returns all that is reserved.
func (b *BodyMemory) Release() { b.arrival.Release() }
