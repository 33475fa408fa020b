package pool

import (
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// profileInterval is the minimum time between two messages with profiles to
	// the local peers if nothing was ejected, and ejectionInterval if something
	// was. profileCPUShare is the share of the processor that they may use.
	profileInterval  = 10 * time.Second
	ejectionInterval = time.Second
	profileCPUShare  = 0.002
	// minProfileSamples is the least number of runs of an endpoint for which it
	// has a profile.
	minProfileSamples = 8
	// minSpeedChange is the relative change of a speed that peers should know.
	minSpeedChange = 0.15
	// maxProfiles and maxQueueProfiles bound one message.
	maxProfiles      = 128
	maxQueueProfiles = 32
	// maxQueueName is the longest name of a queue, in bytes, whose profile is
	// sent; a message with a much longer name would be refused.
	maxQueueName = 200
	// profileTTL is how long a reported speed counts, and outcomesTTL how long
	// reported failures do.
	profileTTL  = 10 * time.Minute
	outcomesTTL = 10 * time.Second
	// maxStoredProfiles bounds the number of reported profiles.
	maxStoredProfiles = 4096
)

type (
	// profilesState is what peers have reported of endpoints, and what was sent
	// to them.
	profilesState struct {
		// reported has the last reports, by endpoint ID.
		reported map[string]storedProfile
		// released are the profiles of the endpoints that were released since the
		// last message.
		released []message.EndpointProfile
		// changed reports that an endpoint was ejected since then.
		changed bool
		sentAt  time.Time
		// sent has the speeds last sent, by endpoint ID.
		sent map[string]float64
		// sentMessages and receivedMessages count the messages.
		sentMessages, receivedMessages int
	}

	storedProfile struct {
		message.EndpointProfile
		at time.Time
	}
)

func newProfilesState(now time.Time) profilesState {
	return profilesState{sentAt: now, reported: map[string]storedProfile{}, sent: map[string]float64{}}
}

// of returns what is known of the present boot of an endpoint, as of now.
func (s *profilesState) of(now time.Time, info endpoint.Info) message.EndpointProfile {
	r, ok := s.reported[info.ID]
	age := now.Sub(r.at)
	if !ok || age > profileTTL || !sameBoot(r.StartedAt, info.StartedAt) {
		return message.EndpointProfile{}
	}
	p := r.EndpointProfile
	p.EjectedFor = max(p.EjectedFor-age, 0)
	if age > outcomesTTL {
		p.FailedShare, p.Outcomes = 0, 0
	}
	return p
}

// sameBoot reports whether two start times are those of the same boot. Messages
// carry them in milliseconds.
func sameBoot(a, b time.Time) bool {
	return a.IsZero() == b.IsZero() && (a.IsZero() || a.UnixMilli() == b.UnixMilli())
}

func (s *profilesState) store(now time.Time, p message.EndpointProfile) {
	if _, ok := s.reported[p.ID]; ok || len(s.reported) < maxStoredProfiles {
		s.reported[p.ID] = storedProfile{EndpointProfile: p, at: now}
	}
}

// forgetProfile forgets an endpoint that no longer exists.
func (m *Machine) forgetProfile(id string) {
	delete(m.profiles.reported, id)
	delete(m.profiles.sent, id)
	m.judge.speeds.Report(id, 0)
}

// profileOf returns what this instance has learnt of an endpoint that it holds.
func (m *Machine) profileOf(now time.Time, e *endpointState) message.EndpointProfile {
	p := message.EndpointProfile{ID: e.info.ID, StartedAt: e.info.StartedAt}
	p.Speed, p.Samples = m.judge.speeds.Speed(e.info.ID)
	p.FailedShare, p.Outcomes = m.judge.tracker.FailedShare(e.info.ID)
	p.EjectedFor = max(m.judge.tracker.EjectedUntil(e.info.ID).Sub(now), 0)
	return p
}

// handleProfiles stores what a local peer has learnt. It ignores what can't be
// used: unknown endpoints, other data centres, and numbers out of range.
func (m *Machine) handleProfiles(now time.Time, p *peer, b message.Profiles) {
	if p.info.DataCentre != m.cfg.Self.DataCentre {
		return
	}
	m.profiles.receivedMessages++
	for _, r := range b.Endpoints[:min(len(b.Endpoints), maxProfiles)] {
		e := m.endpoints[r.ID]
		if e == nil || e.info.DataCentre != m.cfg.Self.DataCentre || e.active || !validProfile(now, r) {
			continue
		}
		r.EjectedFor = min(r.EjectedFor, maxEjectionBackoff)
		m.profiles.store(now, r)
		m.judge.speeds.Report(r.ID, r.Speed)
	}
	for _, q := range b.Queues[:min(len(b.Queues), maxQueueProfiles)] {
		if isAmount(q.MedianRatio) && q.Samples > 0 {
			m.judge.speeds.ReportQueue(q.Queue, q.MedianRatio, q.Samples)
		}
	}
	m.updateReportedOutcomes(now)
}

// validProfile reports whether the profile can be that of an endpoint.
func validProfile(now time.Time, p message.EndpointProfile) bool {
	if p.StartedAt.After(now.Add(profileTTL)) || p.Samples < 0 || p.Outcomes < 0 || p.EjectedFor < 0 {
		return false
	}
	return isAmount(p.Speed) && p.FailedShare >= 0 && p.FailedShare <= 1
}

