package instance

import "time"

// Status is the state of one instance as shown to operators.
type Status struct {
	Info Info
	// Live means that messages of the instance arrive.
	Live bool
	// Listed means that the instance is in the platform's list.
	Listed bool
	// LastReceived is when the last message of the instance arrived; zero if
	// none did.
	LastReceived time.Time
}

// Self returns the description of this incarnation.
func (m *Membership) Self() Info { return m.cfg.Self }

// Live returns this instance, followed by the live instances in the order of
// their IDs. Draining instances are included.
func (m *Membership) Live() []Info { return m.live("") }

// InDataCentre returns the instances of Live that are in the given data centre.
func (m *Membership) InDataCentre(dataCentre string) []Info { return m.live(dataCentre) }

func (m *Membership) live(dataCentre string) []Info {
	list := make([]Info, 0, len(m.all)+1)
	if dataCentre == "" || dataCentre == m.cfg.Self.DataCentre {
		list = append(list, m.cfg.Self)
	}
	for _, p := range m.all {
		if p.live && (dataCentre == "" || dataCentre == p.info.DataCentre) {
			list = append(list, p.info)
		}
	}
	return list
}

// Incarnation returns the live incarnation of the instance with the given ID,
// and whether there is one.
func (m *Membership) Incarnation(id string) (Ref, bool) {
	if id == m.cfg.Self.ID {
		return m.cfg.Self.Ref, true
	}
	p, ok := m.byID[id]
	if !ok || !p.live {
		return Ref{}, false
	}
	return p.info.Ref, true
}

// Info returns the description of the live instance with the given ID, and
// whether there is one.
func (m *Membership) Info(id string) (Info, bool) {
	if id == m.cfg.Self.ID {
		return m.cfg.Self, true
	}
	p, ok := m.byID[id]
	if !ok || !p.live {
		return Info{}, false
	}
	return p.info, true
}

// Instances returns all other known instances in the order of their IDs.
func (m *Membership) Instances() []Status {
	list := make([]Status, 0, len(m.all))
	for _, p := range m.all {
		list = append(list, Status{Info: p.info, Live: p.live, Listed: p.listed, LastReceived: p.lastReceived})
	}
	return list
}

// Next returns when Tick must be called next, or the zero time if no other
// instance is known.
func (m *Membership) Next() time.Time {
	var next time.Time
	for _, p := range m.all {
		at := p.nextHeartbeat
		if p.live {
			at = earlier(at, p.lastReceived.Add(m.silenceLimit(p)+1))
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (m *Membership) near(p *member) bool { return p.info.DataCentre == m.cfg.Self.DataCentre }

func (m *Membership) period(p *member) time.Duration {
	if m.near(p) {
		return m.cfg.NearPeriod
	}
	return m.farPeriod
}

// silenceLimit returns how long a live member may be silent before it is lost.
// Requests that wait for a far member have timeouts of their own.
func (m *Membership) silenceLimit(p *member) time.Duration {
	return time.Duration(m.cfg.MissedHeartbeats) * m.period(p)
}
