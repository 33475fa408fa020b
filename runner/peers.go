package runner

import (
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/pool"
)

const (
	// peerReadTimeout is how long a peer may send nothing before its stream is
	// closed. If it does not reconnect within 250 ms (see package pool), its runs
	// are stopped. These two times and the stop together are below the 1.3 s after
	// which a caller resubmits to another instance.
	peerReadTimeout = 800 * time.Millisecond
	// peerConnectTimeout is the timeout for opening a stream within a region.
	peerConnectTimeout = 600 * time.Millisecond
)

// peerHandler passes the events of the peers' streams to the machine. It
// implements [peer.Handler].
type peerHandler struct{ *Runner }

// isCritical reports whether a message can lead to runs, so that both sides must
// detect the loss of the stream soon. Between instances that exchange no such
// message, a slow detection is enough.
func isCritical(b message.Body) bool {
	switch b.(type) {
	case message.FreeSlots, message.StartRun, message.Offer:
		return true
	}
	return false
}

// send queues a message for a peer.
func (r *Runner) send(to instance.Ref, body message.Body) {
	r.peers.Send(message.Message{From: r.cfg.Self.Ref, To: to, Body: body})
}

// Connected implements [peer.Handler].
func (p peerHandler) Connected(i instance.Info) {
	p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.PeerJoined(now, i, out) })
}

// Received implements [peer.Handler].
func (p peerHandler) Received(ms []message.Message) {
	p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) {
		for _, msg := range ms {
			m.Receive(now, msg, out)
		}
	})
	for _, msg := range ms {
		p.handleMessage(msg)
	}
}

// Unsent implements [peer.Handler]. It may be called while r.mu is held, so it
// passes the messages to the machine in another goroutine.
func (p peerHandler) Unsent(ms []message.Message) {
	p.inFlight.Go(func() {
		p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.HandleUnsent(now, ms, out) })
	})
}

// Disconnected implements [peer.Handler].
func (p peerHandler) Disconnected(i instance.Ref) {
	p.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.PeerLost(now, i, out) })
}
