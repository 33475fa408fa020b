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
			Evacuations: message.Evacuations{Version: b.Standing.GetEvacuations().GetVersion(), DataCentres: b.Standing.GetEvacuations().GetDataCentres()},
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
		return decodeLists(b.Lists), nil
	case *wire.Message_ListChange:
		put, invalid := decodeListedEndpoints(b.ListChange.GetPut())
		return message.ListChange{After: b.ListChange.GetAfter(), Cursor: b.ListChange.GetCursor(), Put: put, Removed: append(b.ListChange.GetGone(), invalid...)}, nil
	case *wire.Message_ListsRequest:
		return message.ListsRequest{}, nil
	case *wire.Message_DataCentreViews:
		return decodeViews(b.DataCentreViews)
	case *wire.Message_Profiles:
		return decodeProfiles(b.Profiles)
	case *wire.Message_EndpointLosses:
		return decodeLosses(b.EndpointLosses)
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
		Queue:    w.GetQueue(),
		Service:  w.GetService(),
		Spec:     w.GetSpec(),
		Needs:    needs,
		Estimate: decodeDuration(w.GetEstimateNs()),
		Requires: w.GetRequires(),
		Rack:     w.GetRack(),
		Avoid:    w.GetAvoid(),
		Offer:    w.GetOffer(),

		NotifyStart: w.GetTellStart(),
	}, checkName(w.GetQueue())
}

func decodeFreeSlots(w *wire.Vacancies) (message.Body, error) {
	capacities, err := decodeCapacities(w.GetRooms())
	return message.FreeSlots{Capacities: capacities}, err
}

func decodeCapacities(list []*wire.Room) ([]message.Capacity, error) {
	var capacities []message.Capacity
	for _, r := range list {
		err := errors.Join(checkCount(r.GetPlaces()), checkCount(r.GetFree()), checkAmount(r.GetLeavingPlaces()), checkAmount(r.GetJoiningPlaces()))
		if err != nil {
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
		capacities = append(capacities, message.Capacity{
			Service: r.GetService(), Slots: int(r.GetPlaces()), Free: int(r.GetFree()), Largest: largest, Backlog: backlog, Arrivals: arrivals,
			Leaving: r.GetLeavingPlaces(), Joining: r.GetJoiningPlaces(),
		})
	}
	return capacities, nil
}

func decodeBacklog(list []*wire.Wait) ([]message.WaitingTasks, error) {
	backlog := make([]message.WaitingTasks, 0, len(list))
	for _, w := range list {
		needs, err := decodeNeeds(w.GetNeeds())
		smallest, smallestErr := decodeNeeds(w.GetSmallest())
		if err := errors.Join(err, smallestErr, checkCount(w.GetTasks()), checkCount(w.GetShare())); err != nil {
			return nil, err
		}
		if w.Smallest == nil {
			smallest = needs // from a sender that reports only the largest
		}
		share := w.GetTasks()
		if w.Share != nil {
			share = w.GetShare()
		}
		backlog = append(backlog, message.WaitingTasks{
			Priority: int(w.GetPriority()),
			Late:     w.GetLate(),
			Tasks:    int(w.GetTasks()),
			Slack:    decodeDuration(w.GetSlackNs()),
			Work:     decodeDuration(w.GetWorkNs()),
			Needs:    needs,
			Smallest: smallest,
			Share:    int(share),
		})
	}
	return backlog, nil
}

func decodeArrivals(list []*wire.ArrivalRate) ([]message.ArrivalRate, error) {
	var arrivals []message.ArrivalRate
	for _, w := range list {
		if err := checkAmount(w.GetSlots()); err != nil {
			return nil, err
		}
		arrivals = append(arrivals, message.ArrivalRate{Priority: int(w.GetPriority()), Slots: w.GetSlots()})
	}
	return arrivals, nil
}

func decodeViews(w *wire.DataCentreViews) (message.Body, error) {
	b := message.DataCentreViews{}
	for _, v := range w.GetViews() {
		merger := decodeRef(v.GetMerger())
		if err := errors.Join(checkName(v.GetDataCentre()), checkRef(merger), checkCount(v.GetInstances())); err != nil {
			return nil, err
		}
		capacities, err := decodeCapacities(v.GetRooms())
		if err != nil {
			return nil, err
		}
		b.Views = append(b.Views, message.DataCentreView{
			DataCentre: v.GetDataCentre(), Merger: merger, Sequence: v.GetSequence(),
			Age: max(decodeDuration(v.GetAgeNs()), 0), Instances: int(v.GetInstances()), Capacities: capacities,
		})
	}
	return b, nil
}

func decodeProfiles(w *wire.Profiles) (message.Body, error) {
	b := message.Profiles{}
	for _, e := range w.GetEndpoints() {
		err := errors.Join(checkName(e.GetId()), checkAmount(e.GetSpeed()), checkCount(e.GetSamples()), checkAmount(e.GetFailedShare()), checkCount(e.GetOutcomes()))
		if err != nil {
			return nil, err
		}
		profile := message.EndpointProfile{
			ID: e.GetId(), Speed: e.GetSpeed(), Samples: int(e.GetSamples()), FailedShare: min(e.GetFailedShare(), 1), Outcomes: int(e.GetOutcomes()),
			EjectedFor: max(decodeDuration(e.GetEjectedForNs()), 0),
		}
		if e.GetBornMs() > 0 {
			profile.StartedAt = time.UnixMilli(e.GetBornMs())
		}
		b.Endpoints = append(b.Endpoints, profile)
	}
	for _, q := range w.GetQueues() {
		if err := errors.Join(checkName(q.GetQueue()), checkCount(q.GetSamples()), checkAmount(q.GetMedianRatio()), checkAmount(q.GetTailRatio())); err != nil {
			return nil, err
		}
		b.Queues = append(b.Queues, message.QueueProfile{Queue: q.GetQueue(), Samples: int(q.GetSamples()), MedianRatio: q.GetMedianRatio(), TailRatio: q.GetTailRatio()})
	}
	return b, nil
}

// checkAmount checks a number that is not negative and not larger than any
// count. It also excludes NaN.
func checkAmount(n float64) error {
	if !(n >= 0 && n <= math.MaxInt32) {
		return errOutOfRange
	}
	return nil
}

// decodeLists leaves out the entries that are not valid: they come from outside, and must
// not end the stream.
func decodeLists(w *wire.Lists) message.Body {
	b := message.Lists{}
	for _, item := range w.GetInstances() {
		if i, err := decodeInstance(item); err == nil {
			b.Instances = append(b.Instances, i)
		}
	}
	b.Endpoints, _ = decodeListedEndpoints(w.GetEndpoints())
	return b
}

// decodeListedEndpoints returns the entries that are valid and the IDs of the others.
func decodeListedEndpoints(list []*wire.ListedEndpoint) (endpoints []message.ListedEndpoint, invalid []string) {
	for _, item := range list {
		e, err := decodeListedEndpoint(item)
		if err != nil {
			invalid = append(invalid, item.GetId())
			continue
		}
		endpoints = append(endpoints, e)
	}
	return endpoints, invalid
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
		ColdFor:    max(decodeDuration(w.GetColdForNs()), 0),
	}, nil
}