// isAmount reports whether n is a positive finite number.
func isAmount(n float64) bool { return n > 0 && !math.IsInf(n, 0) }

// updateReportedOutcomes adds up the failures that peers have reported of
// endpoints that this instance does not hold, so that the share of failures
// that counts as normal is that of the data centre.
func (m *Machine) updateReportedOutcomes(now time.Time) {
	failed, finished := 0, 0
	for _, e := range m.endpointsByDataCentre[m.cfg.Self.DataCentre] {
		r, ok := m.profiles.reported[e.info.ID]
		if !ok || e.active || r.EjectedFor > 0 || now.Sub(r.at) > outcomesTTL {
			continue
		}
		n := min(r.Outcomes, int(1/outcomeWeight))
		finished += n
		failed += int(math.Round(r.FailedShare * float64(n)))
	}
	m.judge.tracker.SetReported(now, m.cfg.Self.DataCentre, failed, finished)
}

// outcomeWeight is the weight of one outcome in FailedShare, so that older ones
// hardly count.
const outcomeWeight = 1.0 / 16

// broadcastProfiles sends what was learnt to the local peers: rarely, or soon
// after an endpoint was released or ejected.
func (m *Machine) broadcastProfiles(now time.Time, out *Output) {
	local := m.localPeers()
	interval := max(profileInterval, m.profileCost(len(local)))
	if m.profiles.changed || len(m.profiles.released) > 0 {
		interval = ejectionInterval
	}
	if len(local) == 0 || now.Sub(m.profiles.sentAt) < interval {
		return
	}
	b := m.ownProfiles(now)
	m.profiles.released, m.profiles.changed, m.profiles.sentAt = nil, false, now
	if len(b.Endpoints) == 0 {
		return
	}
	for _, p := range local {
		m.sendProfiles(p, b, out)
	}
}

func (m *Machine) sendProfiles(p *peer, b message.Profiles, out *Output) {
	m.profiles.sentMessages++
	m.send(p.info.Ref, b, out)
}

// profileCost returns the time in which messages to that many peers use
// profileCPUShare of the processor.
func (m *Machine) profileCost(peers int) time.Duration {
	return time.Duration(float64(peers) * float64(messageCost) / (profileCPUShare * m.cfg.Self.Size()))
}

// localPeers returns the peers of the local data centre.
func (m *Machine) localPeers() []*peer {
	for i, p := range m.sortedPeers {
		if p.info.DataCentre != m.cfg.Self.DataCentre {
			return m.sortedPeers[:i]
		}
	}
	return m.sortedPeers
}

// ownProfiles returns the profiles of the released endpoints and of the held ones
// that peers should know of, and of the queues.
func (m *Machine) ownProfiles(now time.Time) message.Profiles {
	b := message.Profiles{Endpoints: m.profiles.released}
	for _, e := range m.held {
		if !e.active || len(b.Endpoints) >= maxProfiles {
			continue
		}
		p := m.profileOf(now, e)
		if last := m.profiles.sent[p.ID]; p.Samples < minProfileSamples && p.Outcomes < minProfileSamples ||
			!m.profiles.changed && math.Abs(p.Speed-last) < minSpeedChange*last {
			continue
		}
		m.profiles.sent[p.ID] = p.Speed
		b.Endpoints = append(b.Endpoints, p)
	}
	if len(b.Endpoints) > 0 {
		b.Queues = m.queueProfiles()
	}
	return b
}

// queueProfiles returns the profiles of the queues with the most samples.
func (m *Machine) queueProfiles() []message.QueueProfile {
	var list []message.QueueProfile
	for _, name := range m.judge.speeds.Queues() {
		if len(name) > maxQueueName {
			continue
		}
		median, tail, samples := m.judge.speeds.Ratios(name)
		list = append(list, message.QueueProfile{Queue: name, Samples: samples, MedianRatio: median, TailRatio: tail})
	}
	slices.SortStableFunc(list, func(a, b message.QueueProfile) int { return b.Samples - a.Samples })
	return list[:min(len(list), maxQueueProfiles)]
}

// introduceProfiles sends a local peer that has just joined what is known of the
// held endpoints. The first peer of the data centre also hands on what others
// have reported, so that an instance that restarts quickly finds what it had
// learnt itself.
func (m *Machine) introduceProfiles(now time.Time, p *peer, out *Output) {
	if p.info.DataCentre != m.cfg.Self.DataCentre {
		return
	}
	var b message.Profiles
	for _, e := range m.endpointsByDataCentre[m.cfg.Self.DataCentre] {
		if len(b.Endpoints) >= maxProfiles {
			break
		}
		if e.active {
			if own := m.profileOf(now, e); own.Samples >= minProfileSamples {
				b.Endpoints = append(b.Endpoints, own)
			}
			continue
		}
		if r, ok := m.profiles.reported[e.info.ID]; ok && m.handsOn(p) && now.Sub(r.at) < profileTTL {
			r.EjectedFor = max(r.EjectedFor-now.Sub(r.at), 0)
			b.Endpoints = append(b.Endpoints, r.EndpointProfile)
		}
	}
	if len(b.Endpoints) == 0 {
		return
	}
	b.Queues = m.queueProfiles()
	m.sendProfiles(p, b, out)
}

// handsOn reports whether this instance is the first one of its data centre, the
// given peer left out.
func (m *Machine) handsOn(p *peer) bool {
	for _, o := range m.localPeers() {
		if o != p && o.info.ID < m.cfg.Self.ID {
			return false
		}
	}
	return true
}
