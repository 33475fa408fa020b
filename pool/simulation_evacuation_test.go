package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// evacuationBound is the time after a request to evacuate a data centre from
	// which no task may start there: well below the 5 s of the platform.
	evacuationBound = 2 * time.Second
	// maxReadDelay is the longest time until a read of the store shows a change.
	maxReadDelay = time.Second
)

// evacuationRequests are the operator's requests as the store has them.
type evacuationRequests struct {
	stored message.Evacuations
	// since is when each evacuation in force was stored.
	since map[string]time.Time
	// blind are the instances that the store does not answer.
	blind map[int]bool
	// former are the instances with a release that knows no evacuations.
	former map[int]bool
}

// setEvacuated stores a request to evacuate a data centre or takes it back. The
// instances that the store answers read it within maxReadDelay.
func (sim *simulation) setEvacuated(dataCentre string, evacuated bool) {
	v := &sim.evacuations
	if _, ok := v.since[dataCentre]; ok == evacuated {
		return
	}
	v.stored.Version++
	list := slices.DeleteFunc(slices.Clone(v.stored.DataCentres), func(dc string) bool { return dc == dataCentre })
	delete(v.since, dataCentre)
	if evacuated {
		list = append(list, dataCentre)
		v.since[dataCentre] = sim.now
	}
	slices.Sort(list)
	v.stored.DataCentres = list
	for _, n := range sim.instances {
		sim.after(randomTime(sim.rng, maxReadDelay), func() { sim.readEvacuations(n) })
	}
}

// readEvacuations gives an instance what the store has now.
func (sim *simulation) readEvacuations(n *fakeInstance) {
	if !sim.evacuations.blind[n.index] && !sim.evacuations.former[n.index] {
		sim.input(n, func(m *Machine, out *Output) { m.SetEvacuations(sim.now, sim.evacuations.stored, out) })
	}
}

// evacuatedFor returns for how long a data centre has been evacuated; zero if it
// is not.
func (sim *simulation) evacuatedFor(dataCentre string) time.Duration {
	since, ok := sim.evacuations.since[dataCentre]
	if !ok {
		return 0
	}
	return sim.now.Sub(since)
}

// evacuateRandom evacuates a random data centre for the given time.
func (sim *simulation) evacuateRandom(d time.Duration) {
	dc := sim.dataCentre(sim.rng.IntN(sim.dataCentres))
	sim.setEvacuated(dc, true)
	sim.after(d, func() { sim.setEvacuated(dc, false) })
}

// withoutEvacuations returns a message to or from an instance with a former
// release as its receiver reads it.
func (sim *simulation) withoutEvacuations(m message.Message, from, to *fakeInstance) message.Message {
	s, ok := m.Body.(message.Status)
	if ok && (sim.evacuations.former[from.index] || sim.evacuations.former[to.index]) {
		s.Evacuations = message.Evacuations{}
		m.Body = s
	}
	return m
}
