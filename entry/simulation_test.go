package entry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/lovagecrank/lovagecrank/team"
)

// hop is the network delay of one message.
const hop = 500 * time.Microsecond

type (
	// simulation runs several machines on a virtual clock with fakes for the
	// network, the store and the endpoints.
	simulation struct {
		now       time.Time
		queue     events
		order     int
		instances []*simInstance
		byID      map[string][]*simInstance
		listed    []endpoint.Info
		rows      map[string]storage.Row
		rng       *rand.Rand
		// starts counts how often endpoints started each task.
		starts  map[task.Ref]int
		results map[uint64]job.Result
		callSeq uint64
		// storeCalls counts calls to the store.
		storeCalls int
		// targets are the instances that callers sent the calls to.
		targets map[uint64]*simInstance
		// onMessage, if set, is called for each message sent.
		onMessage func(m message.Message)
		// onInput, if set, is called with the elapsed real time of each input.
		onInput func(label string, d time.Duration)
		// overrideEnd, if set, may change how a task run ends.
		overrideEnd func(si *simInstance, s entry.Start, end *entry.End)
		// faults injects no faults in its zero value.
		faults faults
		// observer, if set, is notified of each submission, start and reply.
		observer *observer
	}

	// faults are the faults that a simulation injects.
	faults struct {
		// partitioned holds pairs of data centres, sender first, between which
		// messages are dropped.
		partitioned map[[2]string]bool
		// storeOutcome and storeDelay apply to each store call.
		storeOutcome storage.Outcome
		storeDelay   time.Duration
		// messageLoss and answerLoss are probabilities from 0 to 1.
		messageLoss, answerLoss float64
		// failing endpoints fail each task, refusing ones refuse it.
		failing, refusing map[string]bool
	}

	// simInstance is one simulated process of an instance. A restarted instance
	// is a new simInstance.
	simInstance struct {
		machine *entry.Machine
		info    instance.Info
		actions entry.Actions
		wake    time.Time
		dead    bool
		// closed means that the instance accepts no more connections from
		// callers.
		closed bool
		// suspendedUntil is when a suspended process resumes. Its inputs are
		// delayed until then.
		suspendedUntil time.Time
	}

	// event is a function to run at a time. order is the order of events of the
	// same time.
	event struct {
		at    time.Time
		order int
		run   func()
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulation returns a simulation with the given number of instances and
// endpoints per data centre, and a configuration of two classes in the store.
func newSimulation(seed uint64, dataCentres, instances, endpoints int) *simulation {
	sim := &simulation{
		now:     time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC),
		rows:    map[string]storage.Row{},
		rng:     rand.New(rand.NewPCG(seed, 1)),
		byID:    map[string][]*simInstance{},
		targets: map[uint64]*simInstance{},
		starts:  map[task.Ref]int{},
		results: map[uint64]job.Result{},
	}
	d := configuration.Document{
		Version:  1,
		ChangeID: "first",
		Classes:  []class.Class{{Name: "urgent", Target: time.Second}, {Name: "sweep", Target: time.Minute}},
		Teams:    []team.Team{{Name: "amplifiers"}},
	}
	value, err := d.Encode()
	if err != nil {
		panic(err)
	}
	sim.rows["configuration"] = storage.Row{Key: "configuration", Value: value, Version: 1}
	for dc := range dataCentres {
		name := fmt.Sprintf("dc-%d", dc)
		for i := range endpoints {
			sim.listed = append(sim.listed, endpoint.Info{
				ID:         fmt.Sprintf("w-%d-%d", dc, i),
				Address:    netip.MustParseAddrPort("127.0.0.1:9"),
				DataCentre: name,
				Rack:       fmt.Sprintf("r-%d-%d", dc, i/6),
				Slots:      8, Connections: 64,
				Size: task.Needs{Cores: 16, MemoryBytes: 64 << 30},
			})
		}
		for i := range instances {
			sim.add(instance.Ref{DataCentre: name, ID: fmt.Sprintf("i-%d-%d", dc, i), Incarnation: 1})
		}
	}
	return sim
}

// add starts an instance and updates the instance list of all machines.
func (sim *simulation) add(ref instance.Ref) *simInstance {
	info := instance.Info{Ref: ref, Address: netip.MustParseAddrPort("127.0.0.1:9")}
	si := &simInstance{info: info}
	si.machine = entry.New(entry.Settings{Self: info, Seed: uint64(len(sim.instances) + 1)}, sim.now)
	sim.instances = append(sim.instances, si)
	sim.byID[ref.ID] = append(sim.byID[ref.ID], si)
	sim.do(si, func(a *entry.Actions) { si.machine.SetEndpoints(sim.now, sim.listed, a) })
	for _, si := range sim.instances {
		sim.do(si, func(a *entry.Actions) { si.machine.SetInstances(sim.now, sim.listInstances(), a) })
	}
	return si
}

func (sim *simulation) listInstances() []instance.Info {
	var infos []instance.Info
	for _, si := range sim.instances {
		if !si.dead {
			infos = append(infos, si.info)
		}
	}
	return infos
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), order: sim.order, run: run})
}

// advance advances the clock by d.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// do passes one input to a machine and executes the resulting actions.
func (sim *simulation) do(i *simInstance, input func(a *entry.Actions)) { sim.doAs("other", i, input) }

