package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/metric"
)

// The values of the state label of held endpoints. A claimed endpoint may still
// have runs of an earlier holder; the others have none. A draining one gets no work,
// a cold one less than an open one, an ejected one none because its runs fail.
const (
	openState     = "open"
	claimedState  = "claimed"
	drainingState = "draining"
	coldState     = "cold"
	ejectedState  = "ejected"
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
		Jobs:         v.Jobs,
		Runs:         v.Running,
		JobMemory:    r.memory.Used(),
		MaxJobMemory: r.memory.Limit(),
		EndpointStates: map[string]int{
			openState: v.Active - v.Draining - v.Ejected - v.Cold, claimedState: v.Held - v.Active,
			drainingState: v.Draining, ejectedState: v.Ejected, coldState: v.Cold,
		},
		Offers: metric.Offers{
			Sent: v.Offers.Sent, Taken: v.Offers.Taken, Declined: v.Offers.Declined, Expired: v.Offers.Expired,
			Reserved: v.Offers.Reserved, SlotTime: v.Offers.SlotTime,
		},
		EndpointsLost:    metric.EndpointLosses(v.Losses),
		ProfilesSent:     v.ProfilesSent,
		ProfilesReceived: v.ProfilesReceived,
		Clients:          r.callers.Clients(),
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
