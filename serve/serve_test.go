package serve

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/standin"
)

// A job passes through instance and endpoints end to end, and another instance
// returns the same result.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 2)
	r := c.submit(c.instances[0], feeJob("", "urgent", 20, 30*time.Millisecond))
	is.Equal(r.Status, http.StatusOK)
	is.Equal(r.State, "complete")
	is.Equal(len(r.Tasks), 20)
	for _, task := range r.Tasks {
		is.Equal(task.State, "answered")
		is.True(len(task.Answer) > 0)
	}
	again := c.get(c.instances[1], "/v1/jobs/"+r.SubmissionID)
	is.Equal(again.State, "complete")
	is.Equal(again.Tasks, r.Tasks)
	is.Equal(c.startedTasks(), 20)
}

// A job that is submitted to all instances concurrently under the same id runs
// once, and all callers get the same answers.
func TestResubmissionEverywhere(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 3)
	body := feeJob("filing-1", "payment", 4, 100*time.Millisecond)
	replies := make([]jobReply, 9)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = c.submit(c.instances[i%3], body) })
	}
	wg.Wait()
	for _, r := range replies {
		is.Equal(r.State, "complete")
		is.Equal(r.Tasks, replies[0].Tasks)
	}
	is.Equal(c.startedTasks(), 4)
}

// A planned stop doesn't interrupt requests in flight and refuses new jobs as
// not run.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	n := c.instances[0]
	inFlight := make(chan jobReply)
	go func() { inFlight <- c.submit(n, feeJob("", "urgent", 24, 200*time.Millisecond)) }()
	c.waitUntil("started", func() bool { return c.startedTasks() > 0 })
	n.stop()
	c.waitUntil("refusing", func() bool { return c.get(n, "/readyz").Status == http.StatusServiceUnavailable })
	refused := c.submit(n, feeJob("", "urgent", 1, 0))
	is.Equal(refused.State, "not_run")
	is.Equal(refused.Error.Kind, "stopping")
	// A job under an id that the caller chose may already have run on another
	// instance, so this one can't answer not_run. The other instance accepts
	// the job.
	forwarded := c.submit(n, feeJob("late", "urgent", 1, 0))
	is.Equal(forwarded.State, "complete")
	r := <-inFlight
	is.Equal(r.State, "complete")
	err := <-n.done
	n.done <- err
	is.NoErr(err)
	is.Equal(c.startedTasks(), 25)
}

// The home of a running job is stopped by force. A resubmission to another
// instance fails with the outcome that the home reported before it ended, or with
// home_unreachable, and starts no task again.
func TestHomeKilled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	body := feeJob("filing-2", "urgent", 8, 3*time.Second)
	go c.submit(c.instances[0], body)
	c.waitUntil("started", func() bool { return c.startedTasks() == 8 })
	c.instances[0].kill()
	c.instances[0].stop()
	r := c.submit(c.instances[1], body)
	is.Equal(r.State, "failed")
	is.True(slices.Contains([]string{"home_unreachable", "outcome_unknown", "task_unknown"}, r.Error.Kind))
	is.True(r.Error.Remedy != "")
	is.Equal(c.startedTasks(), 8)
}

// With a store that takes 5 s for each call, ids are still claimed, and jobs
// with issued ids don't wait for the store.
func TestSlowStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.platform.SetFaults(standin.PlatformFaults{Delay: 5 * time.Second})
	issued := c.submit(c.instances[0], feeJob("", "urgent", 2, 10*time.Millisecond))
	is.Equal(issued.State, "complete")
	claimed := c.submit(c.instances[0], feeJob("filing-3", "urgent", 2, 10*time.Millisecond))
	is.Equal(claimed.State, "complete")
	is.Equal(c.startedTasks(), 4)
}
