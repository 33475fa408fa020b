package pool

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
)

// crashDeadline is how long the callers of jobs with crashing tasks wait, unless a
// test says otherwise: long enough for several crashes, each of which is proved after
// crashDowntime.
const crashDeadline = 20 * time.Second

// crashCase is a job with a task that crashes its endpoints, beside something else
// that goes wrong.
type crashCase struct {
	name    string
	disturb func(sim *simulation, c *callerJob)
}

// every calls do each period until the job is answered or its deadline has passed.
func (sim *simulation) every(period time.Duration, c *callerJob, do func()) {
	sim.after(period, func() {
		if sim.now.After(c.job.Deadline) {
			return
		}
		do()
		sim.every(period, c, do)
	})
}

// homeOf returns the index of the instance that handles the job; -1 if none does.
func (sim *simulation) homeOf(c *callerJob) int {
	for _, n := range sim.instances {
		if n.alive && n.machine.HasJob(c.job.ID) {
			return n.index
		}
	}
	return -1
}

var crashCases = []crashCase{
	{"nothing else", func(*simulation, *callerJob) {}},
	{"the home is killed once", func(sim *simulation, c *callerJob) {
		sim.after(500*time.Millisecond, func() { sim.killForWhile(sim.homeOf(c), false) })
	}},
	{"the home loses power after the second crash", func(sim *simulation, c *callerJob) {
		sim.after(1500*time.Millisecond, func() { sim.killForWhile(sim.homeOf(c), true) })
	}},
	{"the home is killed every 4 s", func(sim *simulation, c *callerJob) {
		sim.every(4*time.Second, c, func() { sim.killForWhile(sim.homeOf(c), false) })
	}},
	{"the home is suspended", func(sim *simulation, c *callerJob) {
		sim.after(2*time.Second, func() {
			if home := sim.homeOf(c); home >= 0 {
				sim.suspend(home, 3*time.Second)
			}
		})
	}},
	{"the caller asks elsewhere every 2 s", func(sim *simulation, c *callerJob) {
		at := 0
		sim.every(2*time.Second, c, func() { at++; sim.sendJob(c, at%len(sim.instances)) })
	}},
	{"the home is cut off from its peers", func(sim *simulation, c *callerJob) {
		sim.after(time.Second, func() {
			if home := sim.homeOf(c); home >= 0 {
				sim.isolate(home, 4*time.Second)
			}
		})
	}},
	{"another endpoint is silent now and then", func(sim *simulation, c *callerJob) {
		sim.every(time.Second, c, func() {
			sim.isolateEndpoint(sim.randomEndpoint().index, 1500*time.Millisecond)
		})
	}},
}

// killForWhile kills an instance, which starts again after two seconds.
func (sim *simulation) killForWhile(i int, powerLoss bool) {
	if i < 0 || !sim.instances[i].alive {
		return
	}
	sim.kill(i, powerLoss)
	sim.after(2*time.Second, func() { sim.startInstance(i) })
}

// TestTaskThatCrashesEndpoints guards against a task that crashes endpoint after
// endpoint: it does not start again after the second or third, also if its home dies
// meanwhile or its caller asks elsewhere, and its caller hears that the outcome is unknown.
func TestTaskThatCrashesEndpoints(t *testing.T) {
	t.Parallel()
	for _, same := range []bool{false, true} {
		for _, tt := range crashCases {
			for seed := uint64(1); seed <= 6; seed++ {
				t.Run(fmt.Sprintf("%s/same ID %t/%d", tt.name, same, seed), func(t *testing.T) {
					is := is.New(t)
					sim := startSimulation(t, seed, 4, 12)
					sim.crashedReturnSame = same
					c := sim.submitCrashing(int(seed)%4, 1, 60*time.Millisecond, crashDeadline)
					tt.disturb(sim, c)
					sim.advance(crashDeadline + time.Second) // the observer counts the starts
					crashes := sim.observer.crashes[taskName(c.job.ID, 0, 0)]
					t.Logf("%d crashes, answers %v", crashes, c.answers)
					is.True(crashes <= maxCrashes)
					unknown := 0
					for _, f := range c.answers {
						is.True(f != nil && f.Kind != fault.TaskFailed)
						if f.Kind == fault.OutcomeUnknown {
							unknown++
						}
					}
					is.True(unknown > 0)
				})
			}
		}
	}
}

// TestSilentEndpointsGiveUpNoTask guards against giving up a sound task because the
// endpoints that ran it were silent: they answer again, so that nothing is proved.
func TestSilentEndpointsGiveUpNoTask(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 8; seed++ {
		for _, refuse := range []bool{false, true} {
			t.Run(fmt.Sprintf("refused %t/%d", refuse, seed), func(t *testing.T) {
				is := is.New(t)
				sim := startSimulation(t, seed, 4, 12)
				sim.refuseConnections = refuse
				c := sim.submit(0, &longQueue, 60*time.Second, step(1, 900*time.Millisecond))
				for range 4 { // the endpoint that runs the task is cut off each time
					sim.advance(500 * time.Millisecond)
					for _, e := range sim.endpoints {
						if len(e.runs) > 0 {
							sim.isolateEndpoint(e.index, 2500*time.Millisecond)
						}
					}
					sim.advance(3 * time.Second)
				}
				sim.advance(20 * time.Second)
				is.Equal(len(c.answers), 1)
				is.True(c.answers[0] == nil) // complete
			})
		}
	}
}

