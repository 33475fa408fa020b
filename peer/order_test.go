package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
)

// slowHandler is a handler whose Disconnected takes long, as it does while
// another input holds the lock of the machine behind it.
type slowHandler struct {
	Handler
	events  chan string
	release chan struct{}
}

func (h slowHandler) Connected(instance.Info) { h.events <- "joined" }

func (h slowHandler) Disconnected(instance.Ref) {
	h.events <- "losing"
	<-h.release
	h.events <- "lost"
}

// A stream that opens while Disconnected is still being called for the earlier
// one must wait for it: otherwise the earlier stream's end is taken for the end
// of the new one, whose peer then counts as gone while it is connected.
func TestConnectedWaitsForDisconnected(t *testing.T) {
	is := is.New(t)
	a := startNode(t, "a", 1)
	h := slowHandler{events: make(chan string, 1000), release: make(chan struct{})}
	b := startNode(t, "b", 1, func(c *Config) { h.Handler = c.Handler; c.Handler = h })
	open := func() context.CancelFunc {
		conn, err := grpc.NewClient("passthrough:///"+b.self.Address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := wire.NewPeerClient(conn).Exchange(ctx)
		is.NoErr(err)
		is.NoErr(stream.Send(&wire.Batch{Version: version, Sender: encodeInstance(a.self)}))
		return cancel
	}
	endFirst := open()
	is.Equal(receive(t, h.events), "joined")
	endFirst()
	is.Equal(receive(t, h.events), "losing")
	defer open()()
	var early string
	select {
	case early = <-h.events:
	case <-time.After(200 * time.Millisecond): // no event: the new stream waits
	}
	close(h.release)
	is.Equal(early, "") // the new stream opened before the end of the earlier one was handled
	is.Equal(receive(t, h.events), "lost")
	is.Equal(receive(t, h.events), "joined")
}
