package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// newHolder returns an instance that holds endpoints, and the references of two
// peers of it. Its outputs are read by the test and not carried out.
func newHolder(t *testing.T, endpoints int) (sim *simulation, m *Machine, a, b instance.Ref) {
	sim = newFleet(t, 1, 1, 3, endpoints)
	sim.advance(2 * time.Second)
	for i, n := range sim.instances {
		if len(n.machine.held) == endpoints || endpoints > 1 && len(n.machine.held) > 1 {
			return sim, n.machine, sim.instances[(i+1)%3].self.Ref, sim.instances[(i+2)%3].self.Ref
		}
	}
	t.Fatal("no instance holds enough endpoints")
	return nil, nil, a, b
}

// receive passes a message to the machine and returns its output.
func receive(sim *simulation, m *Machine, from instance.Ref, body message.Body) *Output {
	out := &Output{}
	m.Receive(sim.now, message.Message{From: from, To: m.cfg.Self.Ref, Body: body}, out)
	return out
}

// acceptStart makes the endpoint accept the only start of the output, and returns
// the endpoint's ID.
func acceptStart(t *testing.T, sim *simulation, m *Machine, out *Output) string {
	t.Helper()
	if len(out.Starts) != 1 {
		t.Fatalf("%d starts", len(out.Starts))
	}
	s := out.Starts[0]
	r := Reply{Endpoint: s.Endpoint.ID, Token: s.Token, Outcome: Accepted, Clock: sim.byID[s.Endpoint.ID].clock(), Sent: sim.now}
	m.HandleStartReply(sim.now, StartReply{r, s.Run}, &Output{})
	return s.Endpoint.ID
}

// sameRef is the first run of a task. Run numbers begin at 1 again when a caller
// sends its job again, at whichever instance.
var sameRef = run.Ref{Task: "j.0.0.0", Number: 1}

func startOf(ref run.Ref) message.StartRun {
	return message.StartRun{Run: ref, Service: "s", Spec: "x", Needs: needs(1), Estimate: time.Second}
}

// TestStopOfAnotherHome tests that a home's StopRun stops its own run only, also
// if a run of the same name belongs to another home: the caller sent its job again
// there, and the first home stops what it started.
func TestStopOfAnotherHome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, m, a, b := newHolder(t, 6)
	at := acceptStart(t, sim, m, receive(sim, m, a, startOf(sameRef)))
	out := receive(sim, m, b, message.StopRun{Run: sameRef})
	is.Equal(len(out.Stops), 0) // b has no such run here
	out = receive(sim, m, a, message.StopRun{Run: sameRef})
	is.Equal(len(out.Stops), 1)
	is.Equal(out.Stops[0].Endpoint.ID, at)
}

// TestRunsOfTwoHomesWithOneName tests that the runs of two homes with one name
// do not replace each other on an endpoint: each home hears of its run.
func TestRunsOfTwoHomesWithOneName(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, m, a, b := newHolder(t, 1)
	id := acceptStart(t, sim, m, receive(sim, m, a, startOf(sameRef)))
	receive(sim, m, b, startOf(sameRef))
	e := m.endpoints[id]
	is.Equal(e.used.Cores, float64(len(e.runs))) // no slot is lost
	out := &Output{}
	m.finishRun(sim.now, e, sameRef, run.Stopped, out)
	informed := map[instance.Ref]bool{}
	for _, msg := range append(out.Messages, m.outputOfEnd(sim.now, e)...) {
		if _, ok := msg.Body.(message.RunUpdate); ok {
			informed[msg.To] = true
		}
	}
	is.True(informed[a]) // the home whose run was there first hears of its end
}

// outputOfEnd ends any further run of the name and returns the messages.
func (m *Machine) outputOfEnd(now time.Time, e *endpointState) []message.Message {
	out := &Output{}
	m.finishRun(now, e, sameRef, run.Stopped, out)
	return out.Messages
}

