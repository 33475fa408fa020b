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
	if 2*(len(m.peers)+1) <= m.listedPeers+1 {
		return false
	}
	c := m.remoteClaimsOf(e)
	if c.pending != "" || now.Before(c.backoffUntil) {
		return false
	}
	return c.answeredAt.IsZero() || now.Sub(c.answeredAt) >= remoteRecoveryDelay
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
