package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
)

// The outcomes of jobs in [Joined].
const (
	complete  = "complete"
	notRun    = "not_run"
	failed    = "failed"
	cancelled = "cancelled"
)

type (
	// Joined holds the metrics of an instance that shares leased endpoints
	// with others on the platform.
	Joined struct {
		registry *prometheus.Registry
		answers  *prometheus.HistogramVec
		orders   *prometheus.CounterVec
		events   *prometheus.CounterVec
	}

	// JoinedSnapshot is what such an instance tells of itself at a scrape.
	JoinedSnapshot struct {
		Ready                bool
		ConfigurationVersion uint64
		StoreReachable       bool
		PeersLive            int
		// Jobs are not answered yet, and Runs are on endpoints held here.
		Jobs, Runs int
		// EndpointStates counts the endpoints held here by state.
		EndpointStates map[string]int
	}

	// joinedCollector turns a snapshot into metrics at each scrape.
	joinedCollector struct {
		read func() JoinedSnapshot
	}
)

// NewJoined returns the metrics of such an instance. The snapshot is read at
// each scrape.
func NewJoined(snapshot func() JoinedSnapshot) *Joined {
	j := &Joined{
		answers: histogramVec(answerSeconds),
		orders:  counterVec(orders),
		events:  counterVec(events),
	}
	j.registry = newRegistry(j.answers, j.orders, j.events, &joinedCollector{read: snapshot})
	return j
}

// Handler serves the metrics.
func (j *Joined) Handler() http.Handler {
	return promhttp.HandlerFor(j.registry, promhttp.HandlerOpts{})
}

// Answer observes the answer to a job, by the code of its reason; nil means
// that the job is complete.
func (j *Joined) Answer(queue string, f *fault.Error, took time.Duration) {
	outcome, reason := complete, ""
	if f != nil {
		outcome, reason = outcomeOf(f), f.Kind.Row().Code
	}
	j.answers.WithLabelValues(queue, outcome, reason).Observe(took.Seconds())
}

func outcomeOf(f *fault.Error) string {
	switch {
	case f.Kind == fault.Cancelled:
		return cancelled
	case f.Kind.Row().NotRun:
		return notRun
	}
	return failed
}

// Order counts an order to an endpoint by what became of it.
func (j *Joined) Order(order, verdict string) { j.orders.WithLabelValues(order, verdict).Inc() }

// Event counts a log event.
func (j *Joined) Event(r event.Record) { j.events.WithLabelValues(r.Kind.Entry().Code).Inc() }

// Describe implements [prometheus.Collector]. It describes nothing, as that of
// the other set.
func (*joinedCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements [prometheus.Collector].
func (c *joinedCollector) Collect(ch chan<- prometheus.Metric) {
	s, to := c.read(), sink(ch)
	to.instance(s.Ready, s.ConfigurationVersion, s.StoreReachable, s.PeersLive, s.EndpointStates)
	to.put(openJobs, float64(s.Jobs))
	to.put(heldRuns, float64(s.Runs))
}