// TestUpdateOfAnotherHolder tests that a home does not take the update of another
// instance for one about its run: it may be late and about a run of the same name
// of an earlier request. The observer fails the test if a second run starts.
func TestUpdateOfAnotherHolder(t *testing.T) {
	t.Parallel()
	for _, status := range []run.Status{run.NotRun, run.Stopped, run.Failed, run.Expired} {
		t.Run(status.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newFleet(t, 1, 1, 3, 6)
			sim.advance(2 * time.Second)
			home := sim.instances[0]
			c := sim.submit(0, &longQueue, 8*time.Second, step(1, 500*time.Millisecond))
			sim.advance(50 * time.Millisecond)
			task := home.machine.tasks[taskName(c.job.ID, 0, 0)]
			is.Equal(task.number, int64(1))
			for _, n := range sim.instances[1:] {
				if n.self.Ref == task.holder {
					continue
				}
				msg := message.Message{From: n.self.Ref, To: home.self.Ref, Body: message.RunUpdate{Run: run.Ref{Task: task.name, Number: 1}, Status: status, Endpoint: "e"}}
				sim.input(home, func(m *Machine, out *Output) { m.Receive(sim.now, msg, out) })
				break
			}
			sim.advance(2 * time.Second)
			is.Equal(sim.observer.starts, 1)
		})
	}
}

// TestExpectedRunOfAnotherHome tests that a home that expects a run hears that its
// start was lost with the stream, also if another home has a run of the same name
// here.
func TestExpectedRunOfAnotherHome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, m, a, b := newHolder(t, 6)
	acceptStart(t, sim, m, receive(sim, m, a, startOf(sameRef)))
	out := receive(sim, m, b, message.Runs{Runs: []run.Ref{sameRef}})
	informed := 0
	for _, msg := range out.Messages {
		if u, ok := msg.Body.(message.RunUpdate); ok && msg.To == b && u.Run == sameRef {
			informed++
		}
	}
	is.Equal(informed, 1) // b hears of its run
}

// TestStartBesideRunOfAnotherHome tests that a holder does not start a task while it
// has a run of the same task for another home, whatever the numbers of the two runs:
// the second home waits for a lease and then asks with the next number.
func TestStartBesideRunOfAnotherHome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, m, a, b := newHolder(t, 6)
	acceptStart(t, sim, m, receive(sim, m, a, startOf(sameRef)))
	is.Equal(len(receive(sim, m, b, startOf(sameRef)).Starts), 0)
	next := run.Ref{Task: sameRef.Task, Number: sameRef.Number + 1}
	is.Equal(len(receive(sim, m, b, startOf(next)).Starts), 0) // a's run is still on
}

// TestOrphanUpdateOfAnotherHolder guards against forgetting an orphaned run because of
// an update of an instance that does not hold it.
func TestOrphanUpdateOfAnotherHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 3, 6)
	sim.advance(2 * time.Second)
	home := sim.instances[0]
	c := sim.submit(0, &longQueue, 8*time.Second, step(1, 500*time.Millisecond))
	sim.advance(50 * time.Millisecond)
	name := taskName(c.job.ID, 0, 0)
	holder := home.machine.tasks[name].holder
	sim.disconnectCaller(c)
	_, ok := home.machine.orphans[name]
	is.True(ok)
	for _, n := range sim.instances[1:] {
		if n.self.Ref != holder {
			u := message.RunUpdate{Run: run.Ref{Task: name, Number: 1}, Status: run.Stopped}
			home.machine.Receive(sim.now, message.Message{From: n.self.Ref, To: home.self.Ref, Body: u}, &Output{})
			_, ok = home.machine.orphans[name]
			is.True(ok)
		}
	}
}

// TestOwnTaskBesideRunOfAnotherHome guards against a home that starts a task on its own
// endpoints while it has a run of the task there for another home.
func TestOwnTaskBesideRunOfAnotherHome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim, m, a, _ := newHolder(t, 6)
	ref := run.Ref{Task: "j0001.0.0.0", Number: 1} // the first job of the simulation
	acceptStart(t, sim, m, receive(sim, m, a, startOf(ref)))
	for i, n := range sim.instances {
		if n.machine == m {
			c := sim.submit(i, &longQueue, 8*time.Second, step(1, 500*time.Millisecond))
			is.Equal(taskName(c.job.ID, 0, 0), ref.Task)
		}
	}
	is.True(!m.tasks[ref.Task].notBefore.IsZero()) // it waits for a lease
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.observer.starts, 0)
}
