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
		w.Body = &wire.Message_Standing{Standing: &wire.Standing{Leaving: b.Draining, Version: b.Version, Endpoints: b.Endpoints, DataCentres: b.DataCentres}}
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
	default:
		return fmt.Errorf("message of type %T has no wire form; add it to peer.proto", body)
	}
	return nil
}

func encodeRun(r run.Ref) *wire.Run { return &wire.Run{Task: r.Task, Number: r.Number} }

func encodeStartRun(b message.StartRun) *wire.StartRun {
	return &wire.StartRun{
		Run:        encodeRun(b.Run),
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

func encodeFreeSlots(b message.FreeSlots) *wire.Vacancies {
	w := &wire.Vacancies{}
	for _, r := range b.Capacities {
		capacity := &wire.Room{Service: r.Service, Places: int32(r.Slots), Free: int32(r.Free), Largest: encodeNeeds(r.Largest)}
		for _, d := range r.Backlog {
			capacity.Waits = append(capacity.Waits, &wire.Wait{
				Priority: int32(d.Priority),
				Late:     d.Late,
				Tasks:    int32(d.Tasks),
				SlackNs:  int64(d.Slack),
				WorkNs:   int64(d.Work),
				Needs:    encodeNeeds(d.Needs),
			})
		}
		for _, a := range r.Arrivals {
			capacity.Arrivals = append(capacity.Arrivals, &wire.ArrivalRate{Priority: int32(a.Priority), Slots: a.Slots})
		}
		w.Rooms = append(w.Rooms, capacity)
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
		}
		if !e.StartedAt.IsZero() {
			item.BornMs = e.StartedAt.UnixMilli()
		}
		w = append(w, item)
	}
	return w
}
