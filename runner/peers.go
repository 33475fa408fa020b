package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/pool"
)

const (
	// peerSilence is how long a peer may send nothing before its runs are
	// stopped: with that stop it lies well under the 1.3 s after which a
	// caller asks elsewhere.
	peerSilence = 800 * time.Millisecond
	// peerConnect bounds the set-up of a stream within a region.
	peerConnect = 600 * time.Millisecond
)

// peerInputs passes what the peers' streams bring to the machine.
type peerInputs struct{ *Runner }

// binds reports whether runs may follow on a message, so that each side must
// notice soon if the other one is lost. Instances that never do so only need to
// know in the end that the other one is gone.
func binds(b message.Body) bool {
	switch b.(type) {
	case message.Vacancies, message.StartRun, message.Offer:
		return true
	}
	return false
}

// send queues a message for a peer.
func (r *Runner) send(to instance.Ref, body message.Body) {
	r.peers.Send(message.Message{From: r.cfg.Self.Ref, To: to, Body: body})
}

// Joined implements [peer.Handler].
func (p peerInputs) Joined(i instance.Info) {
	p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.PeerJoined(now, i, out) })
	if len(p.ownLists().Endpoints) == 0 {
		p.send(i.Ref, message.ListsRequest{})
	}
}

// Received implements [peer.Handler].
func (p peerInputs) Received(ms []message.Message) {
	p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) {
		for _, msg := range ms {
			m.Receive(now, msg, out)
		}
	})
	for _, msg := range ms {
		p.share(msg)
	}
}

// Unsent implements [peer.Handler]. It may be called while the lock is held, so
// the machine is told by another goroutine.
func (p peerInputs) Unsent(ms []message.Message) {
	p.work.Go(func() {
		p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandleUnsent(now, ms, out) })
	})
}

// Lost implements [peer.Handler].
func (p peerInputs) Lost(i instance.Ref) {
	p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.PeerLost(now, i, out) })
}
