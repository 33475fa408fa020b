package pool

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/footprint"
)

// allocated returns the bytes that do allocates.
func allocated(do func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestRefusedJobMakesNoTasks guards against a job that can't be done and takes the memory
// of all its tasks before it is refused.
func TestRefusedJobMakesNoTasks(t *testing.T) {
	tests := []struct {
		name  string
		steps []Step
	}{
		{"one step", []Step{step(2_000_000, 60*time.Millisecond)}},
		{"two steps", []Step{step(1_000_000, 60*time.Millisecond), step(1_000_000, 60*time.Millisecond)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 1, 8)
			m, out := sim.instances[0].machine, &Output{}
			j := Job{ID: "x", Queue: urgent, Spec: "x", Steps: tt.steps, Deadline: sim.now.Add(1500 * time.Millisecond)}
			n := allocated(func() { m.Submit(sim.now, 1, j, out) })
			is.Equal(len(out.Answers), 1)
			is.True(out.Answers[0].Fault.Kind.Row().NotRun)
			is.True(n < 1<<20)
		})
	}
}

// TestOpenJobFitsItsReservation checks that an admitted job takes no more memory than is
// reserved for it.
func TestOpenJobFitsItsReservation(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(t, 1, 1, 8)
	m, out := sim.instances[0].machine, &Output{}
	j := Job{ID: "5c0e7a21d94b36f8", Queue: &longQueue, Spec: "x", Steps: []Step{step(footprint.DefaultJobTasks, time.Millisecond)}, Deadline: sim.now.Add(time.Minute)}
	n := allocated(func() { m.Submit(sim.now, 1, j, out) })
	is.Equal(len(out.Answers), 0)
	t.Logf("%d bytes of %d", n, j.Size().Bytes)
	is.True(n <= j.Size().Bytes)
}
