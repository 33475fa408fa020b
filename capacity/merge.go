package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

// MaxReportAge is the age beyond which the backlog and the arrivals in a report
// are not counted. Its slots are, since they hardly change.
const MaxReportAge = time.Second

// Report is the capacity and the demand that one instance reported.
type Report struct {
	Capacities []message.Capacity
	Age        time.Duration
}

// Merge adds up reports of different instances. The result is sorted by service.
func Merge(reports []Report) []message.Capacity {
	var sums []message.Capacity
	for _, r := range reports {
		for _, c := range r.Capacities {
			at, found := slices.BinarySearchFunc(sums, c.Service, func(s message.Capacity, service string) int { return cmp.Compare(s.Service, service) })
			if !found {
				sums = slices.Insert(sums, at, message.Capacity{Service: c.Service})
			}
			add(&sums[at], c, r.Age)
		}
	}
	return sums
}

func add(sum *message.Capacity, c message.Capacity, age time.Duration) {
	sum.Slots += c.Slots
	sum.Free += c.Free
	sum.Leaving += c.Leaving
	sum.Joining += c.Joining
	if c.Largest.Cores > sum.Largest.Cores {
		sum.Largest = c.Largest
	}
	if age > MaxReportAge {
		return
	}
	for _, w := range c.Backlog {
		w.Slack = max(w.Slack-age, 0)
		w.Share = w.Tasks // a share is for the receiver of the report only
		addWaiting(sum, w)
	}
	for _, a := range c.Arrivals {
		addArrivals(sum, a)
	}
}

func addWaiting(sum *message.Capacity, w message.WaitingTasks) {
	at, found := slices.BinarySearchFunc(sum.Backlog, w, compareBacklog)
	if !found {
		sum.Backlog = slices.Insert(sum.Backlog, at, w)
		return
	}
	s := &sum.Backlog[at]
	s.Tasks += w.Tasks
	s.Share += w.Share
	s.Work += w.Work
	s.Slack = min(s.Slack, w.Slack)
	s.Needs = s.Needs.Max(w.Needs)
	s.Smallest = s.Smallest.Min(w.Smallest)
}

// compareBacklog orders tasks of late jobs after all others, then by priority.
func compareBacklog(a, b message.WaitingTasks) int {
	late := func(w message.WaitingTasks) int {
		if w.Late {
			return 1
		}
		return 0
	}
	return cmp.Or(late(a)-late(b), cmp.Compare(a.Priority, b.Priority))
}

func addArrivals(sum *message.Capacity, a message.ArrivalRate) {
	at, found := slices.BinarySearchFunc(sum.Arrivals, a, func(a, b message.ArrivalRate) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	if !found {
		sum.Arrivals = slices.Insert(sum.Arrivals, at, a)
		return
	}
	sum.Arrivals[at].Slots += a.Slots
}

// Scale multiplies all counts, for reports that cover only a part of what they
// stand for.
func Scale(capacities []message.Capacity, factor float64) {
	for i := range capacities {
		c := &capacities[i]
		c.Slots = scaled(c.Slots, factor)
		c.Free = scaled(c.Free, factor)
		c.Leaving *= factor
		c.Joining *= factor
		c.Backlog, c.Arrivals = slices.Clone(c.Backlog), slices.Clone(c.Arrivals)
		for k := range c.Backlog {
			w := &c.Backlog[k]
			w.Tasks = scaled(w.Tasks, factor)
			w.Share = scaled(w.Share, factor)
			w.Work = time.Duration(float64(w.Work) * factor)
		}
		for k := range c.Arrivals {
			c.Arrivals[k].Slots *= factor
		}
	}
}

func scaled(n int, factor float64) int { return int(float64(n)*factor + 0.5) }
