package runner

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/pool"
)

// metrics counts what an instance does.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	orders   *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lovagecrank_answer_seconds",
			Help:    "Time from a job's arrival to its answer, by queue and reason.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 10),
		}, []string{"queue", "reason"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovagecrank_orders_total",
			Help: "Orders to endpoints, by kind and what became of them.",
		}, []string{"order", "verdict"}),
	}
	m.registry.MustRegister(m.answers, m.orders)
	return m
}

// answered counts an answer under the code of its reason.
func (m *metrics) answered(queue string, f *fault.Error, took time.Duration) {
	reason := "complete"
	if f != nil {
		reason = f.Kind.Row().Code
	}
	m.answers.WithLabelValues(queue, reason).Observe(took.Seconds())
}

func (m *metrics) ordered(order string, v pool.Verdict) {
	m.orders.WithLabelValues(order, v.String()).Inc()
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
