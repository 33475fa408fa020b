package instance

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

const (
	// jitter is the largest random change of a heartbeat's period, as a share
	// of the period.
	jitter = 0.2
	// silentFactor multiplies the heartbeat period of a member that is silent.
	silentFactor = 5
)

// HandleList handles a new version of the platform's list of instances. The
// list lags and has no incarnations, so it only provides addresses to try. An
// instance that sends messages is live, whether listed or not, and one that
// does not is not live. HandleList ignores an empty list while members are
// known.
func (m *Membership) HandleList(now time.Time, list []Info, out *Output) {
	if len(list) == 0 && len(m.all) > 0 {
		return
	}
	for _, p := range m.all {
		p.listed = false
	}
	for _, info := range list {
		if info.ID == m.cfg.Self.ID || info.ID == "" {
			continue
		}
		p := m.find(now, info)
		if p == nil {
			continue
		}
		if !p.listed {
			p.addresses = p.addresses[:0]
		}
		if !slices.Contains(p.addresses, info.Address) {
			p.addresses = append(p.addresses, info.Address)
		}
		p.listed = true
		if !p.live {
			p.relocate(info)
		}
		if info.Draining {
			m.markDraining(p, out)
		}
	}
	m.removeSilent(now)
}

// relocate updates the data centre, rack and address of a member that is not
// live from the list.
func (p *member) relocate(info Info) {
	p.info.DataCentre = info.DataCentre
	p.info.Rack = info.Rack
	p.info.Address = info.Address
}

// HandleHeartbeat handles a message that carries the sender's whole
// description, such as a heartbeat.
func (m *Membership) HandleHeartbeat(now time.Time, info Info, out *Output) {
	if info.ID == m.cfg.Self.ID || info.ID == "" || info.Incarnation == 0 {
		return
	}
	p := m.find(now, info)
	if p == nil {
		return
	}
	if p.info.Incarnation != info.Incarnation && !m.replace(now, p, info, out) {
		return
	}
	wasDraining := p.info.Draining && p.info.Incarnation == info.Incarnation
	p.info = info
	p.info.Draining = wasDraining
	m.markLive(now, p, out)
	if info.Draining {
		m.markDraining(p, out)
	}
}

// HandleMessage handles any other message. It ignores an unknown incarnation,
// which must send a heartbeat first.
func (m *Membership) HandleMessage(now time.Time, from Ref, out *Output) {
	p, ok := m.byID[from.ID]
	if ok && from.Incarnation != 0 && p.info.Incarnation == from.Incarnation {
		m.markLive(now, p, out)
	}
}

// replace decides whether info's incarnation replaces the known one. A higher
// incarnation replaces it at once. A lower one does so only after the known
// incarnation has been silent for the silence limit. Thus a delayed message of
// an earlier incarnation cannot displace a live one, and a clock that was set
// back only delays the replacement.
func (m *Membership) replace(now time.Time, p *member, info Info, out *Output) bool {
	silent := now.Sub(p.lastReceived) > m.silenceLimit(p)
	if info.Incarnation < p.info.Incarnation && !silent {
		return false
	}
	m.markLost(p, "replaced by a new incarnation", out)
	p.lastReceived = time.Time{}
	return true
}

// HandleStreamLost handles a broken stream to an incarnation. The member is
// lost, gets a heartbeat at the next Tick, and joins again when it sends a
// message.
func (m *Membership) HandleStreamLost(now time.Time, ref Ref, out *Output) {
	p, ok := m.byID[ref.ID]
	if !ok || p.info.Incarnation != ref.Incarnation || !p.live {
		return
	}
	m.markLost(p, "its stream failed", out)
	p.nextHeartbeat = now
}

// Announce sends heartbeats at once, because this instance's state has changed.
// They go to the live instances of its own data centre, or to all live
// instances.
func (m *Membership) Announce(now time.Time, all bool, out *Output) {
	for _, p := range m.all {
		if p.live && (all || m.near(p)) {
			m.sendHeartbeat(now, p, out)
		}
	}
}

// SetDraining marks this instance as draining, since its planned shutdown has
// begun, and announces that to all live instances.
func (m *Membership) SetDraining(now time.Time, out *Output) {
	m.cfg.Self.Draining = true
	m.Announce(now, true, out)
}

