package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
)

// The values of the label outcome of [Joined.Answer].
const (
	complete  = "complete"
	notRun    = "not_run"
	failed    = "failed"
	cancelled = "cancelled"
)

type (
	// Joined holds the metrics of an instance that package runner runs: one
	// that shares leased endpoints with other instances on the platform.
	Joined struct {
		registry *prometheus.Registry
		answers  *prometheus.HistogramVec
		orders   *prometheus.CounterVec
		events   *prometheus.CounterVec
	}

	// JoinedSnapshot is the state of such an instance at a scrape.
	JoinedSnapshot struct {
		Ready                bool
		ConfigurationVersion uint64
		StoreReachable       bool
		PeersLive            int
		// Jobs is the number of jobs that are not answered yet, and Runs the
		// number of runs on endpoints that the instance holds.
		Jobs, Runs int
		// EndpointStates is the number of endpoints that the instance holds, by
		// the name of their state.
		EndpointStates map[string]int
	}

	// joinedCollector turns a snapshot into metrics at each scrape.
	joinedCollector struct {
		read func() JoinedSnapshot
	}
)

// NewJoined returns the metrics of an instance that package runner runs. It
// calls snapshot at each scrape.
func NewJoined(snapshot func() JoinedSnapshot) *Joined {
	j := &Joined{
		answers: histogramVec(answerSeconds),
		orders:  counterVec(orders),
		events:  counterVec(events),
	}
	j.registry = newRegistry(j.answers, j.orders, j.events, &joinedCollector{read: snapshot})
	return j
}

// Handler returns the handler that serves the metrics.
func (j *Joined) Handler() http.Handler {
	return promhttp.HandlerFor(j.registry, promhttp.HandlerOpts{})
}

// Answer observes the answer to a job of a queue, which came after the duration
// took. A nil f means that the job is complete.
func (j *Joined) Answer(queue string, f *fault.Error, took time.Duration) {
	outcome, reason := complete, ""
	if f != nil {
		outcome, reason = outcomeOf(f), f.Kind.Row().Code
	}
	j.answers.WithLabelValues(queue, outcome, reason).Observe(took.Seconds())
}

// outcomeOf returns the value of the label outcome for a job that ended with f.
func outcomeOf(f *fault.Error) string {
	switch {
	case f.Kind == fault.Cancelled:
		return cancelled
	case f.Kind.Row().NotRun:
		return notRun
	}
	return failed
}

// Order counts an order to an endpoint by its outcome.
func (j *Joined) Order(order, outcome string) { j.orders.WithLabelValues(order, outcome).Inc() }

// Event counts a log event.
func (j *Joined) Event(r event.Record) { j.events.WithLabelValues(r.Kind.Entry().Code).Inc() }

// Describe implements [prometheus.Collector]. It sends nothing, like that of
// collector.
func (*joinedCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements [prometheus.Collector].
func (c *joinedCollector) Collect(ch chan<- prometheus.Metric) {
	s, dst := c.read(), sink(ch)
	dst.addInstance(s.Ready, s.ConfigurationVersion, s.StoreReachable, s.PeersLive, s.EndpointStates)
	dst.add(openJobs, float64(s.Jobs))
	dst.add(heldRuns, float64(s.Runs))
}
