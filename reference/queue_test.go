package reference

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// TestServe checks the order in which the queue serves jobs and where it places tasks.
func TestServe(t *testing.T) {
	t.Parallel()
	small := func(id string, at time.Duration, priority, tasks int, cores float64) Job {
		return Job{ID: id, Queue: "q", Priority: priority, Arrived: at, Tasks: tasks, Cores: cores, Estimate: 100 * ms, Goal: 220 * ms, Run: 100 * ms}
	}
	one := []Change{{0, 1}}
	tests := []struct {
		name    string
		jobs    []Job
		changes []Change
		want    []Result
	}{
		{"two fit", []Job{small("a", 0, 0, 2, 8)}, one, []Result{{true, true, 0}}},
		{"two do not fit", []Job{small("a", 0, 0, 2, 9)}, one, []Result{{true, true, 100 * ms}}},
		{"the most urgent first", []Job{small("a", 0, 1, 1, 16), small("b", ms, 1, 1, 16), small("c", 2*ms, 0, 1, 16)}, one,
			[]Result{{true, true, 0}, {true, false, 199 * ms}, {true, true, 98 * ms}}},
		{"a smaller task beside a larger one", []Job{small("a", 0, 0, 1, 10), small("b", 0, 0, 1, 9), small("c", 0, 1, 1, 6)}, one,
			[]Result{{true, true, 0}, {true, true, 100 * ms}, {true, true, 0}}},
		{"the fullest endpoint", []Job{small("a", 0, 0, 1, 10), small("b", 0, 0, 1, 6), small("c", 0, 0, 1, 16)}, []Change{{0, 2}},
			[]Result{{true, true, 0}, {true, true, 0}, {true, true, 0}}},
		{"an endpoint that is gone", []Job{small("a", 0, 0, 1, 16), small("b", 10*ms, 0, 2, 16)}, []Change{{0, 2}, {5 * ms, 1}},
			[]Result{{true, true, 0}, {true, false, 190 * ms}}},
		{"no answer of use", []Job{small("a", 0, 0, 7, 16), small("b", ms, 1, 1, 16)}, one,
			[]Result{{false, false, 600 * ms}, {false, false, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(Serve(tt.jobs, Endpoints{Cores: 16, Changes: tt.changes}, 1), tt.want)
		})
	}
}

// TestRunTimesAreDrawn checks that a job of unknown run time takes that of its queue,
// relative to its estimate.
func TestRunTimesAreDrawn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	jobs := []Job{
		{Queue: "q", Tasks: 1, Cores: 1, Estimate: 100 * ms, Goal: 250 * ms, Run: 200 * ms},
		{Queue: "q", Tasks: 1, Cores: 1, Estimate: 200 * ms, Goal: 250 * ms},
	}
	got := Serve(jobs, Endpoints{Cores: 16, Changes: []Change{{0, 1}}}, 1)
	is.True(got[0].InGoal)
	is.True(got[1].Served && !got[1].InGoal) // 400 ms
}

// TestReadLog checks the lines of answered and refused jobs, and of one that was submitted
// again.
func TestReadLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const text = `built in 0.1 s
   0.2000 edge-1 ts=x instance=edge-1 level=info code=LC2069 event="Job answered" subject=a detail="complete; queue=q priority=1 tasks=2 cores=6.8 estimate=90ms goal=250ms took=150ms runs=0.0#1@i-1/edge-1+2ms,0.1#1@i-2/edge-2+50ms"
   0.3000 edge-1 ts=x instance=edge-1 level=info code=LC2040 event="Job refused" subject=b detail="LC1008 Waiting; queue=q priority=1 tasks=3 cores=7.25 estimate=1.2s goal=2s places=9 free=0 ahead=9 work=1s urgent=3"
   0.4000 edge-2 ts=x instance=edge-2 level=info code=LC2050 event="Peer joined" subject=c detail="x"
   1.9000 edge-2 ts=x instance=edge-2 level=info code=LC2069 event="Job answered" subject=b detail="complete; queue=q priority=1 tasks=3 cores=7.25 estimate=1.2s goal=2s took=300ms late waited=1.3s runs=0.0#1@i-1/edge-1+0s"
`
	jobs, err := ReadLog(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(jobs, []Job{
		{ID: "a", Queue: "q", Priority: 1, Arrived: 50 * ms, Tasks: 2, Cores: 6.8, Estimate: 90 * ms, Goal: 250 * ms, Took: 150 * ms, Answered: true, Run: 100 * ms},
		{ID: "b", Queue: "q", Priority: 1, Arrived: 300 * ms, Tasks: 3, Cores: 7.25, Estimate: 1200 * ms, Goal: 2 * time.Second, Took: 1600 * ms, Answered: true},
	})
}

// TestReadLogOfOtherBuild checks that a description that can't be read is an error.
func TestReadLogOfOtherBuild(t *testing.T) {
	t.Parallel()
	_, err := ReadLog(strings.NewReader(`0.2 edge-1 code=LC2069 subject=a detail="complete; queue=q priority=1 took=150ms"`))
	is.New(t).True(err != nil)
}

// TestExpectedMax checks the expected maximum of normal draws against the known values.
func TestExpectedMax(t *testing.T) {
	t.Parallel()
	tests := []struct {
		n    int
		want float64 // for a deviation of one
	}{{1, 1}, {2, 1.564}, {8, 2.424}}
	for _, tt := range tests {
		got := expectedMax(tt.n, 1)
		is.New(t).True(got > tt.want-0.03 && got < tt.want+0.03)
	}
}
