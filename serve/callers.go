package serve

import (
	"context"
	"time"

	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
)

// callers implements [caller.Service] on a driver.
type callers struct{ *driver }

// Submit submits a job and waits for its final result.
func (c callers) Submit(ctx context.Context, j job.Job) (job.Result, error) {
	end := c.startSpans(&j)
	defer end()
	return c.call(ctx, func(now time.Time, call uint64, m *entry.Machine, out *entry.Actions) {
		m.Submit(now, call, j, true, out)
	})
}

// SubmitAsync submits a job and returns once it is accepted or refused.
func (c callers) SubmitAsync(ctx context.Context, j job.Job) (job.Result, error) {
	end := c.startSpans(&j)
	defer end()
	return c.call(ctx, func(now time.Time, call uint64, m *entry.Machine, out *entry.Actions) {
		m.Submit(now, call, j, false, out)
	})
}

// Show returns the result of a job. If wait is set, it waits until the result
// is final.
func (c callers) Show(ctx context.Context, id string, wait bool) (job.Result, error) {
	return c.call(ctx, func(now time.Time, call uint64, m *entry.Machine, out *entry.Actions) {
		m.Show(now, call, id, wait, out)
	})
}

// Cancel cancels a job and returns its result.
func (c callers) Cancel(ctx context.Context, id string) (job.Result, error) {
	return c.call(ctx, func(now time.Time, call uint64, m *entry.Machine, out *entry.Actions) {
		m.Cancel(now, call, id, out)
	})
}

// IssueIDs returns n new submission ids whose home is this instance.
func (c callers) IssueIDs(_ context.Context, n int) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, f := c.machine.IssueIDs(time.Now(), n)
	if f != nil {
		return nil, f
	}
	return ids, nil
}

// Ready returns nil if the instance accepts jobs, otherwise the reason.
func (c callers) Ready() error {
	if f := c.view.Load().Ready; f != nil {
		return f
	}
	return nil
}

// call makes a request to the machine under a new call number and waits for the
// reply. If ctx ends first, call stops waiting, but the job continues.
func (d *driver) call(ctx context.Context, update func(now time.Time, call uint64, m *entry.Machine, out *entry.Actions)) (job.Result, error) {
	reply := make(chan job.Result, 1)
	var number uint64
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		d.lastCall++
		number = d.lastCall
		d.pendingCalls[number] = reply
		update(now, number, m, out)
	})
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		d.abandon(number)
		return job.Result{}, ctx.Err()
	case <-d.ctx.Done():
		return job.Result{}, fault.New(fault.HomeUnreachable, "the instance was ended")
	}
}

// abandon drops a call whose caller no longer waits for the reply.
func (d *driver) abandon(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pendingCalls, number)
	d.machine.HandleDisconnect(time.Now(), number)
}
