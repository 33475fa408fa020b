package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/lovagecrank/lovagecrank/team"
)

var startTime = time.Unix(1_000_000, 0)

// newSingleInstance returns the only instance of a data centre with two
// endpoints of 8 slots.
func newSingleInstance(settings Settings, teams ...team.Team) *Scheduler {
	var out Output
	settings.Self = instanceInfos(1)[0].Ref
	s := New(settings, startTime)
	s.SetConfiguration(startTime, simDocument(teams), &out)
	s.SetEndpoints(startTime, endpointInfos(2), &out)
	return s
}

func newJob(id, class, team string, tasks int, run time.Duration) *job.Job {
	j := &job.Job{SubmissionID: id, Class: class, Team: team, Tasks: make([]task.Task, tasks)}
	for i := range j.Tasks {
		j.Tasks[i].ID = fmt.Sprint(i)
		j.Tasks[i].RunTime = run
	}
	return j
}

func TestAdmit(t *testing.T) {
	quota := team.Team{Name: "small", ConcurrentTasks: 2, StartsPerSecond: 4}
	wide := newJob("", "urgent", "small", 1, time.Second)
	wide.Tasks[0].Needs.Cores = 64
	late := newJob("", "urgent", "small", 1, time.Second)
	late.Deadline = startTime.Add(500 * time.Millisecond)
	behind := newJob("", "bulk", "small", 1, time.Second)
	behind.Deadline = startTime.Add(3 * time.Second)
	tests := []struct {
		name    string
		job     *job.Job
		waiting int
		want    fault.Kind
		retry   bool
	}{
		{"unknown class", newJob("", "none", "small", 1, 0), 0, fault.UnknownClass, false},
		{"unknown team", newJob("", "urgent", "none", 1, 0), 0, fault.UnknownTeam, false},
		{"fits no endpoint", wide, 0, fault.NoEndpointFits, false},
		{"takes longer than its deadline", late, 0, fault.DeadlineTooNear, false},
		{"waits past its deadline", behind, 200, fault.DeadlineTooNear, true},
		{"more than the quota lets through in time", newJob("", "urgent", "small", 400, time.Second), 0, fault.OverQuota, true},
		{"more tasks than may wait", newJob("", "urgent", "small", 1001, 0), 0, fault.QueueFull, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSingleInstance(Settings{MaxTasks: 1000}, quota, team.Team{Name: "large"})
			var out Output
			fill := newJob("fill", "routine", "large", test.waiting, time.Second)
			s.Enqueue(startTime, fill, startTime, indexesOf(fill), &out)
			f := s.Admit(startTime, test.job)
			is.True(f != nil)
			is.Equal(f.Kind, test.want)
			is.Equal(f.RetryAfter > 0, test.retry)
		})
	}
}

func TestAdmitWhileNothingTakesWork(t *testing.T) {
	is := is.New(t)
	var out Output
	s := New(Settings{Self: instanceInfos(1)[0].Ref}, startTime)
	s.SetConfiguration(startTime, &configuration.Document{Classes: simClasses}, &out)
	is.Equal(s.Admit(startTime, newJob("", "urgent", "", 1, 0)).Kind, fault.EndpointsUnavailable)
	infos := endpointInfos(1)
	infos[0].Draining = true
	s.SetEndpoints(startTime, infos, &out)
	is.Equal(s.Admit(startTime, newJob("", "urgent", "", 1, 0)).Kind, fault.EndpointsUnavailable)
	s.SetEndpoints(startTime, endpointInfos(1), &out)
	is.Equal(s.Admit(startTime, newJob("", "urgent", "", 1, 0)), nil)
	s.BeginStop(startTime, &out)
	is.Equal(s.Admit(startTime, newJob("", "urgent", "", 1, 0)).Kind, fault.Stopping)
}

func TestLowestClassIsRefusedFirst(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(Settings{MaxTasks: 100, MaxWait: time.Hour})
	var out Output
	firstRefusal := map[string]int{}
	for n := 0; n < 200; n++ {
		for _, c := range simClasses {
			if f := s.Admit(startTime, newJob("", c.Name, "", 1, time.Millisecond)); f != nil && firstRefusal[c.Name] == 0 {
				firstRefusal[c.Name] = s.Waiting()
			}
		}
		j := newJob(fmt.Sprint(n), "urgent", "", 1, time.Millisecond)
		s.Enqueue(startTime, j, startTime, []int{0}, &out)
	}
	is.Equal(firstRefusal, map[string]int{"bulk": 50, "routine": 75, "urgent": 100})
}

