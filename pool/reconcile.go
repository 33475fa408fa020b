package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// toldTime is how long an end that a home was told is remembered: longer than
// a stream may be silent before it ends and another one opens.
const toldTime = 10 * time.Second

// toldEnd is an end of a run that its home was told. The message may be lost
// with the stream.
type toldEnd struct {
	at       time.Time
	ref      run.Ref
	status   run.Status
	endpoint string
}

// remember keeps the end of a run for a home whose stream may be broken.
func (m *Machine) remember(now time.Time, r *heldRun, status run.Status, endpoint string) {
	list := m.told[r.home]
	for len(list) > 0 && now.Sub(list[0].at) > toldTime {
		list = list[1:]
	}
	m.told[r.home] = append(list, toldEnd{now, r.ref, status, endpoint})
}

// expireTold forgets the ends that no home can ask for any more.
func (m *Machine) expireTold(now time.Time) {
	for home, list := range m.told {
		if now.Sub(list[len(list)-1].at) > toldTime {
			delete(m.told, home)
		}
	}
}

// reconcile tells a holder that has come back which runs are waited for there.
func (m *Machine) reconcile(holder instance.Ref, out *Output) {
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

// compareRuns stops the runs that their home does not wait for any more, and
// tells it what became of those that it waits for and that are over.
func (m *Machine) compareRuns(now time.Time, p *peer, b message.Runs, out *Output) {
	home := p.info.Ref
	for _, h := range m.mine {
		for _, r := range h.sorted() {
			if r.home == home && !slices.Contains(b.Runs, r.ref) {
				m.stopUnwanted(now, h, r, out)
			}
		}
	}
	for _, ref := range b.Runs {
		if _, r := m.find(ref); r != nil {
			continue
		}
		u := message.RunUpdate{Run: ref, Status: run.Uncertain}
		if p.known {
			u.Status = run.NotRun // its start was lost with the stream
		}
		for _, e := range m.told[home] {
			if e.ref == ref {
				u.Status, u.Endpoint = e.status, e.endpoint
			}
		}
		m.send(home, u, out)
	}
}
