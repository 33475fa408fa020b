package peer

import (
	"fmt"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
	"github.com/lovagecrank/lovagecrank/run"
)

// encodePoolPackageBody sets the body of a message of package pool (not of this
// package's Pool), sent between instances that share leased endpoints. It
// returns an error if the type has no wire form.
func encodePoolPackageBody(w *wire.Message, body message.Body) error {
	switch b := body.(type) {
	case message.Status:
		w.Body = &wire.Message_Standing{Standing: &wire.Standing{
			Leaving: b.Draining, Version: b.Version, Endpoints: b.Endpoints, DataCentres: b.DataCentres,
			Evacuations: encodeEvacuations(b.Evacuations),
		}}
	case message.FreeSlots:
		w.Body = &wire.Message_Vacancies{Vacancies: encodeFreeSlots(b)}
	case message.StartRun:
		w.Body = &wire.Message_StartRun{StartRun: encodeStartRun(b)}
	case message.StopRun:
		w.Body = &wire.Message_StopRun{StopRun: &wire.StopRun{Run: encodeRun(b.Run)}}
	case message.Runs:
		runs := make([]*wire.Run, 0, len(b.Runs))
		for _, r := range b.Runs {
			runs = append(runs, encodeRun(r))
		}
		w.Body = &wire.Message_Runs{Runs: &wire.Runs{Runs: runs}}
	case message.RunUpdate:
		w.Body = &wire.Message_RunUpdate{RunUpdate: &wire.RunUpdate{
			Run: encodeRun(b.Run), Status: uint32(b.Status), Endpoint: b.Endpoint, Free: int32(b.Free), RanNs: int64(b.Ran),
		}}
	case message.Offer:
		w.Body = &wire.Message_Offer{Offer: &wire.Offer{Number: b.Number, Service: b.Service, Needs: encodeNeeds(b.Needs)}}
	case message.Decline:
		w.Body = &wire.Message_Decline{Decline: &wire.Decline{Number: b.Number}}
	case message.PlatformConfiguration:
		w.Body = &wire.Message_Routes{Routes: &wire.Routes{Document: b.Document}}
	case message.PlatformConfigurationRequest:
		w.Body = &wire.Message_RoutesRequest{RoutesRequest: &wire.RoutesRequest{}}
	case message.Lists:
		w.Body = &wire.Message_Lists{Lists: encodeLists(b)}
	case message.ListChange:
		w.Body = &wire.Message_ListChange{ListChange: &wire.ListChange{
			After: b.After, Cursor: b.Cursor, Put: encodeListedEndpoints(b.Put), Gone: b.Removed,
		}}
	case message.ListsRequest:
		w.Body = &wire.Message_ListsRequest{ListsRequest: &wire.ListsRequest{}}
	case message.DataCentreViews:
		w.Body = &wire.Message_DataCentreViews{DataCentreViews: encodeViews(b)}
	case message.Profiles:
		w.Body = &wire.Message_Profiles{Profiles: encodeProfiles(b)}
	case message.EndpointLosses:
		w.Body = &wire.Message_EndpointLosses{EndpointLosses: encodeLosses(b)}
	default:
		return fmt.Errorf("message of type %T has no wire form; add it to peer.proto", body)
	}
	return nil
}

func encodeRun(r run.Ref) *wire.Run { return &wire.Run{Task: r.Task, Number: r.Number} }

func encodeStartRun(b message.StartRun) *wire.StartRun {
	return &wire.StartRun{
		Run:        encodeRun(b.Run),
		Queue:      b.Queue,
		Service:    b.Service,
		Spec:       b.Spec,
		Needs:      encodeNeeds(b.Needs),
		EstimateNs: int64(b.Estimate),
		Requires:   b.Requires,
		Rack:       b.Rack,
		Avoid:      b.Avoid,
		Offer:      b.Offer,
		TellStart:  b.NotifyStart,
	}
}

