package peer

import (
	"errors"
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
)

func encodeLosses(b message.EndpointLosses) *wire.EndpointLosses {
	w := &wire.EndpointLosses{}
	for _, l := range b.Losses {
		item := &wire.EndpointLoss{Endpoint: l.Endpoint, Address: l.Address.String(), AgeNs: int64(l.Age), State: uint32(l.State)}
		if !l.StartedAt.IsZero() {
			item.BornMs = l.StartedAt.UnixMilli()
		}
		for _, r := range l.Runs {
			item.Runs = append(item.Runs, &wire.LostRun{Task: r.Task, Queue: r.Queue, Started: r.Started})
		}
		w.Losses = append(w.Losses, item)
	}
	return w
}

func decodeLosses(w *wire.EndpointLosses) (message.Body, error) {
	b := message.EndpointLosses{}
	for _, item := range w.GetLosses() {
		l, err := decodeLoss(item)
		if err != nil {
			return nil, err
		}
		b.Losses = append(b.Losses, l)
	}
	return b, nil
}

func decodeLoss(w *wire.EndpointLoss) (message.EndpointLoss, error) {
	address, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return message.EndpointLoss{}, err
	}
	l := message.EndpointLoss{
		Endpoint: w.GetEndpoint(), Address: address, Age: max(decodeDuration(w.GetAgeNs()), 0), State: crash.State(w.GetState()),
	}
	if w.GetState() > uint32(crash.Withdrawn) || len(w.GetRuns()) > crash.MaxRuns {
		return message.EndpointLoss{}, errOutOfRange
	}
	if w.GetBornMs() > 0 {
		l.StartedAt = time.UnixMilli(w.GetBornMs())
	}
	err = checkName(l.Endpoint)
	for _, r := range w.GetRuns() {
		err = errors.Join(err, checkName(r.GetTask()), checkName(r.GetQueue()))
		l.Runs = append(l.Runs, crash.Run{Task: r.GetTask(), Queue: r.GetQueue(), Started: r.GetStarted()})
	}
	return l, err
}
