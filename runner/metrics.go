package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/metric"
)

// The values of the state label of held endpoints. A claimed endpoint may still
// have runs of an earlier holder; an open one has none.
const (
	openState    = "open"
	claimedState = "claimed"
)

// snapshot returns the values of the gauges for a scrape.
func (r *Runner) snapshot() metric.RunnerSnapshot {
	v, traffic := r.view.Load(), r.peers.Traffic()
	s := metric.RunnerSnapshot{
		Ready:                r.ready(),
		ConfigurationVersion: r.routes.Load().Version(),
		StoreReachable:       !r.listReads.lost(),
		PeersLive:            len(v.Connected),
		Evacuated:            v.Evacuated,
		Peers: metric.Peers{
			SentMessages: traffic.SentMessages, ReceivedMessages: traffic.ReceivedMessages,
			SentBytes: traffic.SentBytes, ReceivedBytes: traffic.ReceivedBytes,
		},
		Jobs:           v.Jobs,
		Runs:           v.Running,
		EndpointStates: map[string]int{openState: v.Active, claimedState: v.Held - v.Active},
	}
	for _, d := range v.DataCentres {
		m := metric.DataCentreView{DataCentre: d.DataCentre, Age: d.Age(time.Now())}
		for _, c := range d.Capacities {
			m.Services = append(m.Services, metric.ServiceSlots{Service: c.Service, Slots: c.Slots, Free: c.Free})
		}
		s.Views = append(s.Views, m)
	}
	return s
}
