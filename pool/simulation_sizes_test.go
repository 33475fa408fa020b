package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/task"
)

// shrinkGrace is how long after an endpoint has become smaller starts by its earlier
// size are allowed: the platform's settling time and one heartbeat.
const shrinkGrace = 4500 * time.Millisecond

// sizeChange is a change of an endpoint's size.
type sizeChange struct {
	at time.Time
	// before is the size until then.
	before task.Needs
}

// unguard makes all endpoints start whatever they are told to, and tells that to the
// instances.
func (sim *simulation) unguard() {
	sim.unguarded = []string{"s"}
	for _, e := range sim.endpoints {
		e.unguarded = true
	}
	for _, n := range sim.instances {
		sim.input(n, func(m *Machine, out *Output) { m.SetConfiguration(sim.now, 1, sim.unguarded, out) })
	}
}

// resize changes the size of the endpoint. The list shows it later.
func (e *fakeEndpoint) resize(cores float64) {
	sim, startedAt := e.sim, e.startedAt
	if e.listedSize == (task.Needs{}) {
		e.listedSize = e.info.Size
	}
	e.sizes = append(e.sizes, sizeChange{sim.now, e.info.Size})
	e.info.Size.Cores = cores
	sim.after(randomTime(sim.rng, listDelay), func() {
		if e.up && e.startedAt == startedAt {
			e.listedSize = e.info.Size
			sim.listEndpoints()
		}
	})
}

// checkRoom checks that a start does not bring an endpoint that does not guard its
// size over it. An order that the endpoint carries out when its sender has given it up
// counts as well.
func (e *fakeEndpoint) checkRoom(s Start, used task.Needs) {
	if !e.unguarded {
		return
	}
	largest := e.info.Size.Cores
	for _, c := range slices.Backward(e.sizes) {
		if e.sim.now.Sub(c.at) > shrinkGrace {
			break
		}
		largest = max(largest, c.before.Cores)
	}
	if used.Cores > largest+1e-6 || len(e.runs) >= e.info.Slots {
		e.sim.t.Errorf("%s: the start of %s (run %d) brings %s to %.1f of %.1f cores and %d of %d slots",
			e.sim.now.Format("05.000"), s.Run.Task, s.Run.Number, e.info.ID, used.Cores, largest, len(e.runs)+1, e.info.Slots)
	}
}

// sizeFailures are endpoints that become smaller, larger or restart with another
// size.
func sizeFailures() []failure {
	return []failure{
		{"an endpoint becomes smaller", func(sim *simulation) { sim.randomEndpoint().resize(7) }},
		{"an endpoint becomes smaller and larger", func(sim *simulation) {
			e := sim.randomEndpoint()
			for i := range 6 {
				sim.after(time.Duration(i)*time.Second, func() { e.resize(float64(7 + 9*(i%2))) })
			}
		}},
		{"an endpoint restarts with a smaller size", func(sim *simulation) { sim.restartSmaller(300 * time.Millisecond) }},
		{"an endpoint restarts with a smaller size after long", func(sim *simulation) { sim.restartSmaller(3 * time.Second) }},
	}
}

// restartSmaller makes an endpoint crash, which starts again with a smaller size. The
// list shows that later.
func (sim *simulation) restartSmaller(after time.Duration) {
	e := sim.randomEndpoint()
	listed, before := e.info, e.startedAt
	e.crash(after)
	sim.after(after, func() {
		if !e.up || e.startedAt == before {
			return
		}
		startedAt := e.startedAt
		e.info.Size.Cores = 7
		e.staleEntry = &listed
		sim.after(randomTime(sim.rng, listDelay), func() {
			if e.startedAt == startedAt {
				e.staleEntry = nil
				sim.listEndpoints()
			}
		})
	})
}
