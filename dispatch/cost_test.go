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

// loaded returns an instance whose slots are all in use and that many tasks
// of 210 teams wait.
func loaded(endpoints, waiting int) (*Scheduler, *Output) {
	var out Output
	var teams []team.Team
	for i := range 210 {
		teams = append(teams, team.Team{Name: fmt.Sprint("team-", i), ConcurrentTasks: 10_000, StartsPerSecond: 100_000})
	}
	s := New(Settings{Self: instanceInfos(1)[0].Ref, MaxTasks: 1_000_000}, begin)
	s.SetConfiguration(begin, simDocument(teams), &out)
	s.SetEndpoints(begin, endpointInfos(endpoints), &out)
	n := 0
	for s.Waiting() < waiting {
		j := jobOf(fmt.Sprint("job-", n), simClasses[n%3].Name, teams[n/3%210].Name, 10, time.Second)
		s.Enqueue(begin, j, begin, indexesOf(j), &out)
		n++
	}
	return s, &out
}

// median runs f often and returns the median time of a call.
func median(b *testing.B, f func(i int)) {
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

// BenchmarkPick is the choice of the next task and its endpoint.
func BenchmarkPick(b *testing.B) {
	for _, endpoints := range []int{57, 570, 5700} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			s, out := loaded(endpoints, 14_000)
			e := s.running[out.Starts[0].Ref].endpoint
			e.running--
			s.update(begin, e)
			b.ReportAllocs()
			median(b, func(int) {
				p := s.choose(begin, allGroupsMask)
				if s.pickEndpoint(p.subqueue.groupMask) != e {
					b.Fatal("the only free endpoint was not picked")
				}
			})
		})
	}
}

// BenchmarkFinish is the end of a task, the start of the next and the arrival
// of another, with all that belongs to it.
func BenchmarkFinish(b *testing.B) {
	for _, endpoints := range []int{57, 570, 5700} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			s, out := loaded(endpoints, 14_000)
			starts := slices.Clone(out.Starts)
			b.ReportAllocs()
			median(b, func(i int) {
				out.Starts = out.Starts[:0]
				s.Finished(begin, starts[0].Ref, endpoint.Answered, time.Second, endpoint.Load{}, out)
				starts = append(starts[1:], out.Starts...)
				j := jobOf(fmt.Sprint("more-", i), "urgent", fmt.Sprint("team-", i%210), 1, time.Second)
				s.Enqueue(begin, j, begin, []int{0}, out)
			})
		})
	}
}

// BenchmarkCancellationWave removes 100,000 waiting tasks in 1,000 jobs.
func BenchmarkCancellationWave(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s, out := loaded(13, 0)
		fill := jobOf("fill", "urgent", "team-0", 104, time.Second)
		s.Enqueue(begin, fill, begin, indexesOf(fill), out)
		jobs := make([]*job.Job, 1000)
		for n := range jobs {
			jobs[n] = jobOf(fmt.Sprint("wave-", n), "bulk", fmt.Sprint("team-", n%210), 100, time.Second)
			s.Enqueue(begin, jobs[n], begin, indexesOf(jobs[n]), out)
		}
		b.StartTimer()
		for _, j := range jobs {
			s.Remove(begin, j.SubmissionID, out)
		}
		b.StopTimer()
		if s.Waiting() != 0 {
			b.Fatal(s.Waiting(), "tasks still wait")
		}
		b.StartTimer()
	}
}

// A pick allocates nothing.
func TestPickAllocatesNothing(t *testing.T) {
	s, out := loaded(57, 1000)
	e := s.endpointByID[out.Starts[0].Endpoint]
	e.running--
	s.update(begin, e)
	n := testing.AllocsPerRun(100, func() {
		p := s.choose(begin, allGroupsMask)
		s.pickEndpoint(p.subqueue.groupMask)
	})
	if n != 0 {
		t.Errorf("a pick makes %v allocations", n)
	}
}
