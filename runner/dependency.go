package runner

import (
	"sync"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

// dependency is whether something that the instance reads from the store can be
// read. Its methods are safe for concurrent use.
type dependency struct {
	mu sync.Mutex
	// lostAt is when the first read failed after the last successful one; zero
	// if the last read succeeded.
	lostAt time.Time
}

// observe handles the result of a read. It reports whether the state changed,
// and for how long the reads had failed if this one succeeded.
func (d *dependency) observe(now time.Time, ok bool) (changed bool, lostFor time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok == d.lostAt.IsZero() {
		return false, 0
	}
	if !ok {
		d.lostAt = now
		return true, 0
	}
	lostFor = now.Sub(d.lostAt)
	d.lostAt = time.Time{}
	return true, lostFor
}

// lost reports whether the last read failed.
func (d *dependency) lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lostAt.IsZero()
}

// recordRead records an event when what the subject names can no longer be read
// from the store, or can be read again. err is the error of a read, and
// consequence is what follows from it.
func (r *Runner) recordRead(d *dependency, subject, consequence string, err error) {
	if r.ctx.Err() != nil {
		return
	}
	now := time.Now()
	changed, lostFor := d.observe(now, err == nil)
	switch {
	case !changed:
	case err != nil:
		r.Record(now, event.Record{Kind: event.StoreUnreachable, Subject: subject, Detail: consequence + ": " + err.Error()})
	default:
		r.Record(now, event.Record{Kind: event.StoreReachable, Subject: subject, Detail: "after " + lostFor.Round(time.Millisecond).String()})
	}
}
