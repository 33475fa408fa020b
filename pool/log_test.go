package pool

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
)

// logged returns the details of the events of a kind about the subject. An empty
// subject means any.
func (sim *simulation) logged(k event.Kind, subject string) []string {
	var details []string
	for _, e := range sim.log {
		if e.Kind == k && (subject == "" || e.Subject == subject) {
			details = append(details, e.Detail)
		}
	}
	return details
}

// bigStep is a step of one task that needs a complete endpoint.
func bigStep(estimate time.Duration) Step {
	return Step{Tasks: 1, Needs: needs(16), Estimate: estimate}
}

// submitFailing submits a job whose task fails each time.
func submitFailing(sim *simulation) *callerJob {
	c := sim.newJob(routine, 2*time.Second, step(1, 20*time.Millisecond))
	c.job.Spec = "fails"
	sim.sendJob(c, 0)
	return c
}

// TestReasonsOfAnswers tests that each reason for which the platform's path
// refuses or ends a job can occur, and that its log line has the code of the
// answer.
func TestReasonsOfAnswers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		play func(sim *simulation) *callerJob
		line event.Kind
		want fault.Kind
	}{
		{"a task that fits nowhere", func(sim *simulation) *callerJob {
			return sim.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(17), Estimate: 20 * time.Millisecond})
		}, event.JobRefused, fault.NoEndpointFits},
		{"a deadline before the end of the work", func(sim *simulation) *callerJob {
			return sim.submit(0, routine, 50*time.Millisecond, step(1, 100*time.Millisecond))
		}, event.JobRefused, fault.DeadlineTooNear},
		{"more work than the goal allows", func(sim *simulation) *callerJob {
			c := sim.submit(0, routine, 4*time.Second, step(2, 200*time.Millisecond))
			for len(c.answers) == 0 {
				c = sim.submit(0, routine, 4*time.Second, step(2, 200*time.Millisecond))
			}
			return c
		}, event.JobRefused, fault.QueueFull},
		{"work that would outlast a planned stop", func(sim *simulation) *callerJob {
			sim.input(sim.instances[0], func(m *Machine, out *Output) { m.BeginStop(sim.now, sim.now.Add(time.Second), out) })
			return sim.submit(0, &longQueue, 4*time.Second, step(1, 900*time.Millisecond))
		}, event.JobRefused, fault.Stopping},
		{"no endpoint that takes work", func(sim *simulation) *callerJob {
			for _, e := range sim.endpoints {
				e.info.Draining = true
			}
			for _, n := range sim.instances {
				sim.input(n, func(m *Machine, out *Output) { m.SetEndpoints(sim.now, sim.listedEndpoints(), out) })
			}
			sim.advance(100 * time.Millisecond)
			return sim.submit(0, routine, 4*time.Second, step(1, 100*time.Millisecond))
		}, event.JobRefused, fault.EndpointsUnavailable},
		{"a suspension before a start", func(sim *simulation) *callerJob {
			for range 2 {
				sim.submit(0, &longQueue, 8*time.Second, bigStep(500*time.Millisecond))
			}
			c := sim.submit(0, &longQueue, 8*time.Second, bigStep(500*time.Millisecond))
			sim.input(sim.instances[0], func(m *Machine, _ *Output) { m.RecordSuspension(2 * time.Second) })
			sim.advance(60 * time.Millisecond)
			return c
		}, event.JobRefused, fault.NotReady},
		{"a holder that is lost", func(sim *simulation) *callerJob {
			c := sim.submit(0, &longQueue, 2*time.Second, step(8, 900*time.Millisecond))
			sim.after(100*time.Millisecond, func() { sim.kill(1, true) })
			return c
		}, event.JobFailed, fault.OutcomeUnknown},
		{"a task that always fails", submitFailing, event.JobFailed, fault.TaskFailed},
		{"a cancelled job", func(sim *simulation) *callerJob {
			c := sim.submit(0, routine, 2*time.Second, step(1, 500*time.Millisecond))
			sim.input(sim.instances[0], func(m *Machine, out *Output) { m.Cancel(sim.now, c.job.ID, out) })
			return c
		}, event.JobFailed, fault.Cancelled},
		{"a run beyond the deadline", func(sim *simulation) *callerJob {
			c := sim.newJob(routine, time.Second, step(1, 100*time.Millisecond))
			c.runTime, c.tally = 9*time.Second, &tally{}
			sim.sendJob(c, 0)
			return c
		}, event.JobFailed, fault.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newFleet(t, 1, 1, 2, 2)
			sim.advance(2 * time.Second)
			c := tt.play(sim)
			sim.advance(2 * time.Second)
			is.True(len(c.answers) > 0)
			is.True(c.answers[0] != nil)
			is.Equal(c.answers[0].Kind, tt.want)
			lines := sim.logged(tt.line, c.job.ID)
			is.True(len(lines) > 0)
			is.True(strings.HasPrefix(lines[0], tt.want.Row().Code+" "))
		})
	}
}

