package pool

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

// Times from the platform's specification, and delays of the links between data
// centres.
const (
	testLeaseTime      = time.Second
	testStopTime       = 50 * time.Millisecond
	testRetryDelay     = 1300 * time.Millisecond
	testOneWayDelay    = time.Millisecond
	testOrderTimeout   = 250 * time.Millisecond
	pollMargin         = 80 * time.Millisecond
	testPeerTimeout    = 800 * time.Millisecond
	testReconnectDelay = 200 * time.Millisecond
)

type (
	// simulation runs instances, endpoints and callers on a virtual clock. The
	// observer checks what happens on its links.
	simulation struct {
		t        testing.TB
		now      time.Time
		events   eventHeap
		sequence int
		rng      *rand.Rand
		// loadRNG draws the load, which is thus the same whatever the instances do.
		loadRNG   *rand.Rand
		instances []*fakeInstance
		endpoints []*fakeEndpoint
		// byRef has the instances by their current incarnation.
		byRef    map[instance.Ref]*fakeInstance
		byID     map[string]*fakeEndpoint
		observer *observer
		// dataCentres is the number of data centres.
		dataCentres int
		// partitions counts the active network partitions between two
		// instances. unreachable has the endpoints cut off from an instance,
		// keyed by instance and endpoint.
		partitions  map[[2]int]int
		unreachable map[[2]int]bool
		// refuseConnections makes orders to unreachable endpoints fail at once
		// instead of timing out.
		refuseConnections bool
		// lateShare is the share of orders that are carried out late and not
		// answered.
		lateShare float64
		// troubles are the troubles that orders have now.
		troubles    []*trouble
		evacuations evacuationRequests
		// unguarded are the services whose endpoints don't guard their size.
		unguarded []string
		// crashedReturnSame makes endpoints that a task has crashed return under
		// the same ID.
		crashedReturnSame bool
		// startTransferTime is how long an instance's link needs to send one
		// start; the starts of an instance are sent one after another.
		startTransferTime time.Duration
		// inputTime is the processor time of an instance for one input, on one core.
		// Inputs wait for those before them. Zero means that they take none.
		inputTime time.Duration
		// taskCores returns the cores that the tasks of the next job need; nil means
		// that all need the same.
		taskCores func() float64
		// patience returns how long the callers of the generated load wait, by their
		// goal; nil means that they state no time.
		patience func(goal time.Duration) time.Duration
		calls    map[uint64]*attempt
		lastCall uint64
		lastJob  int
		// onMessage may change a message on its way and returns how long it is
		// delayed; nil for none.
		onMessage func(msg *message.Message) time.Duration
		// messages counts the messages between instances.
		messages int
		// reference has the jobs of the generated load.
		reference referenceQueue
		// log has the events of all instances.
		log []event.Record
		// onRefusal is called when a job is refused as not run; nil means it is
		// not.
		onRefusal func(*callerJob, *fault.Error)
		// onStart is called before a run starts; nil means it is not.
		onStart func(e *fakeEndpoint, s Start)
		// viewMessages counts the messages with views of data centres, and
		// onViewMessage is called for each; nil means it is not.
		viewMessages  int
		onViewMessage func(from *fakeInstance)
	}

	fakeInstance struct {
		index     int
		machine   *Machine
		self      instance.Info
		alive     bool
		suspended bool
		// former makes it an instance of the former release, which does not know
		// views of data centres.
		former bool
		// inbox has the inputs that arrived while the instance was suspended.
		inbox []func()
		wake  time.Time
		// tickNumber is the number of the last scheduled tick; earlier ones are
		// ignored.
		tickNumber int
		// linkFreeAt is when the link has sent all starts; see
		// simulation.startTransferTime.
		linkFreeAt time.Time
		// busyUntil is when the processor has handled all inputs so far; see
		// simulation.inputTime.
		busyUntil time.Time
		connected map[int]bool
		// blind makes the instance read no list of endpoints.
		blind bool
		// neighbours are the IDs of the peers that the machine selected.
		neighbours map[string]bool
	}
)

// newSimulation returns a simulation with the given numbers of instances and
// endpoints, which alternate between two data centres.
func newSimulation(t testing.TB, seed uint64, instances, endpoints int) *simulation {
	return newFleet(t, seed, 2, instances, endpoints)
}

// newFleet is like newSimulation for any number of data centres.
func newFleet(t testing.TB, seed uint64, dataCentres, instances, endpoints int) *simulation {
	return newFleetOfSize(t, seed, dataCentres, instances, endpoints, 0)
}

