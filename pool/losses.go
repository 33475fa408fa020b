package pool

import (
	"fmt"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/event"
)

// LossCounts counts the held endpoints that were lost with runs, by what was learnt
// of them later.
type LossCounts struct {
	// Suspected counts all of them. Proved are those that have started again, and
	// Withdrawn those that were only silent.
	Suspected, Proved, Withdrawn int
}

// recordLoss records that a held endpoint, which was not announced to leave, is lost
// with the runs that it may have had.
func (m *Machine) recordLoss(now time.Time, e *endpointState, out *Output) {
	if e.info.Draining || e.lifetime.leaving() {
		return
	}
	loss := crash.Loss{Endpoint: e.info.ID, Address: e.info.Address, StartedAt: e.info.StartedAt, At: now}
	for _, r := range e.sortedRuns() {
		if len(loss.Runs) < crash.MaxRuns && r.mayBeUnderWay(now, m.cfg.StopTime) {
			loss.Runs = append(loss.Runs, crash.Run{Task: r.ref.Task, Queue: r.queue})
		}
	}
	if len(loss.Runs) == 0 || !m.losses.Record(loss) {
		return
	}
	m.lossCounts.Suspected++
	out.log(event.EndpointLost, e.info.ID, describeLoss(loss))
}

// mayBeUnderWay reports whether the run may have been under way when its endpoint was
// lost: its start was sent, and no stop has ended it since.
func (r *heldRun) mayBeUnderWay(now time.Time, stopTime time.Duration) bool {
	return r.stopAcceptedAt.IsZero() || now.Sub(r.stopAcceptedAt) <= stopTime
}

// applyLossChanges logs losses whose state has changed.
func (m *Machine) applyLossChanges(changed []crash.Loss, out *Output) {
	for _, l := range changed {
		if l.State == crash.Proved {
			m.lossCounts.Proved++
			out.log(event.EndpointCrashProved, l.Endpoint, describeLoss(l))
			continue
		}
		m.lossCounts.Withdrawn++
		out.log(event.EndpointLossWithdrawn, l.Endpoint, describeLoss(l))
	}
}

// describeLoss describes a loss for a log line.
func describeLoss(l crash.Loss) string {
	tasks := make([]string, 0, len(l.Runs))
	for _, r := range l.Runs {
		tasks = append(tasks, r.Task)
	}
	return fmt.Sprintf("%d runs: %s", len(l.Runs), strings.Join(tasks, ","))
}
