package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
	"github.com/lovagecrank/lovagecrank/task"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits how long a test waits for an event.
const testTimeout = 10 * time.Second

// recorder is a handler that records its calls.
type recorder struct {
	connected    chan instance.Info
	received     chan message.Message
	unsent       chan message.Message
	disconnected chan instance.Ref
}

func newRecorder() *recorder {
	return &recorder{
		connected:    make(chan instance.Info, 1000),
		received:     make(chan message.Message, 100_000),
		unsent:       make(chan message.Message, 100_000),
		disconnected: make(chan instance.Ref, 1000),
	}
}

func (r *recorder) Connected(i instance.Info)   { r.connected <- i }
func (r *recorder) Disconnected(i instance.Ref) { r.disconnected <- i }

func (r *recorder) Received(ms []message.Message) {
	for _, m := range ms {
		r.received <- m
	}
}

func (r *recorder) Unsent(ms []message.Message) {
	for _, m := range ms {
		r.unsent <- m
	}
}

// receive returns the next value of a channel. It fails the test after
// testTimeout.
func receive[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for an event")
		panic("unreachable")
	}
}

// node is a running pool with a recorder as its handler.
type node struct {
	*Pool
	*recorder
	self instance.Info
	stop func()
}

// startNode starts a pool that is stopped at the end of the test.
func startNode(t testing.TB, id string, incarnation uint64, options ...func(*Config)) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	n := &node{recorder: newRecorder(), self: instance.Info{
		Ref:     instance.Ref{DataCentre: "d", ID: id, Incarnation: incarnation},
		Address: netip.MustParseAddrPort(l.Addr().String()),
	}}
	cfg := Config{Self: n.self, Handler: n.recorder, ReadTimeout: 600 * time.Millisecond, Seed: 1}
	for _, c := range options {
		c(&cfg)
	}
	n.Pool = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, l) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		if err := receive(t, done); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(n.stop)
	return n
}

func newCancel(from, to *node, request uint64) message.Message {
	return message.Message{From: from.self.Ref, To: to.self.Ref, Body: message.Cancel{Request: request, SubmissionID: "s"}}
}

func TestMessagesBothWaysInOrder(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a", 1), startNode(t, "b", 2)
	a.SetPeers([]instance.Info{b.self}) // b discovers a from its stream
	is.Equal(receive(t, a.connected), b.self)
	is.Equal(receive(t, b.connected), a.self)
	const count = 5000
	for i := range count {
		a.Send(newCancel(a, b, uint64(i)))
		b.Send(newCancel(b, a, uint64(i)))
	}
	for i := range count {
		is.Equal(receive(t, b.received), newCancel(a, b, uint64(i)))
		is.Equal(receive(t, a.received), newCancel(b, a, uint64(i)))
	}
	is.Equal(len(a.unsent)+len(b.unsent)+len(a.disconnected)+len(b.disconnected), 0)
	is.Equal(a.Traffic().SentMessages, uint64(count))
	is.Equal(a.Traffic().ReceivedMessages, uint64(count))
}

func TestPairOpensOneStream(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a", 1), startNode(t, "b", 2)
	b.SetPeers([]instance.Info{a.self, b.self})
	a.SetPeers([]instance.Info{a.self, b.self})
	receive(t, a.connected)
	receive(t, b.connected)
	a.Send(newCancel(a, b, 1))
	b.Send(newCancel(b, a, 2))
	receive(t, b.received)
	receive(t, a.received)
	is.Equal(len(a.connected)+len(b.connected)+len(a.disconnected)+len(b.disconnected), 0)
}

