package serve

import (
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/metric"
	"github.com/lovagecrank/lovagecrank/peer"
)

// snapshot returns the values of the metrics for one scrape, from the latest
// view. It doesn't take the driver's lock.
func (p *program) snapshot() metric.Snapshot {
	v := p.driver.view.Load()
	s := metric.Snapshot{
		Ready:                v.Ready == nil,
		ConfigurationVersion: v.Configuration.Version,
		ConfigurationStale:   v.Stale,
		StoreReachable:       v.StoreReachable,
		EndpointStates:       map[string]int{},
		Slots: metric.Slots{
			Starts:        v.Counters.Starts,
			Refusals:      v.Counters.Refusals,
			SlotsBorrowed: v.Counters.SlotsBorrowed,
			SlotsUnused:   v.Counters.SlotsUnused,
			Wants:         v.Counters.Wants,
			Returns:       v.Counters.Returns,
			GrantsSent:    v.Counters.GrantsSent,
			Unanswered:    v.Counters.Unanswered,
		},
		Peers:   peerMetrics(p.peers.Traffic()),
		Clients: p.callers.Clients(),
	}
	for _, i := range v.Instances {
		if i.Live {
			s.PeersLive++
		}
	}
	for _, e := range v.Endpoints {
		s.EndpointStates[e.Health.String()]++
	}
	addClasses(&s, v)
	for _, t := range v.Configuration.Teams {
		status := v.Teams[t.Name]
		s.Teams = append(s.Teams, metric.Team{Name: t.Name, Waiting: status.Waiting, Running: status.Running})
	}
	return s
}

func addClasses(s *metric.Snapshot, v *entry.View) {
	for _, c := range v.Configuration.Classes {
		status := v.Classes[c.Name]
		s.Classes = append(s.Classes, metric.Class{
			Name:         c.Name,
			Target:       c.Target,
			Waiting:      status.Waiting,
			Running:      status.Running,
			Complete:     status.Completed,
			Failed:       status.Failed,
			NotRun:       status.NotRun,
			WithinTarget: status.WithinTarget,
			P50:          status.P50,
			P99:          status.P99,
			RatioP50:     status.RatioP50,
			RatioP99:     status.RatioP99,
		})
	}
}

func peerMetrics(t peer.Traffic) metric.Peers {
	return metric.Peers{
		SentMessages:     t.SentMessages,
		ReceivedMessages: t.ReceivedMessages,
		SentBytes:        t.SentBytes,
		ReceivedBytes:    t.ReceivedBytes,
	}
}
