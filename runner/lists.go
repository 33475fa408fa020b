package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/pool"
)

// useStoreEndpoints brings the store's list of endpoints into use.
func (r *Runner) useStoreEndpoints(infos []endpoint.Info) {
	r.useMu.Lock()
	defer r.useMu.Unlock()
	r.storeRead = true
	r.useEndpoints(infos)
}

// useEndpoints brings a list of endpoints into use.
func (r *Runner) useEndpoints(infos []endpoint.Info) {
	listed := listedOf(infos)
	r.listsMu.Lock()
	r.lists.Endpoints = listed
	r.listsMu.Unlock()
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.SetEndpoints(now, infos, out) })
}

// useInstances brings a list of the other instances into use.
func (r *Runner) useInstances(infos []instance.Info) {
	r.listsMu.Lock()
	r.lists.Instances = infos
	r.listsMu.Unlock()
	r.peers.SetPeers(infos)
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.SetInstances(now, infos, out) })
}

// ownLists returns the lists that are in use. They are replaced, never changed.
func (r *Runner) ownLists() message.Lists {
	r.listsMu.Lock()
	defer r.listsMu.Unlock()
	return r.lists
}

// learnLists takes the lists of a peer in, unless the store has told them: an
// instance that starts while the store is away can serve by them. It finds its
// peers because they go on calling it for a while.
func (r *Runner) learnLists(l message.Lists) {
	r.useMu.Lock()
	defer r.useMu.Unlock()
	if r.storeRead {
		return
	}
	var instances []instance.Info
	for _, i := range l.Instances {
		if i.ID != r.cfg.Self.ID {
			instances = append(instances, i)
		}
	}
	r.useInstances(instances)
	r.useEndpoints(infosOf(l.Endpoints))
}

// listedOf returns endpoints as messages carry them.
func listedOf(infos []endpoint.Info) []message.ListedEndpoint {
	list := make([]message.ListedEndpoint, 0, len(infos))
	for _, i := range infos {
		list = append(list, message.ListedEndpoint{
			ID: i.ID, Address: i.Address, DataCentre: i.DataCentre, Rack: i.Rack, Slots: i.Slots, Size: i.Size,
			Draining: i.Leaving, Service: i.Service, Labels: i.Labels, StartedAt: i.Born,
		})
	}
	return list
}

// infosOf returns the endpoints that a message carries.
func infosOf(list []message.ListedEndpoint) []endpoint.Info {
	infos := make([]endpoint.Info, 0, len(list))
	for _, e := range list {
		infos = append(infos, endpoint.Info{
			ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Rack: e.Rack, Slots: e.Slots, Size: e.Size,
			Leaving: e.Draining, Service: e.Service, Labels: e.Labels, Born: e.StartedAt,
		})
	}
	return infos
}
