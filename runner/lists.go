package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/pool"
)

// listsRequestPeriod is the period at which an instance without lists asks a
// peer for them.
const listsRequestPeriod = 300 * time.Millisecond

// setStoreEndpoints sets the endpoints in use to the store's list.
func (r *Runner) setStoreEndpoints(infos []endpoint.Info) {
	r.endpointsMu.Lock()
	defer r.endpointsMu.Unlock()
	r.listFromStore = true
	r.setEndpoints(infos)
}

// setEndpoints sets the endpoints in use.
func (r *Runner) setEndpoints(infos []endpoint.Info) {
	listed := toListedEndpoints(time.Now(), infos)
	r.listsMu.Lock()
	r.lists.Endpoints = listed
	r.listsMu.Unlock()
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.SetEndpoints(now, infos, out) })
}

// setInstances sets the other instances in use.
func (r *Runner) setInstances(infos []instance.Info) {
	r.listsMu.Lock()
	r.lists.Instances = infos
	r.listsMu.Unlock()
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.SetInstances(now, infos, out) })
}

// currentLists returns the lists in use. The slices are replaced, never modified.
func (r *Runner) currentLists() message.Lists {
	r.listsMu.Lock()
	defer r.listsMu.Unlock()
	return r.lists
}

// requestLists asks a connected peer for its lists if this instance has none,
// the next peer after each listsRequestPeriod. The store usually answers before
// the first request.
func (r *Runner) requestLists(now time.Time) {
	if now.Sub(r.listsRequestedAt) < listsRequestPeriod || len(r.currentLists().Endpoints) > 0 {
		return
	}
	r.listsRequestedAt = now
	if peers := r.view.Load().Connected; len(peers) > 0 {
		r.listsRequests++
		r.send(peers[r.listsRequests%len(peers)], message.ListsRequest{})
	}
}

// handleLists uses the lists of a peer unless the store's list of endpoints is in
// use, so that an instance that starts while the store is unavailable can serve.
// Such an instance does not know its peers, but they keep trying to connect to it
// for a while, so it gets its streams from them.
func (r *Runner) handleLists(l message.Lists) {
	r.endpointsMu.Lock()
	defer r.endpointsMu.Unlock()
	if r.listFromStore {
		return
	}
	var instances []instance.Info
	for _, i := range l.Instances {
		if i.ID != r.cfg.Self.ID {
			instances = append(instances, i)
		}
	}
	r.setInstances(instances)
	r.setEndpoints(fromListedEndpoints(time.Now(), l.Endpoints))
}

// toListedEndpoints converts endpoints to their form in messages that are sent now.
func toListedEndpoints(now time.Time, infos []endpoint.Info) []message.ListedEndpoint {
	list := make([]message.ListedEndpoint, 0, len(infos))
	for _, i := range infos {
		list = append(list, message.ListedEndpoint{
			ID: i.ID, Address: i.Address, DataCentre: i.DataCentre, Rack: i.Rack, Slots: i.Slots, Size: i.Size,
			Draining: i.Draining, Service: i.Service, Labels: i.Labels, StartedAt: i.StartedAt, ColdFor: coldFor(now, i),
		})
	}
	return list
}

// coldFor returns how much longer the endpoint is cold; zero if it is not.
func coldFor(now time.Time, i endpoint.Info) time.Duration {
	if i.ColdUntil.IsZero() {
		return 0
	}
	return max(i.ColdUntil.Sub(now), 0)
}

// fromListedEndpoints converts the endpoints of a message that has just arrived.
func fromListedEndpoints(now time.Time, list []message.ListedEndpoint) []endpoint.Info {
	infos := make([]endpoint.Info, 0, len(list))
	for _, e := range list {
		infos = append(infos, endpoint.Info{
			ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Rack: e.Rack, Slots: e.Slots, Size: e.Size,
			Draining: e.Draining, Service: e.Service, Labels: e.Labels, StartedAt: e.StartedAt, ColdUntil: endpoint.ColdUntil(now, e.ColdFor),
		})
	}
	return infos
}
