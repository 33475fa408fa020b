package capacity

import (
	"math"
	"time"
)

// arrivalError is the assumed relative error of the rates of arrivals, which are
// averages of about a second.
const arrivalError = 0.2

// Drift is how the work of a capacity is expected to have changed since it was
// reported, and by how much that may be wrong. All are run times.
type Drift struct {
	// Arrived is the work that has arrived since then, and Served the work that
	// has been done.
	Arrived, Served time.Duration
	// Uncertainty is the assumed standard deviation of Arrived.
	Uncertainty time.Duration
}

// DriftOf returns the drift of a capacity of the given age. arrivals is how many
// slots the arriving work keeps busy, busy how many are, and mean the mean run
// time of a task.
func DriftOf(arrivals float64, busy int, age, mean time.Duration) Drift {
	arrived := arrivals * float64(age)
	return Drift{
		Arrived:     time.Duration(arrived),
		Served:      time.Duration(float64(busy) * float64(age)),
		Uncertainty: time.Duration(arrivalError*arrived + math.Sqrt(arrived*float64(mean))),
	}
}

// Add adds the drift of another data centre. Errors of different data centres are
// independent.
func (d *Drift) Add(o Drift) {
	d.Arrived += o.Arrived
	d.Served += o.Served
	d.Uncertainty = time.Duration(math.Hypot(float64(d.Uncertainty), float64(o.Uncertainty)))
}
