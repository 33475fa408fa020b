package runner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// configurationGrace is how long the own read may take to show a version that a
	// peer has reported, before the document is requested from a peer: the transfer
	// and the decoding of 1,400 routes on the smallest machine, twice. Without it
	// every instance requests each version from the first one that has read it.
	// A change must be in force within two seconds.
	configurationGrace = 400 * time.Millisecond
	// lostStoreGrace replaces it while the store can't be read, so that the requests
	// spread over the peers that report the version.
	lostStoreGrace = 100 * time.Millisecond
	// configurationRequestTimeout is how long a peer may take to send a requested
	// configuration before another peer is asked.
	configurationRequestTimeout = 400 * time.Millisecond
)

// configurationRequests decides when the configuration is requested from a peer,
// and from which.
type configurationRequests struct {
	// version is the highest version that a peer has reported, since reportedAt, and
	// peers are those that have reported it and were not asked yet.
	version    uint64
	reportedAt time.Time
	peers      []instance.Ref
	// requestedAt is when it was last requested; zero if it was not.
	requestedAt time.Time
}

// report handles a peer's report of its version.
func (q *configurationRequests) report(now time.Time, peer instance.Ref, version uint64) {
	switch {
	case version > q.version:
		*q = configurationRequests{version: version, reportedAt: now, peers: []instance.Ref{peer}}
	case version == q.version && !slices.Contains(q.peers, peer):
		q.peers = append(q.peers, peer)
	}
}

// next returns the peer to request the configuration from now, if it is time for
// that. readable reports that the store can be read. draw returns a number below n.
func (q *configurationRequests) next(now time.Time, inForce uint64, readable bool, draw func(n int) int) (instance.Ref, bool) {
	grace := lostStoreGrace
	if readable {
		grace = configurationGrace
	}
	if q.version <= inForce || len(q.peers) == 0 || now.Sub(q.reportedAt) < grace || now.Sub(q.requestedAt) < configurationRequestTimeout {
		return instance.Ref{}, false
	}
	i := draw(len(q.peers))
	peer := q.peers[i]
	q.peers = slices.Delete(q.peers, i, i+1)
	q.requestedAt = now
	return peer, true
}

// reportConfiguration handles a peer's report of the version of its configuration.
func (r *Runner) reportConfiguration(peer instance.Ref, version uint64) {
	r.requestMu.Lock()
	defer r.requestMu.Unlock()
	if version > r.routes.Load().Version() {
		r.configurationRequests.report(time.Now(), peer, version)
	}
}

// requestConfiguration requests the configuration from a peer if it is time for
// that.
func (r *Runner) requestConfiguration(now time.Time) {
	r.requestMu.Lock()
	defer r.requestMu.Unlock()
	if peer, ok := r.configurationRequests.next(now, r.routes.Load().Version(), !r.configurationReads.lost(), rand.IntN); ok {
		r.send(peer, message.PlatformConfigurationRequest{})
	}
}
