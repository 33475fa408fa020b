package certificate

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer"
)

// events records the peers that joined and left a pool.
type events struct {
	connected, disconnected chan instance.Ref
}

func (e events) Connected(i instance.Info)   { e.connected <- i.Ref }
func (e events) Disconnected(r instance.Ref) { e.disconnected <- r }
func (e events) Received([]message.Message)  {}
func (e events) Unsent([]message.Message)    {}

func startPeer(t *testing.T, id string, s *Source) (*peer.Pool, instance.Info, events) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	self := instance.Info{Ref: instance.Ref{DataCentre: "d", ID: id}, Address: netip.MustParseAddrPort(l.Addr().String())}
	recorded := events{make(chan instance.Ref, 100), make(chan instance.Ref, 100)}
	p := peer.New(peer.Config{Self: self, Handler: recorded, ServerTLS: s.ServerConfig(), ClientTLS: s.ClientConfig(), ConnectTimeout: 2 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx, l) }()
	t.Cleanup(func() { cancel(); is.NoErr(<-done) })
	return p, self, recorded
}

func TestPeersOverTLS(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	files := tempFiles(t)
	ca.write(files, "peer", time.Hour, bothUsages...)
	untrusted := tempFiles(t)
	newAuthority(t).write(untrusted, "stranger", time.Hour, bothUsages...)

	a, _, eventsA := startPeer(t, "a", load(t, files, nil))
	_, b, eventsB := startPeer(t, "b", load(t, files, nil))
	_, c, eventsC := startPeer(t, "c", load(t, untrusted, nil))
	a.SetPeers([]instance.Info{b, c})
	select {
	case ref := <-eventsA.connected:
		is.Equal(ref, b.Ref)
	case <-time.After(10 * time.Second):
		t.Fatal("no stream over TLS")
	}
	is.Equal((<-eventsB.connected).ID, "a")
	time.Sleep(200 * time.Millisecond) // enough for several connection attempts to c
	is.Equal(len(eventsC.connected)+len(eventsA.connected), 0)
}
