package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/store"
)

const (
	// listPeriod is the time between reads of the platform's lists. An
	// endpoint that they show as leaving gets nothing new 3 s later at most.
	listPeriod = time.Second
	// firstListRetry is the time until the next read after one that failed; it
	// doubles with each further one up to slowListPeriod.
	firstListRetry = 200 * time.Millisecond
	slowListPeriod = 3 * time.Second
	// listJitter is the part of a period that is random.
	listJitter = 0.2
	// listLimit bounds one read.
	listLimit = 2 * time.Second
	// announceLife is how long the platform keeps an announcement, and
	// announcePeriod the time between two.
	announceLife   = 15 * time.Second
	announcePeriod = 4 * time.Second
)

// Announcer tells the platform that the instance is there.
type Announcer interface {
	AnnounceInstance(ctx context.Context, i instance.Info, lifetime time.Duration) error
}

// feed reads one list over and over until the context ends, more rarely while
// the reads fail.
func feed[T any](ctx context.Context, read func(context.Context) (T, error), take func(T)) {
	retry := firstListRetry
	for {
		period := listPeriod
		list, err := readList(ctx, read)
		switch {
		case err == nil:
			take(list)
			retry = firstListRetry
		case errors.Is(err, store.ErrUnchanged):
			retry = firstListRetry
		default:
			period = retry
			retry = min(2*retry, slowListPeriod)
		}
		if !sleep(ctx, jittered(period)) {
			return
		}
	}
}

func readList[T any](ctx context.Context, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	return read(ctx)
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - listJitter + 2*listJitter*rand.Float64()))
}

func (d *driver) takeEndpoints(list []endpoint.Info) {
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.SetEndpoints(now, list, out)
	})
}

func (d *driver) takeInstances(list []instance.Info) {
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.SetInstances(now, list, out)
	})
}

// announce tells the platform of this instance until the context ends. The
// platform may know its instances by itself, so a failure costs nothing but
// the time until the next try.
func (d *driver) announce(ctx context.Context, to Announcer) {
	for {
		_, _ = readList(ctx, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, to.AnnounceInstance(ctx, d.view.Load().Self, announceLife)
		})
		if !sleep(ctx, jittered(announcePeriod)) {
			return
		}
	}
}
