package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Response times are recorded in microseconds, up to an hour.
	maxMicroseconds = 3_600_000_000
	// pointCount is the number of points of the plot. Each covers an equal
	// interval of the experiment.
	pointCount = 60
)

type (
	// recorder collects the outcomes of an experiment.
	recorder struct {
		interval time.Duration

		mu      sync.Mutex
		classes map[string]*classRecord
	}

	// classRecord collects the outcomes of one class.
	classRecord struct {
		target           time.Duration
		jobs, tasks      int
		withinTarget     int
		ratios           *Ratios
		responseTimes    *hdrhistogram.Histogram
		points           []*Ratios
		outcomes         map[string]int
		resubmitted      int
		differentAnswers int
	}

	// outcome is how one job ended.
	outcome struct {
		arrival      arrival
		ideal        time.Duration
		responseTime time.Duration
		// state is the state of the job, the error kind if it was refused or
		// failed, stateNoReply or stateCutOff.
		state string
		// resubmitted reports whether the job was submitted a second time, and
		// differentAnswers whether both requests completed with different
		// answers.
		resubmitted, differentAnswers bool
	}
)

func newRecorder(c Config) *recorder {
	r := &recorder{interval: c.Duration/pointCount + 1, classes: make(map[string]*classRecord)}
	for _, s := range c.Streams {
		if r.classes[s.Class] == nil {
			r.classes[s.Class] = newClassRecord(s.Target)
		}
	}
	return r
}

func newClassRecord(target time.Duration) *classRecord {
	c := &classRecord{
		target:        target,
		ratios:        NewRatios(classDigits),
		responseTimes: hdrhistogram.New(1, maxMicroseconds, classDigits),
		outcomes:      make(map[string]int),
	}
	for range pointCount {
		c.points = append(c.points, NewRatios(pointDigits))
	}
	return c
}

// record adds the outcome of one job.
func (r *recorder) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[o.arrival.class]
	c.jobs++
	c.tasks += len(o.arrival.runTimes)
	c.outcomes[o.state]++
	if o.resubmitted {
		c.resubmitted++
	}
	if o.differentAnswers {
		c.differentAnswers++
	}
	if o.state != stateComplete {
		return
	}
	if o.responseTime <= c.target {
		c.withinTarget++
	}
	recordValue(c.responseTimes, o.responseTime.Microseconds(), maxMicroseconds)
	c.ratios.Record(o.responseTime, o.ideal)
	c.points[min(int(o.arrival.at/r.interval), pointCount-1)].Record(o.responseTime, o.ideal)
}

// classNames returns the names of the classes in sorted order.
func (r *recorder) classNames() []string { return slices.Sorted(maps.Keys(r.classes)) }

// recorded returns the number of jobs whose outcome is recorded so far.
func (r *recorder) recorded() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.classes {
		n += c.jobs
	}
	return n
}
