package peer

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
	"github.com/lovagecrank/lovagecrank/run"
)

// decodePoolPackageBody returns the body of a message of package pool (not of
// this package's Pool), sent between instances that share leased endpoints. It
// returns errUnknownBody for any other message.
func decodePoolPackageBody(w *wire.Message) (message.Body, error) {
	switch b := w.GetBody().(type) {
	case *wire.Message_Standing:
		return message.Status{
			Draining: b.Standing.GetLeaving(), Version: b.Standing.GetVersion(), Endpoints: b.Standing.GetEndpoints(), DataCentres: b.Standing.GetDataCentres(),
		}, nil
	case *wire.Message_Vacancies:
		return decodeFreeSlots(b.Vacancies)
	case *wire.Message_StartRun:
		return decodeStartRun(b.StartRun)
	case *wire.Message_StopRun:
		r, err := decodeRun(b.StopRun.GetRun())
		return message.StopRun{Run: r}, err
	case *wire.Message_Runs:
		return decodeRuns(b.Runs)
	case *wire.Message_RunUpdate:
		return decodeRunUpdate(b.RunUpdate)
	case *wire.Message_Offer:
		needs, err := decodeNeeds(b.Offer.GetNeeds())
		return message.Offer{Number: b.Offer.GetNumber(), Service: b.Offer.GetService(), Needs: needs}, err
	case *wire.Message_Decline:
		return message.Decline{Number: b.Decline.GetNumber()}, nil
	case *wire.Message_Routes:
		return message.PlatformConfiguration{Document: b.Routes.GetDocument()}, nil
	case *wire.Message_RoutesRequest:
		return message.PlatformConfigurationRequest{}, nil
	case *wire.Message_Lists:
		return decodeLists(b.Lists)
	case *wire.Message_ListChange:
		put, err := decodeListedEndpoints(b.ListChange.GetPut())
		return message.ListChange{After: b.ListChange.GetAfter(), Cursor: b.ListChange.GetCursor(), Put: put, Removed: b.ListChange.GetGone()}, err
	case *wire.Message_ListsRequest:
		return message.ListsRequest{}, nil
	}
	return nil, errUnknownBody
}

func decodeRun(w *wire.Run) (run.Ref, error) {
	r := run.Ref{Task: w.GetTask(), Number: w.GetNumber()}
	if r.Number < 1 {
		return run.Ref{}, errOutOfRange
	}
	return r, checkName(r.Task)
}

func decodeRuns(w *wire.Runs) (message.Body, error) {
	b := message.Runs{}
	for _, item := range w.GetRuns() {
		r, err := decodeRun(item)
		if err != nil {
			return nil, err
		}
		b.Runs = append(b.Runs, r)
	}
	return b, nil
}

func decodeRunUpdate(w *wire.RunUpdate) (message.Body, error) {
	r, err := decodeRun(w.GetRun())
	if err != nil {
		return nil, err
	}
	status := run.Status(w.GetStatus())
	if !status.Valid() {
		return nil, errOutOfRange
	}
	return message.RunUpdate{Run: r, Status: status, Endpoint: w.GetEndpoint(), Free: int(w.GetFree()), Ran: decodeDuration(w.GetRanNs())}, checkCount(w.GetFree())
}

func decodeStartRun(w *wire.StartRun) (message.Body, error) {
	r, err := decodeRun(w.GetRun())
	if err != nil {
		return nil, err
	}
	needs, err := decodeNeeds(w.GetNeeds())
	if err != nil {
		return nil, err
	}
	return message.StartRun{
		Run:      r,
		Service:  w.GetService(),
		Spec:     w.GetSpec(),
		Needs:    needs,
		Estimate: decodeDuration(w.GetEstimateNs()),
		Requires: w.GetRequires(),
		Rack:     w.GetRack(),
		Avoid:    w.GetAvoid(),
		Offer:    w.GetOffer(),

		NotifyStart: w.GetTellStart(),
	}, nil
}

func decodeFreeSlots(w *wire.Vacancies) (message.Body, error) {
	b := message.FreeSlots{}
	for _, r := range w.GetRooms() {
		if err := errors.Join(checkCount(r.GetPlaces()), checkCount(r.GetFree())); err != nil {
			return nil, err
		}
		backlog, err := decodeBacklog(r.GetWaits())
		if err != nil {
			return nil, err
		}
		largest, err := decodeNeeds(r.GetLargest())
		if err != nil {
			return nil, err
		}
		arrivals, err := decodeArrivals(r.GetArrivals())
		if err != nil {
			return nil, err
		}
		b.Capacities = append(b.Capacities, message.Capacity{
			Service: r.GetService(), Slots: int(r.GetPlaces()), Free: int(r.GetFree()), Largest: largest, Backlog: backlog, Arrivals: arrivals,
		})
	}
	return b, nil
}

func decodeBacklog(list []*wire.Wait) ([]message.WaitingTasks, error) {
	backlog := make([]message.WaitingTasks, 0, len(list))
	for _, w := range list {
		needs, err := decodeNeeds(w.GetNeeds())
		if err := errors.Join(err, checkCount(w.GetTasks())); err != nil {
			return nil, err
		}
		backlog = append(backlog, message.WaitingTasks{
			Priority: int(w.GetPriority()),
			Late:     w.GetLate(),
			Tasks:    int(w.GetTasks()),
			Slack:    decodeDuration(w.GetSlackNs()),
			Work:     decodeDuration(w.GetWorkNs()),
			Needs:    needs,
		})
	}
	return backlog, nil
}

func decodeArrivals(list []*wire.ArrivalRate) ([]message.ArrivalRate, error) {
	var arrivals []message.ArrivalRate
	for _, w := range list {
		if slots := w.GetSlots(); !(slots >= 0 && slots <= math.MaxInt32) { // also excludes NaN
			return nil, errOutOfRange
		}
		arrivals = append(arrivals, message.ArrivalRate{Priority: int(w.GetPriority()), Slots: w.GetSlots()})
	}
	return arrivals, nil
}

func decodeLists(w *wire.Lists) (message.Body, error) {
	b := message.Lists{}
	for _, item := range w.GetInstances() {
		i, err := decodeInstance(item)
		if err != nil {
			return nil, err
		}
		b.Instances = append(b.Instances, i)
	}
	endpoints, err := decodeListedEndpoints(w.GetEndpoints())
	b.Endpoints = endpoints
	return b, err
}

func decodeListedEndpoints(list []*wire.ListedEndpoint) ([]message.ListedEndpoint, error) {
	var endpoints []message.ListedEndpoint
	for _, item := range list {
		e, err := decodeListedEndpoint(item)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	return endpoints, nil
}

func decodeListedEndpoint(w *wire.ListedEndpoint) (message.ListedEndpoint, error) {
	address, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return message.ListedEndpoint{}, fmt.Errorf("endpoint %s has no valid address: %w", w.GetId(), err)
	}
	size, err := decodeNeeds(w.GetSize())
	if err := errors.Join(err, checkCount(w.GetSlots()), checkName(w.GetId())); err != nil {
		return message.ListedEndpoint{}, err
	}
	startedAt := time.Time{}
	if w.GetBornMs() > 0 {
		startedAt = time.UnixMilli(w.GetBornMs())
	}
	return message.ListedEndpoint{
		StartedAt:  startedAt,
		ID:         w.GetId(),
		Address:    address,
		DataCentre: w.GetDataCentre(),
		Rack:       w.GetRack(),
		Slots:      int(w.GetSlots()),
		Size:       size,
		Draining:   w.GetLeaving(),
		Service:    w.GetService(),
		Labels:     w.GetLabels(),
	}, nil
}
