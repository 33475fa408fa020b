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

// relay is a TCP relay whose two directions can be cut.
type relay struct {
	net.Listener
	mu            sync.Mutex
	conns         []net.Conn
	there, back   bool
	stopped       sync.WaitGroup
	target        string
	addressOfSelf netip.AddrPort
}

func newRelay(t *testing.T, to *node) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	r := &relay{Listener: l, target: to.self.Address.String(), addressOfSelf: netip.MustParseAddrPort(l.Addr().String())}
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
			r.stopped.Go(func() { r.copy(out, in, &r.there) })
			r.stopped.Go(func() { r.copy(in, out, &r.back) })
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

// copy passes bytes on, or swallows them while the direction is cut.
func (r *relay) copy(to, from net.Conn, cut *bool) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		swallow := *cut
		r.mu.Unlock()
		if swallow {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) cut(there, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.there, r.back = there, back
}

func TestCutsAreNoticedAndHealed(t *testing.T) {
	tests := []struct {
		name        string
		there, back bool
	}{
		{"both ways", true, true},
		{"towards the side that connected", false, true},
		{"away from the side that connected", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := runPool(t, "a", 1), runPool(t, "b", 1)
			r := newRelay(t, b)
			via := b.self
			via.Address = r.addressOfSelf
			a.SetPeers([]instance.Info{via})
			next(t, a.joined)
			next(t, b.joined)
			r.cut(tt.there, tt.back)
			is.Equal(next(t, a.lost), b.self.Ref)
			is.Equal(next(t, b.lost), a.self.Ref)
			a.Send(cancelOf(a, b, 1))
			is.Equal(next(t, a.unsent), cancelOf(a, b, 1)) // told, not dropped
			r.cut(false, false)
			next(t, a.joined)
			a.Send(cancelOf(a, b, 2))
			is.Equal(next(t, b.received), cancelOf(a, b, 2))
		})
	}
}

// A stream on which nothing depends is watched less: its loss is noticed after
// that of one that was cut off at the same time, and noticed all the same. It is
// the pattern of 42 instances, of which each gives work to 16.
func TestStreamsThatBindAreWatchedMore(t *testing.T) {
	is := is.New(t)
	binds := func(c *Config) {
		c.Binds = func(b message.Body) bool { _, ok := b.(message.Cancel); return ok }
	}
	a, b := runPool(t, "a", 1, binds), runPool(t, "b", 1, binds)
	c, d := runPool(t, "c", 1, binds), runPool(t, "d", 1, binds)
	var relays []*relay
	for _, pair := range [][2]*node{{a, b}, {c, d}} {
		r := newRelay(t, pair[1])
		via := pair[1].self
		via.Address = r.addressOfSelf
		pair[0].SetPeers([]instance.Info{via})
		next(t, pair[0].joined)
		next(t, pair[1].joined)
		relays = append(relays, r)
	}
	b.Send(cancelOf(b, a, 1))
	is.Equal(next(t, a.received), cancelOf(b, a, 1))
	for _, r := range relays {
		r.cut(true, true)
	}
	is.Equal(next(t, a.lost), b.self.Ref)
	is.Equal(next(t, b.lost), a.self.Ref)
	is.Equal(len(c.lost)+len(d.lost), 0)
	is.Equal(next(t, c.lost), d.self.Ref)
	is.Equal(next(t, d.lost), c.self.Ref)
}