// Tick sends the heartbeats that are due and detects the members that have been
// silent for too long.
func (m *Membership) Tick(now time.Time, out *Output) {
	m.updateFarPeriod()
	for _, p := range m.all {
		if p.live && now.Sub(p.lastReceived) > m.silenceLimit(p) {
			m.markLost(p, "silent for "+now.Sub(p.lastReceived).Round(time.Millisecond).String(), out)
		}
		if !p.nextHeartbeat.After(now) {
			m.sendHeartbeat(now, p, out)
		}
	}
	m.removeSilent(now)
}

// updateFarPeriod sets the heartbeat period of far members from their number.
func (m *Membership) updateFarPeriod() {
	far := 0
	for _, p := range m.all {
		if !m.near(p) {
			far++
		}
	}
	m.farPeriod = max(m.cfg.FarPeriod, time.Duration(far)*m.cfg.FarSpacing)
}

func (m *Membership) sendHeartbeat(now time.Time, p *member, out *Output) {
	period := m.period(p)
	if !p.live && now.Sub(p.lastContact()) > m.silenceLimit(p) {
		period *= silentFactor
	}
	random := 1 - jitter + 2*jitter*m.rng.Float64()
	p.nextHeartbeat = now.Add(time.Duration(random * float64(period)))
	to := p.info
	if !p.live && len(p.addresses) > 0 {
		to.Address = p.addresses[p.attempt%len(p.addresses)]
		to.Incarnation = 0
		p.attempt++
	}
	out.Heartbeats = append(out.Heartbeats, Heartbeat{To: to, SameDataCentre: m.near(p)})
}

func (m *Membership) markLive(now time.Time, p *member, out *Output) {
	p.lastReceived = now
	if p.live {
		return
	}
	p.live = true
	p.nextHeartbeat = earlier(p.nextHeartbeat, now.Add(m.cfg.NearPeriod))
	out.Joined = append(out.Joined, p.info)
	out.Events = append(out.Events, event.Record{Kind: event.PeerJoined, Subject: p.info.ID})
}

func (m *Membership) markLost(p *member, reason string, out *Output) {
	if !p.live {
		return
	}
	p.live = false
	out.Lost = append(out.Lost, p.info.Ref)
	out.Events = append(out.Events, event.Record{Kind: event.PeerLost, Subject: p.info.ID, Detail: reason})
}

func (m *Membership) markDraining(p *member, out *Output) {
	if p.info.Draining {
		return
	}
	p.info.Draining = true
	if !p.live {
		return
	}
	out.Draining = append(out.Draining, p.info)
	out.Events = append(out.Events, event.Record{Kind: event.PeerDraining, Subject: p.info.ID})
}

// find returns the member with info's ID. It adds the member if there is none,
// and returns nil if that would exceed MaxInstances.
func (m *Membership) find(now time.Time, info Info) *member {
	if p, ok := m.byID[info.ID]; ok {
		return p
	}
	if len(m.all) >= m.cfg.MaxInstances {
		return nil
	}
	p := &member{info: info, addedAt: now, nextHeartbeat: now, addresses: []netip.AddrPort{info.Address}}
	p.info.Draining = false
	m.byID[info.ID] = p
	at, _ := slices.BinarySearchFunc(m.all, p, func(a, b *member) int {
		return strings.Compare(a.info.ID, b.info.ID)
	})
	m.all = slices.Insert(m.all, at, p)
	return p
}

// removeSilent removes the members that are not listed and have been silent for
// longer than ForgetAfter.
func (m *Membership) removeSilent(now time.Time) {
	m.all = slices.DeleteFunc(m.all, func(p *member) bool {
		expired := !p.listed && !p.live && now.Sub(p.lastContact()) > m.cfg.ForgetAfter
		if expired {
			delete(m.byID, p.info.ID)
		}
		return expired
	})
}

// lastContact returns when the last message of the member arrived, or when it
// was added if none did.
func (p *member) lastContact() time.Time {
	if p.lastReceived.IsZero() {
		return p.addedAt
	}
	return p.lastReceived
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