// newFleetOfSize is like newFleet for instances with that many cores; zero means
// that it is not known.
func newFleetOfSize(t testing.TB, seed uint64, dataCentres, instances, endpoints int, cores float64) *simulation {
	sim := &simulation{
		byRef:       map[instance.Ref]*fakeInstance{},
		byID:        map[string]*fakeEndpoint{},
		dataCentres: dataCentres,
		t:           t,
		now:         time.Unix(1_800_000_000, 0),
		rng:         rand.New(rand.NewPCG(seed, 1)),
		loadRNG:     rand.New(rand.NewPCG(seed, 2)),
		partitions:  map[[2]int]int{},
		unreachable: map[[2]int]bool{},
		calls:       map[uint64]*attempt{},
		evacuations: evacuationRequests{stored: message.Evacuations{Version: 1}, since: map[string]time.Time{}, blind: map[int]bool{}},
	}
	sim.observer = newObserver(sim)
	for i := range instances {
		sim.instances = append(sim.instances, &fakeInstance{index: i, self: instance.Info{
			Ref:   instance.Ref{DataCentre: sim.dataCentre(i), ID: fmt.Sprintf("n%d", i)},
			Cores: cores,
		}})
	}
	for i := range endpoints {
		e := newFakeEndpoint(sim, i)
		sim.endpoints = append(sim.endpoints, e)
		sim.byID[e.info.ID] = e
	}
	for _, n := range sim.instances { // all are listed from the start
		n.self.Incarnation = sim.incarnation(n)
	}
	for i := range sim.instances {
		sim.startInstance(i)
	}
	return sim
}

func (sim *simulation) dataCentre(i int) string { return fmt.Sprintf("dc%d", i%sim.dataCentres) }

// incarnation returns the incarnation of an instance that starts now.
func (sim *simulation) incarnation(n *fakeInstance) uint64 {
	return max(uint64(sim.now.UnixNano()), n.self.Incarnation+1)
}

// startInstance starts an instance as a new incarnation.
func (sim *simulation) startInstance(i int) {
	n := sim.instances[i]
	n.alive, n.suspended, n.inbox = true, false, nil
	delete(sim.byRef, n.self.Ref)
	n.self.Incarnation = sim.incarnation(n)
	sim.byRef[n.self.Ref] = n
	n.connected, n.neighbours = map[int]bool{}, map[string]bool{}
	n.machine = New(sim.now, Config{Self: n.self, LeaseTime: testLeaseTime, StopTime: testStopTime, AwaitEvacuations: true})
	n.wake = time.Time{}
	sim.input(n, func(m *Machine, out *Output) {
		if sim.unguarded != nil {
			m.SetConfiguration(sim.now, 1, sim.unguarded, out)
		}
		m.SetInstances(sim.now, sim.others(n), out)
		m.SetEndpoints(sim.now, sim.listedEndpoints(), out)
	})
	sim.readEvacuations(n)
	for _, o := range sim.instances {
		if o != n && o.alive {
			sim.after(testReconnectDelay, func() { sim.connect(n, o) })
		}
	}
}

// dialNeighbours connects an instance to its neighbours, now and after each
// testReconnectDelay.
func (sim *simulation) dialNeighbours(n *fakeInstance, machine *Machine) {
	if n.machine != machine || !n.alive {
		return
	}
	for _, o := range sim.instances {
		if n.neighbours[o.self.ID] {
			sim.connect(n, o)
		}
	}
	sim.after(time.Second, func() { sim.dialNeighbours(n, machine) })
}

// others returns all instances but n.
func (sim *simulation) others(n *fakeInstance) []instance.Info {
	var list []instance.Info
	for _, o := range sim.instances {
		if o != n {
			list = append(list, o.self)
		}
	}
	return list
}

func (sim *simulation) listedEndpoints() []endpoint.Info {
	var list []endpoint.Info
	for _, e := range sim.endpoints {
		if e.up {
			list = append(list, e.listed())
		}
	}
	return list
}

// listEndpoints gives all instances the platform's current list.
func (sim *simulation) listEndpoints() {
	for _, n := range sim.instances {
		if n.blind {
			continue
		}
		sim.input(n, func(m *Machine, out *Output) { m.SetEndpoints(sim.now, sim.listedEndpoints(), out) })
	}
}

// connect opens the stream between two instances if they can reach each other.
func (sim *simulation) connect(a, b *fakeInstance) {
	if !a.neighbours[b.self.ID] && !b.neighbours[a.self.ID] {
		return
	}
	if !a.alive || !b.alive || a.suspended || b.suspended || a.connected[b.index] || sim.cutOff(a.index, b.index) {
		return
	}
	a.connected[b.index], b.connected[a.index] = true, true
	sim.input(a, func(m *Machine, out *Output) { m.PeerJoined(sim.now, b.self, out) })
	sim.input(b, func(m *Machine, out *Output) { m.PeerJoined(sim.now, a.self, out) })
}

// disconnect closes the stream between two instances on both sides.
func (sim *simulation) disconnect(a, b *fakeInstance) {
	if !a.connected[b.index] {
		return
	}
	delete(a.connected, b.index)
	delete(b.connected, a.index)
	for _, p := range [][2]*fakeInstance{{a, b}, {b, a}} {
		ref := p[1].self.Ref
		sim.input(p[0], func(m *Machine, out *Output) { m.PeerLost(sim.now, ref, out) })
	}
}

