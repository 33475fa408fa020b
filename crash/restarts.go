package crash

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

type (
	// Boot is a boot of an endpoint as the platform's list shows it.
	Boot struct {
		Endpoint string
		Address  netip.AddrPort
		// StartedAt is when the boot started; zero if unknown.
		StartedAt time.Time
		// Draining reports that the endpoint was announced to leave.
		Draining bool
	}

	// listedBoot is the boot of an endpoint that was listed last, and when it was.
	listedBoot struct {
		Boot
		at time.Time
	}

	// restarts has the crashes that show only in the platform's list: those of
	// endpoints of which no loss is known, mostly because they ran nothing.
	restarts struct {
		// listed has the boots of the last list, which was handled at listedAt, and those
		// that were listed within lossTTL, by endpoint. byAddress has the endpoint that was
		// listed last at each address.
		listed    map[string]listedBoot
		listedAt  time.Time
		byAddress map[netip.AddrPort]string
		// crashes are the crashes of the last lossTTL, and order their keys in the
		// order in which they were recorded.
		crashes map[key]Loss
		order   []key
	}
)

func newRestarts() restarts {
	return restarts{listed: map[string]listedBoot{}, byAddress: map[netip.AddrPort]string{}, crashes: map[key]Loss{}}
}

// ObserveList handles the boots in a new list of the platform. An endpoint that has
// started again, or was replaced by another one at its address, has crashed unless it was
// announced to leave.
func (l *Ledger) ObserveList(now time.Time, boots []Boot) {
	l.restarts.listedAt = now
	for _, b := range boots {
		if b.StartedAt.IsZero() {
			continue
		}
		if p, ok := l.restarts.predecessor(b); ok && !p.Draining {
			l.recordRestart(Loss{Endpoint: p.Endpoint, Address: p.Address, StartedAt: p.StartedAt, At: now, State: Proved})
		}
		l.restarts.listed[b.Endpoint] = listedBoot{b, now}
		l.restarts.byAddress[b.Address] = b.Endpoint
	}
}

// predecessor returns the boot that was listed before a new one of the same endpoint, or
// at its address if the endpoint is new.
func (r *restarts) predecessor(b Boot) (p listedBoot, ok bool) {
	p, ok = r.listed[b.Endpoint]
	if !ok {
		p, ok = r.listed[r.byAddress[b.Address]]
	}
	return p, ok && p.StartedAt.UnixMilli() < b.StartedAt.UnixMilli()
}

// recordRestart records a crash without known runs, and reports whether it is new. A loss
// of the same boot that was withdrawn was before the crash.
func (l *Ledger) recordRestart(crash Loss) (changed bool) {
	k, r := keyOf(crash.Endpoint, crash.StartedAt), &l.restarts
	if _, ok := r.crashes[k]; ok {
		return false
	}
	if loss := l.losses[k]; loss != nil && loss.State != Withdrawn {
		return false
	}
	if len(r.order) >= maxLosses {
		r.forget(r.order[0])
	}
	r.crashes[k] = crash
	r.order = append(r.order, k)
	return true
}

func (r *restarts) forget(k key) {
	if _, ok := r.crashes[k]; !ok {
		return
	}
	delete(r.crashes, k)
	r.order = slices.DeleteFunc(r.order, func(o key) bool { return o == k })
}

// expire forgets what is older than lossTTL.
func (r *restarts) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.crashes[r.order[0]].At) > lossTTL {
		r.forget(r.order[0])
	}
	maps.DeleteFunc(r.listed, func(_ string, b listedBoot) bool { return !b.at.Equal(r.listedAt) && now.Sub(b.at) > lossTTL })
	maps.DeleteFunc(r.byAddress, func(_ netip.AddrPort, endpoint string) bool { _, ok := r.listed[endpoint]; return !ok })
}

// Restarts returns the crashes that show only in the list, in the order in which they
// were recorded.
func (l *Ledger) Restarts() []Loss {
	list := make([]Loss, 0, len(l.restarts.order))
	for _, k := range l.restarts.order {
		list = append(list, l.restarts.crashes[k])
	}
	return list
}
