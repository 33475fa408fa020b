package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// reportedEndTTL is how long a reported end is kept. It is longer than a stream
// may be silent before it ends and another one opens.
const reportedEndTTL = 10 * time.Second

// reportedEnd is an end of a run that was reported to its home. The message may
// be lost with the stream.
type reportedEnd struct {
	at       time.Time
	ref      run.Ref
	status   run.Status
	endpoint string
}

// recordReportedEnd keeps the end of a run, since the stream to its home may be
// broken.
func (m *Machine) recordReportedEnd(now time.Time, r *heldRun, status run.Status, endpoint string) {
	list := m.reportedEnds[r.home]
	for len(list) > 0 && now.Sub(list[0].at) > reportedEndTTL {
		list = list[1:]
	}
	m.reportedEnds[r.home] = append(list, reportedEnd{now, r.ref, status, endpoint})
}

// expireReportedEnds forgets the ends that no home can ask for any more.
func (m *Machine) expireReportedEnds(now time.Time) {
	for home, list := range m.reportedEnds {
		if now.Sub(list[len(list)-1].at) > reportedEndTTL {
			delete(m.reportedEnds, home)
		}
	}
}

// sendExpectedRuns sends a newly connected holder the runs that this home
// expects there.
func (m *Machine) sendExpectedRuns(holder instance.Ref, out *Output) {
	var runs []run.Ref
	for _, j := range m.sortedJobs() {
		for _, tasks := range j.steps {
			for _, t := range tasks {
				if t.state == placed && t.holder == holder && t.notBefore.IsZero() {
					runs = append(runs, run.Ref{Task: t.name, Number: t.number})
				}
			}
		}
	}
	m.send(holder, message.Runs{Runs: runs}, out)
}

// handleExpectedRuns stops the runs that their home does not expect any more,
// and reports the outcome of those that it expects and that are not running
// here.
func (m *Machine) handleExpectedRuns(now time.Time, p *peer, b message.Runs, out *Output) {
	home := p.info.Ref
	for _, e := range m.held {
		for _, r := range e.sortedRuns() {
			if r.home == home && !slices.Contains(b.Runs, r.ref) {
				m.stopOrphan(now, e, r, out)
			}
		}
	}
	for _, ref := range b.Runs {
		if m.hasRun(ref, home) {
			continue
		}
		u := message.RunUpdate{Run: ref, Status: run.Unconfirmed}
		if p.reconnected && !m.hasRunOfOtherHome(ref.Task, home) {
			u.Status = run.NotRun // the start was lost with the stream
		}
		for _, end := range m.reportedEnds[home] {
			if end.ref == ref {
				u.Status, u.Endpoint = end.status, end.endpoint
			}
		}
		if u.Status == run.NotRun && u.Endpoint == "" {
			out.logConclusion(ref, "home "+home.ID, u.Status, startNotReceived)
		}
		m.send(home, u, out)
	}
}