// Callers that are refused together get different retry delays, so that they do
// not all retry at the same time.
func TestRetryHintsSpread(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(Settings{MaxTasks: 1})
	seen := map[time.Duration]int{}
	for n := range 1000 {
		f := s.Admit(startTime, newJob(fmt.Sprint("job-", n), "urgent", "", 2, 0))
		is.True(f.RetryAfter >= minRetryAfter)
		is.True(f.RetryAfter <= 2*minRetryAfter)
		seen[f.RetryAfter.Truncate(100*time.Millisecond)]++
	}
	is.Equal(len(seen), 10)
	for _, n := range seen {
		is.True(n > 50 && n < 150) // of 1,000 callers in each tenth of a second
	}
}

func TestQuotaDelaysStarts(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(Settings{}, team.Team{Name: "two", ConcurrentTasks: 2}, team.Team{Name: "rate", StartsPerSecond: 8})
	var out Output
	two := newJob("two", "urgent", "two", 3, time.Second)
	rate := newJob("rate", "urgent", "rate", 4, time.Second)
	s.Enqueue(startTime, two, startTime, indexesOf(two), &out)
	s.Enqueue(startTime, rate, startTime, indexesOf(rate), &out)
	is.Equal(len(out.Starts), 4) // two at once, and a quarter second's starts
	is.Equal(s.Waits(startTime, "two")[0].Reason, TeamQuota)
	is.Equal(out.Wake, startTime.Add(125*time.Millisecond))
	s.Tick(out.Wake, &out)
	is.Equal(len(out.Starts), 5)
	s.Finished(startTime.Add(125*time.Millisecond), task.Ref{Submission: "two"}, endpoint.Answered, time.Second, endpoint.Load{}, &out)
	is.Equal(len(out.Starts), 6)
}

func TestWaitReasons(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(Settings{})
	var out Output
	urgentJob := newJob("u", "urgent", "", 20, time.Second)
	low := newJob("b", "bulk", "", 1, time.Second)
	s.Enqueue(startTime, low, startTime, nil, &out)
	is.Equal(len(s.Waits(startTime, "b")), 0)
	s.Enqueue(startTime, urgentJob, startTime, indexesOf(urgentJob), &out)
	s.Enqueue(startTime, low, startTime, []int{0}, &out)
	is.Equal(s.Waits(startTime, "u")[0].Reason, NoSlot)
	w := s.Waits(startTime, "b")[0]
	is.Equal(w.Reason, BehindClass)
	is.Equal(w.Class, "urgent")
	infos := endpointInfos(2)
	infos[0].Draining, infos[1].Draining = true, true
	s.SetEndpoints(startTime, infos, &out)
	is.Equal(s.Waits(startTime, "b")[0].Reason, CapacityLost)
}

// The cancellation of many jobs removes their waiting tasks and stops only
// idempotent running ones; tasks of other jobs still start.
func TestMassCancellation(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(Settings{})
	var out Output
	for n := range 1000 {
		j := newJob(fmt.Sprint(n), "bulk", fmt.Sprint("team-", n%10), 100, time.Second)
		j.Tasks[0].Idempotent = true
		s.Enqueue(startTime, j, startTime, indexesOf(j), &out)
	}
	is.Equal(len(out.Starts), 16)
	kept := newJob("kept", "routine", "", 5, time.Second)
	s.Enqueue(startTime, kept, startTime, indexesOf(kept), &out)
	for n := range 1000 {
		s.Remove(startTime, fmt.Sprint(n), &out)
	}
	is.Equal(s.Waiting(), 5)
	for _, st := range out.Stops {
		is.Equal(st.Ref.Index, 0) // only idempotent tasks are stopped
	}
	first := out.Starts[0].Ref
	s.Finished(startTime.Add(time.Second), first, endpoint.Answered, time.Second, endpoint.Load{}, &out)
	is.Equal(out.Starts[16].Ref.Submission, "kept")
}

// A new version of the configuration changes the ranks of waiting tasks.
func TestNewTargetsReorderTheQueue(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(Settings{})
	var out Output
	fill := newJob("fill", "urgent", "", 16, time.Second)
	a := newJob("a", "routine", "", 1, time.Second)
	b := newJob("b", "bulk", "", 1, time.Second)
	for _, j := range []*job.Job{fill, a, b} {
		s.Enqueue(startTime, j, startTime, indexesOf(j), &out)
	}
	d := *simDocument(nil)
	d.Classes = append(d.Classes[:2:2], simClasses[2])
	d.Classes[2].Target = time.Second
	s.SetConfiguration(startTime, &d, &out)
	is.Equal(s.Waiting(), 2)
	s.Finished(startTime, task.Ref{Submission: "fill"}, endpoint.Answered, time.Second, endpoint.Load{}, &out)
	is.Equal(out.Starts[16].Ref.Submission, "b")
}
