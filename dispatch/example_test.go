package dispatch_test

import (
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/dispatch"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

// This example drives one instance with one endpoint of one slot on a virtual
// clock.
func Example() {
	now := time.Unix(0, 0)
	s := dispatch.New(dispatch.Settings{Self: instance.Ref{DataCentre: "sofia", ID: "entry-1", Incarnation: 1}}, now)
	var out dispatch.Output
	s.SetConfiguration(now, &configuration.Document{
		Version: 1,
		Classes: []class.Class{
			{Name: "sweep", Target: time.Minute},
			{Name: "check", Target: time.Second},
		},
	}, &out)
	s.SetEndpoints(now, []endpoint.Info{{ID: "solver-1", DataCentre: "sofia", Slots: 1}}, &out)

	sweep := &job.Job{SubmissionID: "a", Class: "sweep", Tasks: make([]task.Task, 2)}
	check := &job.Job{SubmissionID: "b", Class: "check", Tasks: make([]task.Task, 1)}
	s.Enqueue(now, sweep, now, []int{0, 1}, &out)
	s.Enqueue(now, check, now, []int{0}, &out)
	for len(out.Starts) > 0 {
		start := out.Starts[0]
		out.Starts = out.Starts[1:]
		fmt.Println(start.Ref.Submission, start.Ref.Index, "on", start.Endpoint)
		now = now.Add(start.Expected)
		s.Finished(now, start.Ref, endpoint.Answered, start.Expected, endpoint.Load{}, &out)
	}
	// Output:
	// a 0 on solver-1
	// b 0 on solver-1
	// a 1 on solver-1
}