func (sim *simulation) doAs(label string, si *simInstance, input func(a *entry.Actions)) {
	if si.dead {
		return
	}
	if sim.now.Before(si.suspendedUntil) {
		sim.after(si.suspendedUntil.Sub(sim.now), func() { sim.doAs(label, si, input) })
		return
	}
	si.actions.Reset()
	began := time.Now()
	input(&si.actions)
	if sim.onInput != nil {
		sim.onInput(label, time.Since(began))
	}
	a := si.actions
	si.actions = entry.Actions{}
	for _, r := range a.Replies {
		sim.observer.replied(sim, r)
		sim.results[r.Call] = r.Result
	}
	for _, s := range a.Starts {
		sim.startTask(si, s)
	}
	for _, c := range a.Calls {
		sim.after(3*hop, func() { sim.callStore(si, c) })
	}
	for _, m := range a.Messages {
		if sim.onMessage != nil {
			sim.onMessage(m)
		}
		sim.after(hop, func() { sim.deliver(m) })
	}
	sim.scheduleTick(si, a.Wake)
}

func (sim *simulation) scheduleTick(si *simInstance, at time.Time) {
	if at.IsZero() || at.Equal(si.wake) {
		return
	}
	si.wake = at
	sim.after(max(at.Sub(sim.now), time.Microsecond), func() {
		if si.wake.Equal(at) {
			si.wake = time.Time{}
			sim.doAs("tick", si, func(a *entry.Actions) { si.machine.Tick(sim.now, a) })
		}
	})
}

// startTask runs a task on a fake endpoint for its declared run time, unless
// faults or overrideEnd change the outcome.
func (sim *simulation) startTask(si *simInstance, s entry.Start) {
	runTime := s.Job.Tasks[s.Ref.Index].RunTime
	end := entry.End{Ref: s.Ref, Attempt: s.Attempt, Outcome: endpoint.Answered, Answer: []byte(`1`), RunTime: runTime}
	switch {
	case sim.faults.refusing[s.Endpoint.ID]:
		end.Outcome = endpoint.Refused
		end.RunTime = 0
	case sim.faults.failing[s.Endpoint.ID]:
		end.Outcome = endpoint.Failed
		end.RunTime = time.Millisecond
	case sim.rng.Float64() < sim.faults.answerLoss:
		end.Outcome = endpoint.Lost
	}
	if sim.overrideEnd != nil {
		sim.overrideEnd(si, s, &end)
	}
	if end.Outcome != endpoint.Refused {
		sim.starts[s.Ref]++
		sim.observer.started(sim, s)
	}
	sim.after(2*hop+end.RunTime, func() {
		sim.doAs("finished", si, func(a *entry.Actions) { si.machine.Finished(sim.now, end, a) })
	})
}

// callStore executes a store call. A call with the outcome Unknown takes effect
// with a probability of one half.
func (sim *simulation) callStore(si *simInstance, c storage.Call) {
	sim.storeCalls++
	r := storage.Reply{Number: c.Number, Outcome: sim.faults.storeOutcome}
	if r.Outcome == storage.Done || r.Outcome == storage.Unknown && sim.rng.IntN(2) == 0 {
		applied := sim.applyCall(c)
		if r.Outcome == storage.Done {
			r = applied
		}
	}
	sim.after(3*hop+sim.faults.storeDelay, func() {
		sim.do(si, func(a *entry.Actions) { si.machine.HandleStoreReply(sim.now, r, a) })
	})
}

func (sim *simulation) applyCall(c storage.Call) storage.Reply {
	r := storage.Reply{Number: c.Number}
	for _, key := range c.Get {
		row := sim.rows[key]
		row.Key = key
		r.Rows = append(r.Rows, row)
	}
	for _, write := range c.Insert {
		row := sim.rows[write.Key]
		ok := row.Version == write.Version
		if ok {
			row = storage.Row{Key: write.Key, Value: write.Value, Version: row.Version + 1}
			sim.rows[write.Key] = row
		}
		r.Rows = append(r.Rows, row)
		r.Applied = append(r.Applied, ok)
	}
	return r
}

func (sim *simulation) deliver(m message.Message) {
	if sim.faults.partitioned[[2]string{m.From.DataCentre, m.To.DataCentre}] || sim.rng.Float64() < sim.faults.messageLoss {
		return
	}
	for _, si := range sim.byID[m.To.ID] {
		if si.info.DataCentre == m.To.DataCentre && !si.dead {
			sim.doAs(fmt.Sprintf("%T", m.Body), si, func(a *entry.Actions) { si.machine.Receive(sim.now, m, a) })
		}
	}
}

// submit submits a job to an instance and returns the number of the call.
func (sim *simulation) submit(si *simInstance, j job.Job) uint64 {
	sim.callSeq++
	call := sim.callSeq
	sim.targets[call] = si
	sim.observer.submitted(call, j)
	sim.doAs("submit", si, func(a *entry.Actions) { si.machine.Submit(sim.now, call, j, true, a) })
	return call
}

func newTasks(n int, runTime time.Duration) []task.Task {
	var list []task.Task
	for i := range n {
		list = append(list, task.Task{ID: fmt.Sprintf("t-%d", i), Payload: []byte(`{}`), RunTime: runTime})
	}
	return list
}
