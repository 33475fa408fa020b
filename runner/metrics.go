package runner

import "github.com/lovagecrank/lovagecrank/metric"

// The states in which an endpoint is held.
const (
	openState    = "open"
	claimedState = "claimed"
)

// snapshot returns what a scrape reads.
func (r *Runner) snapshot() metric.JoinedSnapshot {
	v := r.view.Load()
	return metric.JoinedSnapshot{
		Ready:                r.ready(),
		ConfigurationVersion: r.routes.Load().Version(),
		StoreReachable:       !r.storeLost.Load(),
		PeersLive:            v.Peers,
		Jobs:                 v.Jobs,
		Runs:                 v.Running,
		EndpointStates:       map[string]int{openState: v.Active, claimedState: v.Held - v.Active},
	}
}
