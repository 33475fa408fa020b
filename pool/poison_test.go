package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/run"
)

// poisonDeadline is how long the callers of these jobs wait.
const poisonDeadline = 2500 * time.Millisecond

// addPoison submits jobs beside a load for the given time: every interval one that
// fails at each attempt, and one that takes many times its estimate.
func (sim *simulation) addPoison(d, interval time.Duration, failing, slow bool) (poison []*callerJob) {
	end := sim.now.Add(d)
	var next func()
	next = func() {
		if sim.now.After(end) {
			return
		}
		at := sim.rng.IntN(len(sim.instances))
		if failing {
			c := sim.newJob(urgent, poisonDeadline, step(8, 60*time.Millisecond))
			c.job.Spec = "fails"
			sim.sendJob(c, at)
			poison = append(poison, c)
		}
		if slow {
			c := sim.newJob(routine, poisonDeadline, step(2, 60*time.Millisecond))
			c.tally, c.runTime = &tally{}, 1500*time.Millisecond
			sim.sendJob(c, at)
		}
		sim.after(interval, next)
	}
	next()
	return poison
}

// poisonTest is a kind of jobs beside the users' mix at 50 % load, and the smallest
// share of the urgent and the routine jobs that must be within their goal.
type poisonTest struct {
	name          string
	failing, slow bool
	minShare      float64
}

// play checks that such jobs cost the others the room that they take, and no more:
// no endpoint is ejected for them, and the others keep their targets. One that fails
// at each attempt ends before its answer would be of no use.
func (tt poisonTest) play(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 28)
	tallies := sim.generateMixedLoad(10*time.Second, 0.5)
	poison := sim.addPoison(10*time.Second, 300*time.Millisecond, tt.failing, tt.slow)
	sim.advance(14 * time.Second)
	logTallies(t, tallies)
	ejected := sim.logged(event.EndpointEjected, "")
	t.Logf("%d ejections, %d of %d runs failed", len(ejected), sim.observer.ends[run.Failed], sim.observer.starts)
	for _, c := range poison {
		is.Equal(len(c.answers), 1)
		is.True(c.answers[0].Kind == fault.TaskFailed || c.answers[0].Kind.Row().NotRun)
		submitted := c.job.Deadline.Add(-poisonDeadline)
		is.True(c.answeredAt.Sub(submitted) <= lateFactor*urgent.Goal(60*time.Millisecond))
	}
	is.Equal(len(ejected), 0)
	for _, name := range []string{"urgent", "routine"} {
		share, _ := tallies[name].shares()
		is.True(share >= tt.minShare)
	}
}

// TestSlowJobsBesideOthers plays jobs that take 25 times their estimate, which bring
// the load to 68 %.
func TestSlowJobsBesideOthers(t *testing.T) {
	t.Parallel()
	poisonTest{slow: true, minShare: 0.97}.play(t)
}

// TestFailingJobsBesideOthers plays jobs that fail at each attempt, which bring the
// load to 61 %, and to 79 % with the slow ones. The shares are those that TestLoads
// demands for 60 % and 80 %.
func TestFailingJobsBesideOthers(t *testing.T) {
	t.Parallel()
	for _, tt := range []poisonTest{
		{"failing", true, false, 0.97},
		{"failing and slow", true, true, 0.9},
	} {
		t.Run(tt.name, tt.play)
	}
}
