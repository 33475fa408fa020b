package pool

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// arrivalWindow is the time constant of the average of arrivals: a few times
	// the goal of the shortest jobs.
	arrivalWindow = time.Second
	// minReportedRate is the lowest rate that is reported, in slots.
	minReportedRate = 0.01
)

type (
	// arrivals is the rate at which work arrives, by service and priority.
	arrivals []arrival

	arrival struct {
		service  string
		priority int
		// rate is the arriving work, as the number of slots that it keeps busy,
		// at the time at.
		rate float64
		at   time.Time
	}
)

func (a arrival) rateAt(now time.Time) float64 {
	return a.rate * math.Exp(-float64(now.Sub(a.at))/float64(arrivalWindow))
}

// add counts the work of a newly admitted job.
func (a *arrivals) add(now time.Time, service string, priority int, work time.Duration) {
	added := float64(work) / float64(arrivalWindow)
	for i := range *a {
		if e := &(*a)[i]; e.service == service && e.priority == priority {
			e.rate, e.at = e.rateAt(now)+added, now
			return
		}
	}
	*a = append(*a, arrival{service, priority, added, now})
}

// rates returns the current rates of a service.
func (a arrivals) rates(now time.Time, service string) []message.ArrivalRate {
	var list []message.ArrivalRate
	for _, e := range a {
		if rate := e.rateAt(now); e.service == service && rate >= minReportedRate {
			list = append(list, message.ArrivalRate{Priority: e.priority, Slots: rate})
		}
	}
	return list
}