// cutOff reports whether the network between two instances is partitioned.
func (sim *simulation) cutOff(a, b int) bool { return sim.partitions[[2]int{min(a, b), max(a, b)}] > 0 }

// input passes an input to an instance, when its processor has handled the earlier
// ones and the instance is not suspended.
func (sim *simulation) input(n *fakeInstance, do func(m *Machine, out *Output)) {
	if !n.alive {
		return
	}
	machine := n.machine
	deliver := func() {
		if !n.alive || n.machine != machine {
			return
		}
		var out Output
		do(machine, &out)
		sim.perform(n, &out)
	}
	handle := func() {
		if n.suspended {
			n.inbox = append(n.inbox, deliver)
			return
		}
		deliver()
	}
	if sim.inputTime == 0 {
		handle()
		return
	}
	n.busyUntil = later(n.busyUntil, sim.now).Add(time.Duration(float64(sim.inputTime) / n.self.Size()))
	sim.after(n.busyUntil.Sub(sim.now), handle)
}

func (sim *simulation) perform(n *fakeInstance, out *Output) {
	sim.log = append(sim.log, out.Events...)
	for _, a := range out.Answers {
		sim.handleAnswer(n, a)
	}
	for _, s := range out.Starts {
		sim.observer.startSent(n, s)
		sim.sendOrder(n, startOrder, s.Order, sim.transferStart(n), func(e *fakeEndpoint) Reply { return e.start(s) },
			func(r Reply, m *Machine, out *Output) { m.HandleStartReply(sim.now, StartReply{r, s.Run}, out) })
	}
	for _, s := range out.Stops {
		sim.sendOrder(n, stopOrder, s.Order, 0, func(e *fakeEndpoint) Reply { return e.stop(s) },
			func(r Reply, m *Machine, out *Output) { m.HandleStopReply(sim.now, StopReply{r, s.Run}, out) })
	}
	for _, l := range out.Polls {
		sim.sendPoll(n, l)
	}
	for _, msg := range out.Messages {
		sim.send(n, msg)
	}
	if out.NeighboursChanged {
		sim.setNeighbours(n, out.Neighbours)
	}
	if !out.Wake.IsZero() {
		sim.scheduleTick(n, out.Wake)
	}
}

// setNeighbours sets the peers to which an instance connects.
func (sim *simulation) setNeighbours(n *fakeInstance, infos []instance.Info) {
	first := len(n.neighbours) == 0
	n.neighbours = map[string]bool{}
	for _, i := range infos {
		n.neighbours[i.ID] = true
	}
	if machine := n.machine; first && !sim.fullMesh() {
		sim.after(testReconnectDelay, func() { sim.dialNeighbours(n, machine) })
	}
}

// fullMesh reports whether all instances are neighbours. Their streams are then
// opened again only by the failures that ended them.
func (sim *simulation) fullMesh() bool { return len(sim.instances) <= maxFullMesh }

func (sim *simulation) scheduleTick(n *fakeInstance, at time.Time) {
	if !n.wake.IsZero() && !at.Before(n.wake) {
		return
	}
	n.wake = at
	n.tickNumber++
	number, machine := n.tickNumber, n.machine
	sim.after(max(at.Sub(sim.now), 0), func() {
		if number != n.tickNumber || n.machine != machine || n.suspended {
			return
		}
		n.wake = time.Time{}
		sim.input(n, func(m *Machine, out *Output) { m.Tick(sim.now, out) })
	})
}

// send delivers a message over the stream to its receiver.
func (sim *simulation) send(n *fakeInstance, msg message.Message) {
	o := sim.byRef[msg.To]
	if o == nil || !n.connected[o.index] {
		return
	}
	if _, ok := msg.Body.(message.DataCentreViews); ok {
		if n.former || o.former {
			return
		}
		sim.viewMessages++
		if sim.onViewMessage != nil {
			sim.onViewMessage(n)
		}
	}
	sim.messages++
	sim.checkCounts(msg.Body)
	msg = sim.withoutEvacuations(msg, n, o)
	msg.Body = received(msg.Body)
	sim.after(sim.delayOf(&msg), func() {
		if !n.connected[o.index] || sim.cutOff(n.index, o.index) || o.self.Ref != msg.To {
			return
		}
		sim.input(o, func(m *Machine, out *Output) { m.Receive(sim.now, msg, out) })
	})
}

var address = netip.MustParseAddrPort("10.0.0.1:1")

func needs(cores float64) task.Needs { return task.Needs{Cores: cores, MemoryBytes: 1 << 20} }

func statusOf(ok bool) run.Status {
	if ok {
		return run.Done
	}
	return run.Failed
}
