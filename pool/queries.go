package pool

import (
	"cmp"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
)

// View is what others may read of the machine.
type View struct {
	// Ready tells that jobs can be run: some instance that can be reached
	// holds endpoints that take work.
	Ready bool
	// Jobs are those not answered yet, and Waiting those of them of which no
	// task has begun, by queue.
	Jobs    int
	Waiting map[string]int
	// Held and Open count endpoints; Running counts runs on them.
	Held, Open, Running int
	Peers               int
	// Near are the peers of the own data centre, and ReadersBefore how many of
	// those that stay go before this instance in reading for all of it.
	Near          []instance.Ref
	ReadersBefore int
}

// View returns a view of the machine.
func (m *Machine) View(now time.Time) View {
	v := View{Jobs: len(m.jobs), Peers: len(m.peers), Waiting: map[string]int{}}
	for _, j := range m.jobs {
		if !j.maybeRan() {
			v.Waiting[j.Queue.Name]++
		}
	}
	for _, h := range m.mine {
		v.Held++
		v.Running += len(h.runs)
		if h.open {
			v.Open++
		}
	}
	for _, p := range m.nearPeers {
		if p.info.DataCentre != m.cfg.Self.DataCentre {
			break // they come after those of the own data centre
		}
		v.Near = append(v.Near, p.info.Ref)
		if p.stays() && readsBefore(p.info, m.cfg.Self) {
			v.ReadersBefore++
		}
	}
	v.Ready = !m.leaving && (v.Open > 0 || m.peersTakeWork())
	return v
}

// readsBefore reports whether an instance goes before another one in reading for
// all of a data centre: the larger one, as that takes processor time.
func readsBefore(a, b instance.Info) bool {
	return cmp.Or(cmp.Compare(b.Size(), a.Size()), cmp.Compare(a.ID, b.ID)) < 0
}

func (m *Machine) peersTakeWork() bool {
	for _, p := range m.nearPeers {
		for _, r := range p.rooms {
			if r.Places > 0 {
				return true
			}
		}
	}
	return false
}

// Knows reports whether a job is in work here.
func (m *Machine) Knows(id string) bool { return m.jobs[id] != nil }
