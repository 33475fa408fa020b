package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Ratios are recorded in units of 1/ratioUnit, up to 100,000 times the
	// ideal.
	ratioUnit = 1000
	maxRatio  = 100_000 * ratioUnit
	// classDigits is the number of significant digits of the histograms of a
	// class, and pointDigits that of the many histograms for the plot, which it
	// keeps small.
	classDigits = 3
	pointDigits = 2
)

type (
	// Ratios is a histogram of response times divided by their ideal.
	Ratios struct{ histogram *hdrhistogram.Histogram }

	// Quantiles holds quantiles and the maximum of one histogram.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P90 float64 `json:"p90"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}
)

// NewRatios returns an empty histogram with the given number of significant
// decimal digits, from 1 to 5.
func NewRatios(digits int) *Ratios {
	return &Ratios{histogram: hdrhistogram.New(1, maxRatio, digits)}
}

// Record adds the ratio of one response time to its ideal, which must be above
// zero.
func (r *Ratios) Record(responseTime, ideal time.Duration) {
	recordValue(r.histogram, int64(float64(responseTime)/float64(ideal)*ratioUnit), maxRatio)
}

// Count returns the number of recorded response times.
func (r *Ratios) Count() int64 { return r.histogram.TotalCount() }

// Quantiles returns the quantiles of the recorded ratios; all are zero if none
// is recorded.
func (r *Ratios) Quantiles() Quantiles { return quantiles(r.histogram, ratioUnit) }

// recordValue adds a value to the histogram, clamped to the range from 1 to
// limit.
func recordValue(h *hdrhistogram.Histogram, value, limit int64) {
	// RecordValue fails only for a value outside the histogram's range.
	_ = h.RecordValue(min(max(value, 1), limit))
}

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / unit }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / unit}
}
