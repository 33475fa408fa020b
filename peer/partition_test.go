package peer

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// relay is a TCP relay that can drop the bytes of either direction. Forward is
// the direction from the connecting side to the target.
type relay struct {
	net.Listener
	mu                        sync.Mutex
	conns                     []net.Conn
	dropForward, dropBackward bool
	stopped                   sync.WaitGroup
	target                    string
	address                   netip.AddrPort
}

func newRelay(t *testing.T, to *node) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	r := &relay{Listener: l, target: to.self.Address.String(), address: netip.MustParseAddrPort(l.Addr().String())}
	r.stopped.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", r.target)
			if err != nil {
				in.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, in, out)
			r.mu.Unlock()
			r.stopped.Go(func() { r.copy(out, in, &r.dropForward) })
			r.stopped.Go(func() { r.copy(in, out, &r.dropBackward) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		r.mu.Lock()
		for _, c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
		r.stopped.Wait()
	})
	return r
}

// copy copies bytes, but drops them while dropping is set. It returns when
// reading or writing fails.
func (r *relay) copy(to, from net.Conn, dropping *bool) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		drop := *dropping
		r.mu.Unlock()
		if drop {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) setDrop(forward, backward bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropForward, r.dropBackward = forward, backward
}

func TestPartitionIsDetectedAndStreamReopened(t *testing.T) {
	tests := []struct {
		name                      string
		dropForward, dropBackward bool
	}{
		{"both ways", true, true},
		{"towards the side that connected", false, true},
		{"away from the side that connected", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := startNode(t, "a", 1), startNode(t, "b", 1)
			r := newRelay(t, b)
			viaRelay := b.self
			viaRelay.Address = r.address
			a.SetPeers([]instance.Info{viaRelay})
			receive(t, a.connected)
			receive(t, b.connected)
			r.setDrop(tt.dropForward, tt.dropBackward)
			is.Equal(receive(t, a.disconnected), b.self.Ref)
			is.Equal(receive(t, b.disconnected), a.self.Ref)
			a.Send(newCancel(a, b, 1))
			is.Equal(receive(t, a.unsent), newCancel(a, b, 1)) // reported as unsent, not dropped
			r.setDrop(false, false)
			receive(t, a.connected)
			a.Send(newCancel(a, b, 2))
			is.Equal(receive(t, b.received), newCancel(a, b, 2))
		})
	}
}

// The loss of a stream that is not critical is detected too, but later than that
// of a critical stream that was partitioned at the same time. Among 42
// instances, for example, each sends work to only 16 others.
func TestCriticalStreamLossIsDetectedFirst(t *testing.T) {
	is := is.New(t)
	cancelIsCritical := func(c *Config) {
		c.Critical = func(b message.Body) bool { _, ok := b.(message.Cancel); return ok }
	}
	a, b := startNode(t, "a", 1, cancelIsCritical), startNode(t, "b", 1, cancelIsCritical)
	c, d := startNode(t, "c", 1, cancelIsCritical), startNode(t, "d", 1, cancelIsCritical)
	var relays []*relay
	for _, pair := range [][2]*node{{a, b}, {c, d}} {
		r := newRelay(t, pair[1])
		viaRelay := pair[1].self
		viaRelay.Address = r.address
		pair[0].SetPeers([]instance.Info{viaRelay})
		receive(t, pair[0].connected)
		receive(t, pair[1].connected)
		relays = append(relays, r)
	}
	b.Send(newCancel(b, a, 1))
	is.Equal(receive(t, a.received), newCancel(b, a, 1))
	for _, r := range relays {
		r.setDrop(true, true)
	}
	is.Equal(receive(t, a.disconnected), b.self.Ref)
	is.Equal(receive(t, b.disconnected), a.self.Ref)
	is.Equal(len(c.disconnected)+len(d.disconnected), 0)
	is.Equal(receive(t, c.disconnected), d.self.Ref)
	is.Equal(receive(t, d.disconnected), c.self.Ref)
}