func TestUnsentMessageIsReported(t *testing.T) {
	is := is.New(t)
	a := startNode(t, "a", 1)
	absent := &node{self: instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "x"}}}
	a.Send(newCancel(a, absent, 1)) // the peer is not known
	is.Equal(receive(t, a.unsent), newCancel(a, absent, 1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	absent.self.Address = netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	a.SetPeers([]instance.Info{absent.self}) // nothing listens on the address
	a.Send(newCancel(a, absent, 2))
	is.Equal(receive(t, a.unsent), newCancel(a, absent, 2))
}

func TestMessageBeyondQueueIsReported(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a", 1, func(c *Config) { c.MaxQueued = 1 }), startNode(t, "b", 1)
	a.SetPeers([]instance.Info{b.self})
	receive(t, a.connected) // before that, the one queued message may be reported as unsent
	const count = 2000
	for i := range count {
		a.Send(newCancel(a, b, uint64(i)))
	}
	got := 0
	for range count {
		select {
		case <-a.unsent:
		case <-b.received:
			got++
		case <-time.After(testTimeout):
			t.Fatal("a message is neither unsent nor received")
		}
	}
	is.True(got > 0)
}

func TestStopSendsQueuedMessages(t *testing.T) {
	is := is.New(t)
	for _, dials := range []bool{true, false} {
		a, b := startNode(t, "a", 1), startNode(t, "b", 1)
		if dials {
			a.SetPeers([]instance.Info{b.self})
		} else {
			b.SetPeers([]instance.Info{a.self})
		}
		receive(t, a.connected)
		receive(t, b.connected)
		for i := range 1000 {
			a.Send(newCancel(a, b, uint64(i)))
		}
		a.stop()
		for i := range 1000 {
			is.Equal(receive(t, b.received), newCancel(a, b, uint64(i)))
		}
		is.Equal(receive(t, b.disconnected), a.self.Ref)
		is.Equal(receive(t, a.disconnected), b.self.Ref)
		b.stop()
	}
}

func TestRestartedPeerReplacesStream(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a", 1), startNode(t, "b", 7)
	a.SetPeers([]instance.Info{b.self})
	is.Equal(receive(t, a.connected).Incarnation, uint64(7))
	restarted := startNode(t, "b", 8)
	restarted.SetPeers([]instance.Info{a.self})
	is.Equal(receive(t, a.connected).Incarnation, uint64(8))
	is.Equal(receive(t, a.disconnected), b.self.Ref)
	a.Send(newCancel(a, restarted, 1))
	receive(t, restarted.received)
}

// A peer that detects the loss of a stream before this side does opens a new one
// while the old one is still open here. The handler must then be called with the
// end of the old stream before the start of the new one.
func TestReplacedStreamEndsFirst(t *testing.T) {
	is := is.New(t)
	a := startNode(t, "a", 1)
	events := make(chan string, 1000)
	b := startNode(t, "b", 1, func(c *Config) { c.Handler = orderRecorder{c.Handler, events} })
	conn, err := grpc.NewClient("passthrough:///"+b.self.Address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const streams = 20
	for range streams {
		stream, err := wire.NewPeerClient(conn).Exchange(ctx)
		is.NoErr(err)
		is.NoErr(stream.Send(&wire.Batch{Version: version, Sender: encodeInstance(a.self)}))
		_, err = stream.Recv()
		is.NoErr(err)
	}
	is.Equal(receive(t, events), "joined")
	for range streams - 1 {
		is.Equal(receive(t, events), "lost")
		is.Equal(receive(t, events), "joined")
	}
}

// orderRecorder is a handler that records the order of stream starts and ends.
type orderRecorder struct {
	Handler
	events chan string
}

func (o orderRecorder) Connected(instance.Info)   { o.events <- "joined" }
func (o orderRecorder) Disconnected(instance.Ref) { o.events <- "lost" }

func TestInvalidInputEndsStream(t *testing.T) {
	longName := &wire.Message{Body: &wire.Message_Show{Show: &wire.Show{SubmissionId: string(make([]byte, 10_000))}}}
	hello := &wire.Batch{Version: version, Sender: encodeInstance(instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "x"}})}
	tests := []struct {
		name  string
		sends []*wire.Batch
		want  codes.Code
	}{
		{"another version", []*wire.Batch{{Version: version + 1, Sender: hello.Sender}}, codes.FailedPrecondition},
		{"no name", []*wire.Batch{{Version: version}}, codes.InvalidArgument},
		{"bad address", []*wire.Batch{{Version: version, Sender: &wire.Instance{Ref: hello.Sender.Ref, Address: "invalid"}}}, codes.InvalidArgument},
		{"nothing", nil, codes.InvalidArgument},
		{"name too long", []*wire.Batch{hello, {Messages: []*wire.Message{longName}}}, codes.Aborted},
	}
	a := startNode(t, "a", 1, func(c *Config) { c.ConnectTimeout = 300 * time.Millisecond })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := grpc.NewClient("passthrough:///"+a.self.Address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			is.NoErr(err)
			defer conn.Close()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			stream, err := wire.NewPeerClient(conn).Exchange(ctx)
			is.NoErr(err)
			for _, b := range tt.sends {
				is.NoErr(stream.Send(b))
			}
			for err == nil {
				_, err = stream.Recv()
			}
			is.Equal(status.Code(err), tt.want)
			is.Equal(len(a.received), 0)
		})
	}
}

func TestOversizedMessageIsUnsent(t *testing.T) {
	is := is.New(t)
	small := func(c *Config) { c.MaxBatchBytes = maxPackedBytes + 10_000 }
	a, b := startNode(t, "a", 1, small), startNode(t, "b", 1, small)
	a.SetPeers([]instance.Info{b.self})
	receive(t, a.connected) // before that, all messages may be reported as unsent
	m := message.Message{From: a.self.Ref, To: b.self.Ref, Body: message.Submit{Job: job.Job{
		Tasks: []task.Task{{ID: "t", Payload: make([]byte, 20_000)}},
	}}}
	a.Send(m)
	a.Send(newCancel(a, b, 1))
	is.Equal(receive(t, b.received), newCancel(a, b, 1)) // the stream stays open
	is.Equal(receive(t, a.unsent), m)
}

func BenchmarkSend(b *testing.B) {
	for _, tasks := range []int{0, 10} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			from, to := startNode(b, "a", 1), startNode(b, "b", 1)
			defer from.stop()
			defer to.stop()
			from.SetPeers([]instance.Info{to.self})
			receive(b, from.connected)
			m := message.Message{From: from.self.Ref, To: to.self.Ref, Body: newSubmit(tasks)}
			b.ReportAllocs()
			for b.Loop() {
				from.Send(m)
				<-to.received
			}
		})
	}
}
