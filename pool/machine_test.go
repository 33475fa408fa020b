package pool

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/route"
	"github.com/lovagecrank/lovagecrank/run"
)

// urgent and routine are queues of the kind that the users have.
var (
	urgent  = &route.Queue{Name: "urgent", Service: "s", Priority: 0, Attempts: 4, SlackFactor: 1.6, Target: 60 * time.Millisecond}
	routine = &route.Queue{Name: "routine", Service: "s", Priority: 1, Attempts: 2, SlackFactor: 1.6, Target: 60 * time.Millisecond}
)

func step(tasks int, estimate time.Duration) Step {
	return Step{Tasks: tasks, Needs: needs(6.8), Estimate: estimate}
}

// settled returns a world in which all endpoints have a holder.
func settled(t testing.TB, seed uint64, nodes, endpoints int) *world {
	w := newWorld(t, seed, nodes, endpoints)
	w.run(2 * time.Second)
	return w
}

func TestEveryEndpointHasOneHolder(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 4, 12)
	holders := map[string]int{}
	for _, n := range w.nodes {
		for id, h := range n.machine.endpoints {
			if h.open {
				holders[id]++
				is.Equal(h.info.DataCentre, n.self.DataCentre)
			}
		}
	}
	is.Equal(len(holders), 12)
	for _, n := range holders {
		is.Equal(n, 1)
	}
}

func TestJobCompletes(t *testing.T) {
	tests := []struct {
		name  string
		steps []Step
		want  time.Duration
	}{
		{"one task", []Step{step(1, 100*time.Millisecond)}, 120 * time.Millisecond},
		{"more tasks than the home's places", []Step{step(20, 100*time.Millisecond)}, 130 * time.Millisecond},
		{"a step after another", []Step{step(2, 50*time.Millisecond), {Tasks: 1, Needs: needs(1), Estimate: 50 * time.Millisecond, After: []int{0}}}, 130 * time.Millisecond},
		{"spread over endpoints", []Step{{Tasks: 4, Needs: needs(1), Estimate: 50 * time.Millisecond, Spread: 1}}, 120 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := settled(t, 1, 4, 12)
			c := w.submit(0, urgent, 2*time.Second, tt.steps...)
			w.run(tt.want)
			is.Equal(len(c.answers), 1) // answered in time
			is.True(c.answers[0] == nil)
		})
	}
}

func TestJobThatAlwaysFails(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 2, 4)
	w.lastJob++
	c := &clientJob{job: Job{ID: "bad", Queue: routine, Spec: "fails", Steps: []Step{step(1, 20*time.Millisecond)}, Deadline: w.now.Add(2 * time.Second)}}
	w.watch.jobs["bad"] = c
	w.try(c, 0)
	w.run(time.Second)
	is.Equal(len(c.answers), 1)
	is.Equal(c.answers[0].Kind, fault.TaskFailed)
	is.Equal(w.watch.ends[run.Failed], routine.Attempts)
}

func TestTooLargeJobFailsPlainly(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 2, 4)
	c := w.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(17), Estimate: 20 * time.Millisecond})
	is.Equal(len(c.answers), 1)
	is.Equal(c.answers[0].Kind, fault.NoEndpointFits)
}

// A task that runs many times longer than its estimate ends all the same: it is
// tried elsewhere once, and left alone then.
func TestLongRunEnds(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 2, 4)
	c := w.newJob(routine, 4*time.Second, step(1, 100*time.Millisecond))
	c.run, c.tally = 2*time.Second, &tally{}
	w.try(c, 0)
	w.run(4 * time.Second)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
	is.True(w.watch.starts <= 2)
}

// A job that fits nowhere does not count in what tasks usually need.
func TestTooLargeJobTeachesNothing(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 2, 4)
	w.submit(0, urgent, time.Second, Step{Tasks: 1, Needs: needs(99), Estimate: 20 * time.Millisecond})
	c := w.submit(0, urgent, time.Second, step(2, 20*time.Millisecond))
	w.run(100 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// A caller that leaves ends what runs for it at once.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 4, 12)
	c := w.submit(0, urgent, 4*time.Second, step(20, 2*time.Second))
	w.run(50 * time.Millisecond)
	w.leave(c)
	w.run(testStop + 20*time.Millisecond)
	is.Equal(w.watch.ends[run.Stopped], 20)
}

// A job that a home gets again, after its first request was lost, does not run
// twice at once.
func TestSameJobAgain(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 4, 12)
	c := w.submit(0, urgent, 4*time.Second, step(8, 300*time.Millisecond))
	w.run(20 * time.Millisecond)
	w.try(c, 0)
	w.run(time.Second)
	is.Equal(c.answers[len(c.answers)-1], nil)
}

// What can't be met is refused at once, with a time to come back; callers that
// are refused together come back apart.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 2, 4)
	var refused []*clientJob
	for range 60 {
		c := w.submit(0, routine, 2*time.Second, step(2, 200*time.Millisecond))
		if len(c.answers) == 1 {
			refused = append(refused, c)
		}
	}
	is.True(len(refused) > 20)
	hints := map[time.Duration]bool{}
	for _, c := range refused {
		is.True(c.answers[0].Kind.Row().NotRun)
		is.True(c.answers[0].RetryAfter > 0)
		hints[c.answers[0].RetryAfter] = true
	}
	is.True(len(hints) > 10)
}

// Lower classes yield first: an urgent job that comes to a full system starts
// before routine ones that wait, wherever they wait.
func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 2, 4)
	for i := range 8 {
		w.submit(i%2, routine, 4*time.Second, step(2, 300*time.Millisecond))
	}
	w.run(10 * time.Millisecond)
	c := w.submit(0, urgent, 4*time.Second, step(4, 60*time.Millisecond))
	w.run(370 * time.Millisecond)
	is.Equal(len(c.answers), 1)
	is.True(c.answers[0] == nil)
}

// An address that changes is no proof that the endpoint has started anew: an
// instance that learnt the list from a peer while the store was away may get
// another one from the store. (Found by platform/soak, seed 24.)
func TestMovedEndpointRunsOn(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *fakeEndpoint, i *endpoint.Info)
		again  bool
	}{
		{"the same boot", func(e *fakeEndpoint, i *endpoint.Info) { i.Born = e.born }, false},
		{"the boot is not told", func(_ *fakeEndpoint, i *endpoint.Info) { i.Born = time.Time{} }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := settled(t, 1, 2, 6)
			c := w.submit(0, &longQueue, 8*time.Second, step(9, 600*time.Millisecond))
			w.run(200 * time.Millisecond)
			for _, n := range w.nodes {
				list := w.listing()
				for i := range 2 { // one of each data centre
					list[i].Address = netip.MustParseAddrPort("10.0.0.2:2")
					tt.change(w.endpoints[i], &list[i])
				}
				w.input(n, func(m *Machine, out *Output) { m.SetEndpoints(w.now, list, out) })
			}
			w.run(6 * time.Second)
			is.Equal(len(c.answers), 1)
			is.True(c.answers[0] == nil)
			is.Equal(w.watch.starts > 9, tt.again) // the observer sees a second start that is too early
		})
	}
}