// TestSoundTasksBesideCrashingOnes guards against the blame of tasks that ran beside
// one that crashed their endpoint: none of their jobs is given up. The tasks that crash
// endpoints are in a tenth of the urgent jobs for 10 s, at 50 % load.
func TestSoundTasksBesideCrashingOnes(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, seed, 4, 48)
			tallies := sim.generateMixedLoad(16*time.Second, 0.5)
			var crashing []*callerJob
			for i := range 20 {
				sim.after(time.Duration(2000+500*i)*time.Millisecond, func() {
					crashing = append(crashing, sim.submitCrashing(sim.rng.IntN(4), 8, 60*time.Millisecond, 2500*time.Millisecond))
				})
			}
			sim.advance(24 * time.Second)
			crashes := 0
			for _, n := range sim.observer.crashes {
				crashes += n
			}
			logTallies(t, tallies)
			t.Logf("%d crashes by %d tasks, served %.3f, in goal %.3f", crashes, len(crashing), servedShare(tallies), goalShare(tallies))
			for _, c := range sim.observer.jobs {
				for _, f := range c.answers {
					is.True(c.job.Spec == crashingSpec || f == nil || f.Kind != fault.TaskFailed)
				}
			}
			is.True(crashes <= 2*len(crashing)) // no task crashes a third endpoint within its deadline
		})
	}
}

// TestStopsAtCrashedEndpoint guards against a log that consists of the repeated stops
// of runs on crashed endpoints: each run has one line for the same outcome, and the
// endpoint is asked less and less.
func TestStopsAtCrashedEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	c := sim.submit(0, &longQueue, 8*time.Second, step(12, time.Second))
	sim.advance(100 * time.Millisecond)
	e := sim.endpoints[0]
	runs := len(e.runs)
	is.True(runs > 0)
	e.crash(crashDowntime)
	sim.disconnectCaller(c) // its runs are stopped
	sim.advance(2 * time.Second)
	is.True(len(sim.logged(event.StopNotAccepted, "")) <= runs)
	is.True(e.refusedStops <= 12*runs) // 30 ms apart there would be 40 in the time of a lease
}

// TestResumedHolderSuspectsNobody guards against an instance that was suspended and takes
// the silence of its endpoints, which was its own, for their loss.
func TestResumedHolderSuspectsNobody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	sim.generateLoad(4 * time.Second)
	sim.advance(time.Second)
	sim.suspend(1, 2500*time.Millisecond)
	sim.advance(6 * time.Second)
	is.Equal(len(sim.logged(event.EndpointLost, "")), 0)
	is.True(len(sim.logged(event.Suspended, "")) > 0)
}

// TestSuspectedTaskAtDeadline checks that a caller whose deadline passes before the proof
// hears that its task may have crashed endpoints.
func TestSuspectedTaskAtDeadline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	c := sim.submitCrashing(0, 1, 60*time.Millisecond, 3*time.Second)
	sim.advance(4 * time.Second)
	is.Equal(len(c.answers), 1)
	is.Equal(c.answers[0].Kind, fault.DeadlineExceeded)
	is.True(strings.Contains(c.answers[0].Error(), "which it may have crashed"))
}

// TestEndpointsCrashOnTheirOwn guards against jobs that are answered as failed because
// endpoints crashed under their tasks for other reasons: none is, whether a tenth of the
// endpoints crash together or one after the other.
func TestEndpointsCrashOnTheirOwn(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// crashed endpoints crash together, each interval.
		crashed  int
		interval time.Duration
		same     bool // they come back under the same ID
	}{
		{"many together", 7, 2 * time.Second, false},
		{"many together, under the same ID", 7, 2 * time.Second, true},
		{"one after the other", 1, 250 * time.Millisecond, false},
	}
	for _, tt := range tests {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				is := is.New(t)
				sim := startSimulation(t, seed, 4, 48)
				for i := range 400 {
					sim.after(time.Duration(50*i)*time.Millisecond, func() {
						sim.submit(sim.rng.IntN(4), &longQueue, 12*time.Second, step(4, 900*time.Millisecond))
					})
				}
				for at := 2 * time.Second; at < 20*time.Second; at += tt.interval {
					sim.after(at, func() { sim.crashEndpoints(tt.crashed, tt.same) })
				}
				sim.advance(36 * time.Second)
				answered := 0
				for _, c := range sim.observer.jobs {
					for _, f := range c.answers {
						answered++
						is.True(f == nil || f.Kind != fault.TaskFailed)
					}
				}
				t.Logf("%d answers, %d endpoints lost with runs", answered, len(sim.logged(event.EndpointCrashProved, "")))
				is.True(answered >= 400)
			})
		}
	}
}

// TestLeavingEndpointAccusesNobody guards against the blame of tasks whose endpoint has
// left, as the list shows after its holder has given it up, when another endpoint has taken
// its address.
func TestLeavingEndpointAccusesNobody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 12)
	sim.submit(0, &longQueue, 20*time.Second, step(1, 5*time.Second))
	sim.advance(200 * time.Millisecond)
	for _, e := range slices.Clone(sim.endpoints) {
		if len(e.runs) > 0 {
			e.down()
			sim.advance(1500 * time.Millisecond)
			leaving := e.listed()
			leaving.Draining = true
			list := append(sim.listedEndpoints(), leaving)
			for _, n := range sim.instances {
				sim.input(n, func(m *Machine, out *Output) { m.SetEndpoints(sim.now, list, out) })
			}
			sim.advance(100 * time.Millisecond)
			e.returnAsAnother()
		}
	}
	sim.advance(time.Second)
	is.True(len(sim.logged(event.EndpointLost, "")) > 0)
	is.Equal(len(sim.logged(event.EndpointLossWithdrawn, "")), len(sim.logged(event.EndpointLost, "")))
	is.Equal(len(sim.logged(event.EndpointCrashProved, "")), 0)
}
