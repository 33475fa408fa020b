package pool

import (
	"cmp"
	"time"

	"github.com/lovagecrank/lovagecrank/capacity"
	"github.com/lovagecrank/lovagecrank/instance"
)

// View is a snapshot of a Machine.
type View struct {
	// Ready reports that jobs can be run: this instance or a connected peer
	// holds endpoints that accept work. It is false once the planned stop has
	// begun.
	Ready bool
	// Jobs is the number of unanswered jobs, and Waiting the number of those of
	// which no run can have started, by queue.
	Jobs    int
	Waiting map[string]int
	// Held and Active count the held endpoints and those without runs of an
	// earlier holder. Running counts the runs on them.
	Held, Active, Running int
	// Ejected counts the held endpoints that get no work because their runs
	// fail. ProfilesSent and ProfilesReceived count the messages with profiles.
	Ejected, ProfilesSent, ProfilesReceived int
	// Losses counts the held endpoints that were lost with runs.
	Losses LossCounts
	// Evacuated are the data centres whose endpoints get no work at an operator's
	// request.
	Evacuated []string
	// Draining and Cold count the active endpoints that are draining and the others
	// that are cold.
	Draining, Cold int
	// Connected are the connected peers. LocalPeers are the first of them, those
	// in the local data centre. ReaderRank is how many of the latter that are not
	// draining precede this instance in the order in which instances read the
	// platform's list for the whole data centre.
	Connected, LocalPeers []instance.Ref
	ReaderRank            int
	// Offers counts the offers of slots to peers.
	Offers OfferCounts
	// DataCentres are the views of data centres in use, in the order of their
	// names.
	DataCentres []capacity.View
}

// View returns a snapshot of the machine.
func (m *Machine) View(now time.Time) View {
	v := View{
		Jobs: len(m.jobs), Connected: make([]instance.Ref, 0, len(m.sortedPeers)), Waiting: map[string]int{},
		Evacuated: m.evacuations.inForce.DataCentres, Offers: m.offerCounts, Losses: m.lossCounts,
	}
	for _, j := range m.jobs {
		if !j.mayHaveStarted() {
			v.Waiting[j.Queue.Name]++
		}
	}
	for _, e := range m.held {
		v.Held++
		v.Running += len(e.runs)
		v.countState(now, e)
	}
	v.ProfilesSent, v.ProfilesReceived = m.profiles.sentMessages, m.profiles.receivedMessages
	for i, p := range m.sortedPeers {
		v.Connected = append(v.Connected, p.info.Ref)
		if p.info.DataCentre != m.cfg.Self.DataCentre {
			continue
		}
		v.LocalPeers = v.Connected[:i+1]
		if p.canHold() && readsFirst(p.info, m.cfg.Self) {
			v.ReaderRank++
		}
	}
	v.DataCentres = m.viewsInUse(now)
	v.Ready = !m.draining && (v.Active > 0 || m.peersHaveSlots())
	return v
}

// countState counts a held endpoint by its state.
func (v *View) countState(now time.Time, e *endpointState) {
	if !e.active {
		return
	}
	v.Active++
	switch {
	case e.info.Draining:
		v.Draining++
	case e.usableSlots == 0:
		v.Ejected++
	case e.lifetime.cold(now):
		v.Cold++
	}
}

// readsFirst reports whether a precedes b as a reader of the platform's list for
// the whole data centre. The larger instance comes first, since reading takes
// processor time.
func readsFirst(a, b instance.Info) bool {
	return cmp.Or(cmp.Compare(b.Size(), a.Size()), cmp.Compare(a.ID, b.ID)) < 0
}

func (m *Machine) peersHaveSlots() bool {
	for _, p := range m.sortedPeers {
		for _, c := range p.capacities {
			if c.Slots > 0 {
				return true
			}
		}
	}
	return false
}

// HasJob reports whether the job is unanswered here.
func (m *Machine) HasJob(id string) bool { return m.jobs[id] != nil }
