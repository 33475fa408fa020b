package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type (
	// Snapshot is what an instance tells of itself at a scrape.
	Snapshot struct {
		Ready                bool
		ConfigurationVersion uint64
		ConfigurationStale   bool
		StoreReachable       bool
		PeersLive            int
		// EndpointStates counts endpoints by the name of their state.
		EndpointStates map[string]int
		Classes        []Class
		Teams          []Team
		Slots          Slots
		Peers          Peers
	}

	// Class is what one class reaches.
	Class struct {
		Name                                   string
		Target                                 time.Duration
		Waiting, Running                       int
		Complete, Failed, NotRun, WithinTarget uint64
		P50, P99                               time.Duration
		RatioP50, RatioP99                     float64
	}

	// Team is what one team uses.
	Team struct {
		Name             string
		Waiting, Running int
	}

	// Slots are the totals of starts and of the messages about slots.
	Slots struct {
		Starts, Refusals, Grants, Unused uint64
		Wants, Returns, Lent, Unanswered uint64
	}

	// Peers are the totals of the streams with other instances.
	Peers struct {
		SentMessages, ReceivedMessages, SentBytes, ReceivedBytes uint64
	}

	// collector turns a snapshot into metrics at each scrape, so that nothing
	// is counted twice on a request's path.
	collector struct {
		read func() Snapshot
	}

	// sink takes the metrics of one scrape.
	sink chan<- prometheus.Metric
)

var descriptions = describe()

func describe() [ids]*prometheus.Desc {
	var list [ids]*prometheus.Desc
	for i, r := range table {
		list[i] = prometheus.NewDesc(r.name, r.meaning, r.labels, nil)
	}
	return list
}

// Describe implements [prometheus.Collector]. It describes nothing, since the
// labels depend on the configuration.
func (*collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements [prometheus.Collector].
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s, to := c.read(), sink(ch)
	to.instance(s.Ready, s.ConfigurationVersion, s.StoreReachable, s.PeersLive, s.EndpointStates)
	to.put(configurationStale, oneIf(s.ConfigurationStale))
	for _, class := range s.Classes {
		to.class(class)
	}
	for _, team := range s.Teams {
		to.put(teamWaiting, float64(team.Waiting), team.Name)
		to.put(teamRunning, float64(team.Running), team.Name)
	}
	to.slots(s.Slots)
	to.peers(s.Peers)
}

// instance adds what every kind of instance tells of itself.
func (to sink) instance(isReady bool, version uint64, storeAnswers bool, peers int, endpointStates map[string]int) {
	to.put(ready, oneIf(isReady))
	to.put(configurationVersion, float64(version))
	to.put(storeReachable, oneIf(storeAnswers))
	to.put(peersLive, float64(peers))
	for state, n := range endpointStates {
		to.put(endpoints, float64(n), state)
	}
}

func (to sink) class(c Class) {
	to.put(classTarget, c.Target.Seconds(), c.Name)
	to.put(classWaiting, float64(c.Waiting), c.Name)
	to.put(classRunning, float64(c.Running), c.Name)
	to.put(classJobs, float64(c.Complete), c.Name, "complete")
	to.put(classJobs, float64(c.Failed), c.Name, "failed")
	to.put(classJobs, float64(c.NotRun), c.Name, "not_run")
	to.put(classWithinTarget, float64(c.WithinTarget), c.Name)
	to.put(classResponse, c.P50.Seconds(), c.Name, "0.5")
	to.put(classResponse, c.P99.Seconds(), c.Name, "0.99")
	to.put(classRatio, c.RatioP50, c.Name, "0.5")
	to.put(classRatio, c.RatioP99, c.Name, "0.99")
}

func (to sink) slots(s Slots) {
	to.put(taskStarts, float64(s.Starts))
	to.put(taskRefusals, float64(s.Refusals))
	to.put(slotGrants, float64(s.Grants))
	to.put(slotGrantsUnused, float64(s.Unused))
	to.put(slotMessages, float64(s.Wants), "want")
	to.put(slotMessages, float64(s.Returns), "return")
	to.put(slotMessages, float64(s.Lent), "lend")
	to.put(wastedMessages, float64(s.Refusals+s.Unused+s.Unanswered))
}

func (to sink) peers(p Peers) {
	to.put(peerMessages, float64(p.SentMessages), "sent")
	to.put(peerMessages, float64(p.ReceivedMessages), "received")
	to.put(peerBytes, float64(p.SentBytes), "sent")
	to.put(peerBytes, float64(p.ReceivedBytes), "received")
}

// put adds one sample of a row.
func (to sink) put(i id, v float64, labels ...string) {
	kind := prometheus.GaugeValue
	if table[i].kind == counter {
		kind = prometheus.CounterValue
	}
	to <- prometheus.MustNewConstMetric(descriptions[i], kind, v, labels...)
}

func oneIf(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
