package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/team"
)

// newLoadedScheduler returns an instance with all slots in use and that many
// waiting tasks, of 210 teams.
func newLoadedScheduler(endpoints, waiting int) (*Scheduler, *Output) {
	var out Output
	var teams []team.Team
	for i := range 210 {
		teams = append(teams, team.Team{Name: fmt.Sprint("team-", i), ConcurrentTasks: 10_000, StartsPerSecond: 100_000})
	}
	s := New(Settings{Self: instanceInfos(1)[0].Ref, MaxTasks: 1_000_000}, startTime)
	s.SetConfiguration(startTime, simDocument(teams), &out)
	s.SetEndpoints(startTime, endpointInfos(endpoints), &out)
	n := 0
	for s.Waiting() < waiting {
		j := newJob(fmt.Sprint("job-", n), simClasses[n%3].Name, teams[n/3%210].Name, 10, time.Second)
		s.Enqueue(startTime, j, startTime, indexesOf(j), &out)
		n++
	}
	return s, &out
}

// reportMedian calls f repeatedly and reports the median time of a call.
func reportMedian(b *testing.B, f func(i int)) {
	var samples []time.Duration
	i := 0
	for b.Loop() {
		start := time.Now()
		for range 10 {
			f(i)
			i++
		}
		samples = append(samples, time.Since(start)/10)
	}
	slices.Sort(samples)
	b.ReportMetric(float64(samples[len(samples)/2]), "median-ns")
}

// BenchmarkPick measures the choice of the next task and its endpoint.
func BenchmarkPick(b *testing.B) {
	for _, endpoints := range []int{57, 570, 5700} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			s, out := newLoadedScheduler(endpoints, 14_000)
			e := s.running[out.Starts[0].Ref].endpoint
			e.running--
			s.update(startTime, e)
			b.ReportAllocs()
			reportMedian(b, func(int) {
				p := s.choose(startTime, allGroupsMask)
				if s.pickEndpoint(p.subqueue.groupMask) != e {
					b.Fatal("the only free endpoint was not picked")
				}
			})
		})
	}
}

// BenchmarkFinish measures handling the end of a task, including the start of
// the next one, and the arrival of another task.
func BenchmarkFinish(b *testing.B) {
	for _, endpoints := range []int{57, 570, 5700} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			s, out := newLoadedScheduler(endpoints, 14_000)
			starts := slices.Clone(out.Starts)
			b.ReportAllocs()
			reportMedian(b, func(i int) {
				out.Starts = out.Starts[:0]
				s.Finished(startTime, starts[0].Ref, endpoint.Answered, time.Second, endpoint.Load{}, out)
				starts = append(starts[1:], out.Starts...)
				j := newJob(fmt.Sprint("more-", i), "urgent", fmt.Sprint("team-", i%210), 1, time.Second)
				s.Enqueue(startTime, j, startTime, []int{0}, out)
			})
		})
	}
}

// BenchmarkMassCancellation removes 100,000 waiting tasks in 1,000 jobs.
func BenchmarkMassCancellation(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s, out := newLoadedScheduler(13, 0)
		fill := newJob("fill", "urgent", "team-0", 104, time.Second)
		s.Enqueue(startTime, fill, startTime, indexesOf(fill), out)
		jobs := make([]*job.Job, 1000)
		for n := range jobs {
			jobs[n] = newJob(fmt.Sprint("wave-", n), "bulk", fmt.Sprint("team-", n%210), 100, time.Second)
			s.Enqueue(startTime, jobs[n], startTime, indexesOf(jobs[n]), out)
		}
		b.StartTimer()
		for _, j := range jobs {
			s.Remove(startTime, j.SubmissionID, out)
		}
		b.StopTimer()
		if s.Waiting() != 0 {
			b.Fatal(s.Waiting(), "tasks still wait")
		}
		b.StartTimer()
	}
}

// The choice of a task and an endpoint allocates no memory.
func TestPickAllocatesNothing(t *testing.T) {
	s, out := newLoadedScheduler(57, 1000)
	e := s.endpointByID[out.Starts[0].Endpoint]
	e.running--
	s.update(startTime, e)
	n := testing.AllocsPerRun(100, func() {
		p := s.choose(startTime, allGroupsMask)
		s.pickEndpoint(p.subqueue.groupMask)
	})
	if n != 0 {
		t.Errorf("a pick makes %v allocations", n)
	}
}
