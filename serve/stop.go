package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/event"
)

// idlePollInterval is the time between checks, during a planned stop, whether
// all jobs are finished.
const idlePollInterval = 20 * time.Millisecond

// drain begins the planned stop and returns once every accepted job has its
// final result, or once force ends. It reports whether jobs were lost.
func (d *driver) drain(force context.Context) (lost bool) {
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.BeginStop(now, out)
		d.view.Store(m.View(now))
	})
	d.record(event.Record{Kind: event.StopStarted, Subject: d.view.Load().Self.ID})
	for !d.idle() {
		if !sleep(force, idlePollInterval) {
			return d.reportLost()
		}
	}
	return false
}

func (d *driver) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Idle()
}

// reportLost records what a forced stop loses. It always returns true.
func (d *driver) reportLost() bool {
	d.mu.Lock()
	u := d.machine.View(time.Now()).Unfinished
	d.mu.Unlock()
	d.record(event.Record{
		Kind:    event.StopForced,
		Subject: d.view.Load().Self.ID,
		Detail:  fmt.Sprintf("jobs=%d claims=%d answers=%d requests=%d", u.Jobs, u.Claims, u.Answers, u.Requests),
	})
	return true
}