// TestEventsOfTroubles tests that each trouble is logged with the event that
// documents it.
func TestEventsOfTroubles(t *testing.T) {
	t.Parallel()
	stops := []orderKind{stopOrder}
	starts := []orderKind{startOrder}
	job := func(sim *simulation) *callerJob {
		return sim.submit(0, routine, 4*time.Second, step(4, 200*time.Millisecond))
	}
	tests := []struct {
		name string
		play func(sim *simulation)
		want []event.Kind
	}{
		{"a calm start", func(*simulation) {}, []event.Kind{event.PeerJoined, event.EndpointAdded, event.EndpointsClaimed}},
		{"a complete job", func(sim *simulation) { job(sim) }, []event.Kind{event.JobAnswered}},
		{"a task that always fails", func(sim *simulation) { submitFailing(sim) }, []event.Kind{event.RunFailed, event.FailureCounted, event.JobFailed}},
		{"refused starts", func(sim *simulation) {
			sim.addTrouble(300*time.Millisecond, trouble{problem: refused, kinds: starts, share: 1})
			job(sim)
		}, []event.Kind{event.EndpointRefused}},
		{"lost answers and refused stops", func(sim *simulation) {
			sim.addTrouble(600*time.Millisecond, trouble{problem: answerReset, kinds: starts, share: 1})
			sim.addTrouble(600*time.Millisecond, trouble{problem: refused, kinds: stops, share: 1})
			job(sim)
		}, []event.Kind{event.StartUnanswered, event.StopNotAccepted}},
		{"lost starts and refused stops", func(sim *simulation) {
			sim.addTrouble(2*time.Second, trouble{problem: refused, kinds: stops, share: 1})
			sim.lateShare = 1
			job(sim)
			sim.lateShare = 0
		}, []event.Kind{event.StartUnanswered, event.RunConcluded}},
		{"runs that stall", func(sim *simulation) {
			for _, e := range sim.endpoints {
				e.hangs = true
			}
			job(sim)
		}, []event.Kind{event.RunStalled}},
		{"an endpoint that is cut off", func(sim *simulation) {
			for n := range sim.instances {
				sim.partitionEndpoint(n, 0, 3*time.Second)
			}
			sim.submit(0, &longQueue, 4*time.Second, step(8, time.Second))
		}, []event.Kind{event.EndpointUnresponsive, event.EndpointAnswers}},
		{"an endpoint that restarts", func(sim *simulation) {
			sim.endpoints[0].crash(100 * time.Millisecond)
			sim.submit(0, &longQueue, 4*time.Second, step(8, time.Second))
		}, []event.Kind{event.EndpointAnswers}},
		{"endpoints that refuse for a while", func(sim *simulation) {
			sim.addTrouble(3*time.Second, trouble{problem: refused, kinds: starts, share: 1})
			for i := range 20 {
				sim.after(time.Duration(i)*250*time.Millisecond, func() { job(sim) })
			}
		}, []event.Kind{event.EndpointEjected, event.EndpointReadmitted}},
		{"a planned stop", func(sim *simulation) {
			sim.input(sim.instances[0], func(m *Machine, out *Output) { m.BeginStop(sim.now, sim.now.Add(5*time.Second), out) })
		}, []event.Kind{event.EndpointsReleased, event.EndpointsClaimed}},
		{"a stream that is reset", func(sim *simulation) {
			a, b := sim.instances[0], sim.instances[1]
			sim.disconnect(a, b)
			sim.after(100*time.Millisecond, func() { sim.connect(a, b) })
		}, []event.Kind{event.PeerLost, event.PeerJoined}},
		{"an endpoint that leaves the list", func(sim *simulation) {
			sim.input(sim.instances[0], func(m *Machine, out *Output) { m.SetEndpoints(sim.now, sim.listedEndpoints()[1:], out) })
		}, []event.Kind{event.EndpointDraining}},
		{"a holder that loses power", func(sim *simulation) {
			sim.submit(0, &longQueue, 8*time.Second, step(8, time.Second))
			sim.after(100*time.Millisecond, func() { sim.kill(1, true) })
		}, []event.Kind{event.PeerLost, event.RunsUnconfirmed}},
		{"a caller that disconnects", func(sim *simulation) { sim.disconnectCaller(job(sim)) }, []event.Kind{event.CallerDisconnected, event.JobFailed}},
		{"a suspension", func(sim *simulation) { sim.suspend(0, 3*time.Second) }, []event.Kind{event.Suspended, event.PeerLost}},
		{"a partition of the holders", func(sim *simulation) {
			sim.partitionInstances(0, 1, 5*time.Second)
			for i := range 2 {
				sim.after(4*time.Second, func() { sim.submit(i, &longQueue, 4*time.Second, step(16, 100*time.Millisecond)) })
			}
		}, []event.Kind{event.PeerLost, event.EndpointFenced}},
		{"an overload", func(sim *simulation) {
			for range 40 {
				sim.submit(0, routine, 2*time.Second, step(2, 200*time.Millisecond))
			}
		}, []event.Kind{event.JobRefused}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newFleet(t, 1, 1, 2, 4)
			sim.advance(2 * time.Second)
			tt.play(sim)
			sim.advance(6 * time.Second)
			for _, k := range tt.want {
				t.Log(k.Entry().Code, k.Entry().Title)
				is.True(len(sim.logged(k, "")) > 0) // the event is logged
			}
		})
	}
}

// TestHistoryOfRestarts tests that a job's last line tells how often a task failed
// and how often a holder declined to start it.
func TestHistoryOfRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newFleet(t, 1, 1, 2, 4)
	sim.advance(2 * time.Second)
	failed := submitFailing(sim)
	sim.advance(time.Second)
	lines := sim.logged(event.JobFailed, failed.job.ID)
	is.True(strings.HasSuffix(lines[len(lines)-1], "(2 failed)"))

	other := sim.instances[1]
	c := sim.submit(0, &longQueue, 8*time.Second, step(8, 200*time.Millisecond))
	sim.input(other, func(m *Machine, _ *Output) { m.resumedAt = sim.now }) // it declines all starts for a while
	sim.advance(4 * time.Second)
	lines = sim.logged(event.JobAnswered, c.job.ID)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], " declined)"))
}
