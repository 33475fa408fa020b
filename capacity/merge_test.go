package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

func TestMerge(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	small, large := task.Needs{Cores: 1, MemoryBytes: 8}, task.Needs{Cores: 2, MemoryBytes: 4}
	first := []message.Capacity{{
		Service: "s", Slots: 4, Free: 1, Largest: small, Leaving: 1, Joining: 2,
		Backlog:  []message.WaitingTasks{{Priority: 1, Tasks: 2, Slack: 50 * ms, Work: 20 * ms, Needs: small, Smallest: small, Share: -1}},
		Arrivals: []message.ArrivalRate{{Priority: 1, Slots: 3}},
	}}
	second := []message.Capacity{
		{Service: "r", Slots: 1},
		{
			Service: "s", Slots: 6, Largest: large,
			Backlog: []message.WaitingTasks{
				{Priority: 0, Late: true, Tasks: 1, Work: 5 * ms},
				{Priority: 1, Tasks: 3, Slack: 30 * ms, Work: 10 * ms, Needs: large, Smallest: large, Share: 2},
			},
			Arrivals: []message.ArrivalRate{{Priority: 0, Slots: 1}, {Priority: 1, Slots: 2}},
		},
	}
	want := []message.Capacity{
		{Service: "r", Slots: 1},
		{
			Service: "s", Slots: 10, Free: 1, Largest: large, Leaving: 1, Joining: 2,
			Backlog: []message.WaitingTasks{
				{Priority: 1, Tasks: 5, Slack: 20 * ms, Work: 30 * ms, Needs: task.Needs{Cores: 2, MemoryBytes: 8}, Smallest: task.Needs{Cores: 1, MemoryBytes: 4}, Share: 5},
				{Priority: 0, Late: true, Tasks: 1, Work: 5 * ms, Share: 1},
			},
			Arrivals: []message.ArrivalRate{{Priority: 0, Slots: 1}, {Priority: 1, Slots: 5}},
		},
	}
	is.Equal(Merge([]Report{{first, 0}, {second, 10 * ms}}), want)
	is.Equal(first[0].Backlog[0].Tasks, 2) // the reports are unchanged

	old := Merge([]Report{{first, MaxReportAge + 1}})
	is.Equal(old[0].Slots, 4) // the slots are still there
	is.Equal(len(old[0].Backlog)+len(old[0].Arrivals), 0)
}

func TestScale(t *testing.T) {
	is := is.New(t)
	c := []message.Capacity{{
		Service: "s", Slots: 5, Free: 3, Leaving: 1,
		Backlog:  []message.WaitingTasks{{Tasks: 3, Work: time.Second}},
		Arrivals: []message.ArrivalRate{{Slots: 2}},
	}}
	before := c[0]
	Scale(c, 1.5)
	is.Equal(c[0].Slots, 8)
	is.Equal(c[0].Free, 5)
	is.Equal(c[0].Leaving, 1.5)
	is.Equal(c[0].Backlog[0].Work, 1500*time.Millisecond)
	is.Equal(c[0].Arrivals[0].Slots, 3.0)
	is.Equal(before.Backlog[0].Tasks, 3) // slices are not shared
}

// TestDrift checks that a view becomes less certain with its age.
func TestDrift(t *testing.T) {
	is := is.New(t)
	const mean = 100 * time.Millisecond
	is.Equal(DriftOf(10, 8, 0, mean), Drift{})
	d := DriftOf(10, 8, time.Second, mean)
	is.Equal(d.Arrived, 10*time.Second)
	is.Equal(d.Served, 8*time.Second)
	is.Equal(d.Uncertainty, 3*time.Second) // a fifth, and one of ten times 100 tasks
	later := DriftOf(10, 8, 2*time.Second, mean)
	is.True(later.Uncertainty > d.Uncertainty)
	sum := d
	sum.Add(d)
	is.Equal(sum.Arrived, 20*time.Second)
	is.True(sum.Uncertainty < 2*d.Uncertainty)
}
