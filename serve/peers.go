package serve

import (
	"time"

	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// peerHandler implements [peer.Handler]: it passes messages and connection
// changes of peers to the machine.
type peerHandler struct{ *driver }

// Connected handles a new connection to a peer.
func (p peerHandler) Connected(i instance.Info) {
	p.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.HandlePeerConnected(now, i, out)
	})
}

// Received handles the messages of one peer.
func (p peerHandler) Received(ms []message.Message) {
	p.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		for _, msg := range ms {
			m.Receive(now, p.startHomeSpan(now, msg), out)
		}
	})
}

// Unsent ignores messages that were never sent. A request is repeated until its
// home counts as unreachable, and slots that are lent or returned expire with
// their lease.
func (p peerHandler) Unsent([]message.Message) {}

// Disconnected handles the loss of the connection to a peer. It calls the
// machine in the calling goroutine, so that a later Connected is handled after
// it.
func (p peerHandler) Disconnected(i instance.Ref) {
	p.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		m.HandlePeerDisconnected(now, i, out)
	})
}