// encodeEvacuations returns nil if the evacuations are not known.
func encodeEvacuations(e message.Evacuations) *wire.Evacuations {
	if e.Version == 0 {
		return nil
	}
	return &wire.Evacuations{Version: e.Version, DataCentres: e.DataCentres}
}

func encodeFreeSlots(b message.FreeSlots) *wire.Vacancies {
	return &wire.Vacancies{Rooms: encodeCapacities(b.Capacities)}
}

func encodeCapacities(list []message.Capacity) []*wire.Room {
	var w []*wire.Room
	for _, c := range list {
		capacity := &wire.Room{
			Service: c.Service, Places: int32(c.Slots), Free: int32(c.Free), Largest: encodeNeeds(c.Largest),
			LeavingPlaces: c.Leaving, JoiningPlaces: c.Joining,
		}
		for _, d := range c.Backlog {
			share := int32(d.Share)
			capacity.Waits = append(capacity.Waits, &wire.Wait{
				Priority: int32(d.Priority),
				Late:     d.Late,
				Tasks:    int32(d.Tasks),
				SlackNs:  int64(d.Slack),
				WorkNs:   int64(d.Work),
				Needs:    encodeNeeds(d.Needs),
				Smallest: encodeNeeds(d.Smallest),
				Share:    &share,
			})
		}
		for _, a := range c.Arrivals {
			capacity.Arrivals = append(capacity.Arrivals, &wire.ArrivalRate{Priority: int32(a.Priority), Slots: a.Slots})
		}
		w = append(w, capacity)
	}
	return w
}

func encodeViews(b message.DataCentreViews) *wire.DataCentreViews {
	w := &wire.DataCentreViews{}
	for _, v := range b.Views {
		w.Views = append(w.Views, &wire.DataCentreView{
			DataCentre: v.DataCentre,
			Merger:     encodeRef(v.Merger),
			Sequence:   v.Sequence,
			AgeNs:      int64(v.Age),
			Instances:  int32(v.Instances),
			Rooms:      encodeCapacities(v.Capacities),
		})
	}
	return w
}

func encodeProfiles(b message.Profiles) *wire.Profiles {
	w := &wire.Profiles{}
	for _, e := range b.Endpoints {
		item := &wire.EndpointProfile{
			Id:           e.ID,
			Speed:        e.Speed,
			Samples:      int32(e.Samples),
			FailedShare:  e.FailedShare,
			Outcomes:     int32(e.Outcomes),
			EjectedForNs: int64(e.EjectedFor),
		}
		if !e.StartedAt.IsZero() {
			item.BornMs = e.StartedAt.UnixMilli()
		}
		w.Endpoints = append(w.Endpoints, item)
	}
	for _, q := range b.Queues {
		w.Queues = append(w.Queues, &wire.QueueProfile{Queue: q.Queue, Samples: int32(q.Samples), MedianRatio: q.MedianRatio, TailRatio: q.TailRatio})
	}
	return w
}

func encodeLists(b message.Lists) *wire.Lists {
	w := &wire.Lists{}
	for _, i := range b.Instances {
		w.Instances = append(w.Instances, encodeInstance(i))
	}
	w.Endpoints = encodeListedEndpoints(b.Endpoints)
	return w
}

func encodeListedEndpoints(list []message.ListedEndpoint) []*wire.ListedEndpoint {
	w := make([]*wire.ListedEndpoint, 0, len(list))
	for _, e := range list {
		item := &wire.ListedEndpoint{
			Id:         e.ID,
			Address:    e.Address.String(),
			DataCentre: e.DataCentre,
			Rack:       e.Rack,
			Slots:      int32(e.Slots),
			Size:       encodeNeeds(e.Size),
			Leaving:    e.Draining,
			Service:    e.Service,
			Labels:     e.Labels,
			ColdForNs:  int64(e.ColdFor),
		}
		if !e.StartedAt.IsZero() {
			item.BornMs = e.StartedAt.UnixMilli()
		}
		w = append(w, item)
	}
	return w
}
