package pool

import (
	"math"
	"time"
)

// arrivalTime is over what time arrivals are averaged: some goals of the
// shortest jobs.
const arrivalTime = time.Second

type (
	// arrivals is how much work of each priority jobs bring.
	arrivals []arrival

	arrival struct {
		service  string
		priority int
		// rate is the work that comes, as places that it keeps busy, as of at.
		rate float64
		at   time.Time
	}
)

func (a arrival) rateAt(now time.Time) float64 {
	return a.rate * math.Exp(-float64(now.Sub(a.at))/float64(arrivalTime))
}

// add takes the work of a job in.
func (a *arrivals) add(now time.Time, service string, priority int, work time.Duration) {
	added := float64(work) / float64(arrivalTime)
	for i := range *a {
		if e := &(*a)[i]; e.service == service && e.priority == priority {
			e.rate, e.at = e.rateAt(now)+added, now
			return
		}
	}
	*a = append(*a, arrival{service, priority, added, now})
}

// before returns how many places the work of more urgent priorities keeps busy.
func (a arrivals) before(now time.Time, service string, priority int) float64 {
	rate := 0.0
	for _, e := range a {
		if e.service == service && e.priority < priority {
			rate += e.rateAt(now)
		}
	}
	return rate
}
