package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type (
	// Snapshot is the state of an instance at a scrape.
	Snapshot struct {
		Ready                bool
		ConfigurationVersion uint64
		ConfigurationStale   bool
		StoreReachable       bool
		PeersLive            int
		// EndpointStates is the number of endpoints by the name of their state.
		EndpointStates map[string]int
		Classes        []Class
		Teams          []Team
		Slots          Slots
		Peers          Peers
		Clients        Clients
	}

	// Clients holds the state of the callers' listener.
	Clients struct {
		// Waiting, Serving and MaxConnections are numbers of connections.
		Waiting, Serving, MaxConnections int
		// Refused counts the connections that were closed or refused, by reason.
		Refused map[string]uint64
		// HeaderMemory and MaxHeaderMemory are the bytes that headers take, and that
		// they may take.
		HeaderMemory, MaxHeaderMemory int64
	}

	// Class holds the statistics of one class.
	Class struct {
		Name   string
		Target time.Duration
		// Waiting and Running are numbers of tasks.
		Waiting, Running int
		// Complete, Failed and NotRun are numbers of jobs by their final state.
		// WithinTarget is the number of complete jobs whose response time was
		// within Target.
		Complete, Failed, NotRun, WithinTarget uint64
		// P50 and P99 are quantiles of the response time of complete jobs.
		P50, P99 time.Duration
		// RatioP50 and RatioP99 are quantiles of the ratio of the response time
		// of complete jobs to that on an idle system.
		RatioP50, RatioP99 float64
	}

	// Team holds the statistics of one team.
	Team struct {
		Name string
		// Waiting and Running are numbers of tasks.
		Waiting, Running int
	}

	// Slots holds the totals of task starts and of the slots that instances lend
	// each other.
	Slots struct {
		// Starts counts task starts, Refusals the starts that an endpoint
		// refused, SlotsBorrowed the borrowed slots, and SlotsUnused those that
		// were returned without a start.
		Starts, Refusals, SlotsBorrowed, SlotsUnused uint64
		// Wants, Returns and GrantsSent count messages sent, and Unanswered the
		// Wants that were withdrawn before any slot came.
		Wants, Returns, GrantsSent, Unanswered uint64
	}

	// Peers holds the totals of the streams with other instances.
	Peers struct {
		SentMessages, ReceivedMessages, SentBytes, ReceivedBytes uint64
	}

	// collector turns a snapshot into metrics at each scrape, so that requests
	// do not have to update metrics for what the instance counts anyway.
	collector struct {
		read func() Snapshot
	}

	// sink receives the metrics of one scrape.
	sink chan<- prometheus.Metric
)

// descriptions holds the Prometheus descriptions of the metrics.
var descriptions = newDescriptions()

func newDescriptions() [numMetrics]*prometheus.Desc {
	var list [numMetrics]*prometheus.Desc
	for i, r := range table {
		list[i] = prometheus.NewDesc(r.name, r.meaning, r.labels, nil)
	}
	return list
}

// Describe implements [prometheus.Collector]. It sends nothing, since the values
// of the labels depend on the configuration.
func (*collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements [prometheus.Collector].
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s, dst := c.read(), sink(ch)
	dst.addInstance(s.Ready, s.ConfigurationVersion, s.StoreReachable, s.PeersLive, s.EndpointStates)
	dst.add(configurationStale, boolValue(s.ConfigurationStale))
	for _, class := range s.Classes {
		dst.addClass(class)
	}
	for _, team := range s.Teams {
		dst.add(teamWaiting, float64(team.Waiting), team.Name)
		dst.add(teamRunning, float64(team.Running), team.Name)
	}
	dst.addSlots(s.Slots)
	dst.addPeers(s.Peers)
	dst.addClients(s.Clients)
}

func (dst sink) addClients(c Clients) {
	dst.add(connections, float64(c.Waiting), "waiting")
	dst.add(connections, float64(c.Serving), "serving")
	dst.add(connections, float64(c.MaxConnections), "limit")
	for reason, n := range c.Refused {
		dst.add(refusedConnections, float64(n), reason)
	}
	dst.add(headerMemory, float64(c.HeaderMemory), "used")
	dst.add(headerMemory, float64(c.MaxHeaderMemory), "limit")
}

// addInstance adds the metrics that both kinds of instances have.
func (dst sink) addInstance(isReady bool, version uint64, isStoreReachable bool, peers int, endpointStates map[string]int) {
	dst.add(ready, boolValue(isReady))
	dst.add(configurationVersion, float64(version))
	dst.add(storeReachable, boolValue(isStoreReachable))
	dst.add(peersLive, float64(peers))
	for state, n := range endpointStates {
		dst.add(endpoints, float64(n), state)
	}
}

func (dst sink) addClass(c Class) {
	dst.add(classTarget, c.Target.Seconds(), c.Name)
	dst.add(classWaiting, float64(c.Waiting), c.Name)
	dst.add(classRunning, float64(c.Running), c.Name)
	dst.add(classJobs, float64(c.Complete), c.Name, "complete")
	dst.add(classJobs, float64(c.Failed), c.Name, "failed")
	dst.add(classJobs, float64(c.NotRun), c.Name, "not_run")
	dst.add(classWithinTarget, float64(c.WithinTarget), c.Name)
	dst.add(classResponse, c.P50.Seconds(), c.Name, "0.5")
	dst.add(classResponse, c.P99.Seconds(), c.Name, "0.99")
	dst.add(classRatio, c.RatioP50, c.Name, "0.5")
	dst.add(classRatio, c.RatioP99, c.Name, "0.99")
}

func (dst sink) addSlots(s Slots) {
	dst.add(taskStarts, float64(s.Starts))
	dst.add(taskRefusals, float64(s.Refusals))
	dst.add(slotGrants, float64(s.SlotsBorrowed))
	dst.add(slotGrantsUnused, float64(s.SlotsUnused))
	dst.add(slotMessages, float64(s.Wants), "want")
	dst.add(slotMessages, float64(s.Returns), "return")
	dst.add(slotMessages, float64(s.GrantsSent), "lend")
	dst.add(wastedMessages, float64(s.Refusals+s.SlotsUnused+s.Unanswered))
}

func (dst sink) addPeers(p Peers) {
	dst.add(peerMessages, float64(p.SentMessages), "sent")
	dst.add(peerMessages, float64(p.ReceivedMessages), "received")
	dst.add(peerBytes, float64(p.SentBytes), "sent")
	dst.add(peerBytes, float64(p.ReceivedBytes), "received")
}

// add adds one sample of a metric.
func (dst sink) add(i id, v float64, labels ...string) {
	kind := prometheus.GaugeValue
	if table[i].kind == counter {
		kind = prometheus.CounterValue
	}
	dst <- prometheus.MustNewConstMetric(descriptions[i], kind, v, labels...)
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
