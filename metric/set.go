package metric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/storage"
)

// Set holds the metrics of an instance that package serve runs. Start, StoreCall
// and Event do nothing on a nil set.
type Set struct {
	registry     *prometheus.Registry
	replies      *prometheus.CounterVec
	replySeconds *prometheus.HistogramVec
	starts       [numStartOutcomes]prometheus.Observer
	storeCalls   [numCallOutcomes]prometheus.Counter
	storeSeconds prometheus.Observer
	events       *prometheus.CounterVec
}

const (
	numStartOutcomes = int(endpoint.Lost) + 1
	numCallOutcomes  = int(storage.Unknown) + 1
)

var (
	buckets           = prometheus.ExponentialBuckets(0.001, 2, 17) // 1 ms to 65 s
	startOutcomeNames = [numStartOutcomes]string{"answered", "failed", "refused", "lost"}
	callOutcomeNames  = [numCallOutcomes]string{"done", "not_applied", "doubtful"}
)

// New returns the metrics of an instance that package serve runs. It calls
// snapshot at each scrape.
func New(snapshot func() Snapshot) *Set {
	s := &Set{
		replies:      counterVec(replies),
		replySeconds: histogramVec(replySeconds),
		events:       counterVec(events),
	}
	starts, calls, seconds := histogramVec(startSeconds), counterVec(storeCalls), histogramVec(storeSeconds)
	for i, name := range startOutcomeNames {
		s.starts[i] = starts.WithLabelValues(name)
	}
	for i, name := range callOutcomeNames {
		s.storeCalls[i] = calls.WithLabelValues(name)
	}
	s.storeSeconds = seconds.WithLabelValues()
	s.registry = newRegistry(s.replies, s.replySeconds, s.events, starts, calls, seconds, &collector{read: snapshot})
	return s
}

// newRegistry returns a registry of the given collectors and those of the Go
// runtime and the process.
func newRegistry(list ...prometheus.Collector) *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(list...)
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Handler returns the handler that serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Replies returns a function that observes the replies of one listener. A route
// is a pattern, not a path, so that the number of label values is bounded.
func (s *Set) Replies(listener string) func(route string, status int, took time.Duration) {
	return func(route string, status int, took time.Duration) {
		s.replies.WithLabelValues(listener, route, strconv.Itoa(status)).Inc()
		s.replySeconds.WithLabelValues(listener, route).Observe(took.Seconds())
	}
}

// Start observes the outcome of sending a task to an endpoint and the time that
// it took.
func (s *Set) Start(o endpoint.Outcome, took time.Duration) {
	if s != nil && int(o) < numStartOutcomes {
		s.starts[o].Observe(took.Seconds())
	}
}

// StoreCall observes the outcome of a call to the platform's table and the time
// that it took.
func (s *Set) StoreCall(o storage.Outcome, took time.Duration) {
	if s != nil && int(o) < numCallOutcomes {
		s.storeCalls[o].Inc()
		s.storeSeconds.Observe(took.Seconds())
	}
}

// Event counts a log event.
func (s *Set) Event(r event.Record) {
	if s != nil {
		s.events.WithLabelValues(r.Kind.Entry().Code).Inc()
	}
}

func counterVec(i id) *prometheus.CounterVec {
	r := table[i]
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: r.name, Help: r.meaning}, r.labels)
}

func histogramVec(i id) *prometheus.HistogramVec {
	r := table[i]
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: r.name, Help: r.meaning, Buckets: buckets}, r.labels)
}
