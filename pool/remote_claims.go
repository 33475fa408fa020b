package pool

import "time"

const (
	// initialRemoteBackoff and maxRemoteBackoff bound the pause in claims on a
	// remote data centre after a claim there was not answered. The pause
	// doubles with each unanswered claim.
	initialRemoteBackoff = time.Second
	maxRemoteBackoff     = 8 * time.Second
	// remoteRecoveryDelay is how long further claims wait after the first
	// answered one. If a network partition has just healed, the remote
	// instances reconnect within this time and report what they hold.
	remoteRecoveryDelay = 1200 * time.Millisecond
	// desertedDelay is how long a data centre must be unreachable before its
	// endpoints are claimed if this instance has a stream with only a few of the
	// instances there: the time to try two other contacts.
	desertedDelay = 2 * contactTimeout
)

// remoteClaims limits the claims on the endpoints of one remote data centre.
// They are claimed only while none of its instances can be reached, because the
// instances are gone or the network is partitioned. A claim that arrives when a
// partition heals would take the endpoint from a working holder, so a single
// claim is tried first.
type remoteClaims struct {
	// pending is the ID of the endpoint whose claim is not answered yet.
	pending string
	// backoffUntil is when claims may be sent again, and failures counts the
	// consecutive unanswered claims.
	backoffUntil time.Time
	failures     int
	// answeredAt is when the first claim since the last unanswered one was
	// answered; zero if there was none.
	answeredAt time.Time
	// unreachableSince is when the data centre was first found unreachable;
	// zero while it can be reached.
	unreachableSince time.Time
}

// remoteClaimsOf returns the claim state of the endpoint's data centre, or nil
// if the endpoint is local.
func (m *Machine) remoteClaimsOf(e *endpointState) *remoteClaims {
	if e.info.DataCentre == m.cfg.Self.DataCentre {
		return nil
	}
	c, ok := m.remoteClaims[e.info.DataCentre]
	if !ok {
		c = &remoteClaims{}
		m.remoteClaims[e.info.DataCentre] = c
	}
	return c
}

// mayClaimRemote reports whether a remote endpoint may be claimed. An instance
// that reaches half of all instances or fewer assumes that it is itself cut off
// and claims nothing.
func (m *Machine) mayClaimRemote(now time.Time, e *endpointState) bool {
	if !m.reachesMajority() {
		return false
	}
	c := m.remoteClaimsOf(e)
	if c.unreachableSince.IsZero() {
		c.unreachableSince = now
	}
	if !m.neighbourhood.fullMesh() && now.Sub(c.unreachableSince) < desertedDelay {
		return false
	}
	if c.pending != "" || now.Before(c.backoffUntil) {
		return false
	}
	return c.answeredAt.IsZero() || now.Sub(c.answeredAt) >= remoteRecoveryDelay
}

// reachesMajority reports whether more than half of all listed instances are
// connected local peers or in data centres that can be reached.
func (m *Machine) reachesMajority() bool {
	reached := 1
	for _, p := range m.sortedPeers {
		if p.info.DataCentre == m.cfg.Self.DataCentre {
			reached++
		}
	}
	for dc := range m.membership.reachable {
		reached += len(m.neighbourhood.listed[dc])
	}
	return 2*reached > m.neighbourhood.total+1
}

// forgetReached resets the time since when data centres are unreachable for
// those that can be reached.
func (m *Machine) forgetReached() {
	for dc, c := range m.remoteClaims {
		if m.reaches(dc) {
			c.unreachableSince = time.Time{}
		}
	}
}

// recordClaim marks a claim on a remote endpoint as pending, unless its data
// centre has answered one already.
func (m *Machine) recordClaim(e *endpointState) {
	if c := m.remoteClaimsOf(e); c != nil && c.answeredAt.IsZero() {
		c.pending = e.info.ID
	}
}

// recordRemoteAnswer records that an endpoint answered. If it is remote, a
// claim on it is no longer pending, and the next backoff of claims on its data
// centre is the initial one.
func (m *Machine) recordRemoteAnswer(now time.Time, e *endpointState) {
	c := m.remoteClaimsOf(e)
	if c == nil {
		return
	}
	if c.pending == e.info.ID {
		c.pending = ""
	}
	c.failures = 0
	if c.answeredAt.IsZero() {
		c.answeredAt = now
	}
}

// recordRemoteSilence records that a held or claimed endpoint did not answer. If
// it is remote, claims on its data centre pause.
func (m *Machine) recordRemoteSilence(now time.Time, e *endpointState) {
	c := m.remoteClaimsOf(e)
	if c == nil {
		return
	}
	c.pending = ""
	c.answeredAt = time.Time{}
	c.backoffUntil = now.Add(min(initialRemoteBackoff<<min(c.failures, 8), maxRemoteBackoff))
	c.failures++
}
