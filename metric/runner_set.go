package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
)

// The values of the label outcome of [RunnerSet.Answer].
const (
	complete  = "complete"
	notRun    = "not_run"
	failed    = "failed"
	cancelled = "cancelled"
)

type (
	// RunnerSet holds the metrics of an instance that package runner runs: one
	// that shares leased endpoints with other instances on the platform.
	RunnerSet struct {
		registry *prometheus.Registry
		answers  *prometheus.HistogramVec
		orders   *prometheus.CounterVec
		events   *prometheus.CounterVec
	}

	// RunnerSnapshot is the state of such an instance at a scrape.
	RunnerSnapshot struct {
		Ready                bool
		ConfigurationVersion uint64
		StoreReachable       bool
		PeersLive            int
		// Jobs is the number of jobs that are not answered yet, and Runs the
		// number of runs on endpoints that the instance holds.
		Jobs, Runs int
		// JobMemory and MaxJobMemory are the bytes that the callers' jobs take, and
		// that they may take.
		JobMemory, MaxJobMemory int64
		// EndpointStates is the number of endpoints that the instance holds, by
		// the name of their state.
		EndpointStates map[string]int
		// EndpointsLost counts the held endpoints that were lost with runs.
		EndpointsLost EndpointLosses
		// ProfilesSent and ProfilesReceived count the messages with profiles.
		ProfilesSent, ProfilesReceived int
		// Evacuated are the data centres that are evacuated.
		Evacuated []string
		Peers     Peers
		// Views are the views of data centres in use.
		Views   []DataCentreView
		Offers  Offers
		Clients Clients
	}

	// EndpointLosses counts endpoints that were lost with runs. Suspected counts all
	// of them, Proved those that have started again, and Withdrawn those that were
	// only silent.
	EndpointLosses struct{ Suspected, Proved, Withdrawn int }

	// DataCentreView is what the instance knows of the slots of a data centre.
	DataCentreView struct {
		DataCentre string
		Age        time.Duration
		Services   []ServiceSlots
	}

	// ServiceSlots are the numbers of slots of a service.
	ServiceSlots struct {
		Service     string
		Slots, Free int
	}

	// Offers counts the offers of slots that the instance has made to others.
	Offers struct {
		// Sent counts all offers. Taken led to a start, Declined were of no use
		// to the other instance, and Expired were not answered in time.
		Sent, Taken, Declined, Expired int
		// Reserved is the total time for which slots were reserved by offers
		// that have ended, and SlotTime that for which the instance had slots.
		Reserved, SlotTime time.Duration
	}

	// runnerCollector turns a snapshot into metrics at each scrape.
	runnerCollector struct {
		read func() RunnerSnapshot
	}
)

// NewRunnerSet returns the metrics of an instance that package runner runs. It
// calls snapshot at each scrape.
func NewRunnerSet(snapshot func() RunnerSnapshot) *RunnerSet {
	s := &RunnerSet{
		answers: histogramVec(answerSeconds),
		orders:  counterVec(orders),
		events:  counterVec(events),
	}
	s.registry = newRegistry(s.answers, s.orders, s.events, &runnerCollector{read: snapshot})
	return s
}

// Handler returns the handler that serves the metrics.
func (s *RunnerSet) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Answer observes the answer to a job of a queue, which came after the duration
// took. A nil f means that the job is complete.
func (s *RunnerSet) Answer(queue string, f *fault.Error, took time.Duration) {
	outcome, reason := complete, ""
	if f != nil {
		outcome, reason = outcomeOf(f), f.Kind.Row().Code
	}
	s.answers.WithLabelValues(queue, outcome, reason).Observe(took.Seconds())
}

// Refuse observes the refusal of a submission at its arrival, before it became a
// job, so that nothing was run whatever the kind of f. The queue is empty if it is
// not known.
func (s *RunnerSet) Refuse(queue string, f *fault.Error) {
	s.answers.WithLabelValues(queue, notRun, f.Kind.Row().Code).Observe(0)
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
func (s *RunnerSet) Order(order, outcome string) { s.orders.WithLabelValues(order, outcome).Inc() }

// Event counts a log event.
func (s *RunnerSet) Event(r event.Record) { s.events.WithLabelValues(r.Kind.Entry().Code).Inc() }

// Describe implements [prometheus.Collector]. It sends nothing, like that of
// collector.
func (*runnerCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements [prometheus.Collector].
func (c *runnerCollector) Collect(ch chan<- prometheus.Metric) {
	s, dst := c.read(), sink(ch)
	dst.addInstance(s.Ready, s.ConfigurationVersion, s.StoreReachable, s.PeersLive, s.EndpointStates)
	dst.add(openJobs, float64(s.Jobs))
	dst.add(jobMemory, float64(s.JobMemory), "used")
	dst.add(jobMemory, float64(s.MaxJobMemory), "limit")
	dst.add(heldRuns, float64(s.Runs))
	dst.add(endpointLosses, float64(s.EndpointsLost.Suspected), "suspected")
	dst.add(endpointLosses, float64(s.EndpointsLost.Proved), "proved")
	dst.add(endpointLosses, float64(s.EndpointsLost.Withdrawn), "withdrawn")
	dst.add(profileMessages, float64(s.ProfilesSent), "sent")
	dst.add(profileMessages, float64(s.ProfilesReceived), "received")
	dst.addPeers(s.Peers)
	dst.addClients(s.Clients)
	for _, dc := range s.Evacuated {
		dst.add(evacuatedDataCentres, 1, dc)
	}
	dst.add(offersSent, float64(s.Offers.Sent))
	dst.add(offersEnded, float64(s.Offers.Taken), "taken")
	dst.add(offersEnded, float64(s.Offers.Declined), "declined")
	dst.add(offersEnded, float64(s.Offers.Expired), "expired")
	dst.add(offersReserved, s.Offers.Reserved.Seconds())
	dst.add(slotTime, s.Offers.SlotTime.Seconds())
	for _, v := range s.Views {
		dst.add(viewAge, v.Age.Seconds(), v.DataCentre)
		for _, c := range v.Services {
			dst.add(viewSlots, float64(c.Slots), v.DataCentre, c.Service, "all")
			dst.add(viewSlots, float64(c.Free), v.DataCentre, c.Service, "free")
		}
	}
}
