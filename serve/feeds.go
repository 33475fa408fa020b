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
	// listPollInterval is the time between polls of the platform's lists. It is
	// short so that an endpoint gets no new tasks later than 3 s after the list
	// shows it as draining.
	listPollInterval = time.Second
	// minListBackoff is the wait after the first failed poll. It doubles with
	// each further failure up to maxListBackoff.
	minListBackoff = 200 * time.Millisecond
	maxListBackoff = 3 * time.Second
	// listJitter is the largest random change of an interval in either
	// direction, as a fraction of the interval.
	listJitter = 0.2
	// listTimeout limits one call that reads a list or announces this instance.
	listTimeout = 2 * time.Second
	// announcementLifetime is how long the platform keeps an announcement;
	// announceInterval is the time between two announcements.
	announcementLifetime = 15 * time.Second
	announceInterval     = 4 * time.Second
)

// Announcer adds the instance to the platform's list of instances for the
// lifetime.
type Announcer interface {
	AnnounceInstance(ctx context.Context, i instance.Info, lifetime time.Duration) error
}

// pollList polls one of the platform's lists until ctx ends, with a backoff
// while reads fail, and passes each changed list to handle.
func pollList[T any](ctx context.Context, read func(context.Context) (T, error), handle func(T)) {
	backoff := minListBackoff
	for {
		interval := listPollInterval
		list, err := callPlatform(ctx, read)
		switch {
		case err == nil:
			handle(list)
			backoff = minListBackoff
		case errors.Is(err, store.ErrUnchanged):
			backoff = minListBackoff
		default:
			interval = backoff
			backoff = min(2*backoff, maxListBackoff)
		}
		if !sleep(ctx, jittered(interval)) {
			return
		}
	}
}

// callPlatform calls call with a timeout of listTimeout.
func callPlatform[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return call(ctx)
}

// jittered returns d changed at random by up to listJitter in either direction.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - listJitter + 2*listJitter*rand.Float64()))
}

func (d *driver) handleEndpoints(list []endpoint.Info) {
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.SetEndpoints(now, list, out)
	})
}

func (d *driver) handleInstances(list []instance.Info) {
	d.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.SetInstances(now, list, out)
	})
}

// announce announces this instance to the platform at each announceInterval
// until ctx ends. It ignores errors: the platform may discover its instances
// itself, and otherwise the next attempt follows after one interval.
func (d *driver) announce(ctx context.Context, to Announcer) {
	for {
		_, _ = callPlatform(ctx, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, to.AnnounceInstance(ctx, d.view.Load().Self, announcementLifetime)
		})
		if !sleep(ctx, jittered(announceInterval)) {
			return
		}
	}
}
