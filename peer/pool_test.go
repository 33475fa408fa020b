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

// limit ends a test that waits in vain.
const limit = 10 * time.Second

// log is a handler that keeps what it was told.
type log struct {
	joined   chan instance.Info
	received chan message.Message
	unsent   chan message.Message
	lost     chan instance.Ref
}

func newLog() *log {
	return &log{
		joined:   make(chan instance.Info, 1000),
		received: make(chan message.Message, 100_000),
		unsent:   make(chan message.Message, 100_000),
		lost:     make(chan instance.Ref, 1000),
	}
}

func (l *log) Joined(i instance.Info) { l.joined <- i }
func (l *log) Lost(i instance.Ref)    { l.lost <- i }

func (l *log) Received(ms []message.Message) {
	for _, m := range ms {
		l.received <- m
	}
}

func (l *log) Unsent(ms []message.Message) {
	for _, m := range ms {
		l.unsent <- m
	}
}

func next[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(limit):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// node is a running pool.
type node struct {
	*Pool
	*log
	self instance.Info
	stop func()
}

func runPool(t testing.TB, id string, incarnation uint64, change ...func(*Config)) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	n := &node{log: newLog(), self: instance.Info{
		Ref:     instance.Ref{DataCentre: "d", ID: id, Incarnation: incarnation},
		Address: netip.MustParseAddrPort(l.Addr().String()),
	}}
	cfg := Config{Self: n.self, Handler: n.log, Silence: 600 * time.Millisecond, Seed: 1}
	for _, c := range change {
		c(&cfg)
	}
	n.Pool = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, l) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		if err := next(t, done); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(n.stop)
	return n
}

func cancelOf(from, to *node, request uint64) message.Message {
	return message.Message{From: from.self.Ref, To: to.self.Ref, Body: message.Cancel{Request: request, SubmissionID: "s"}}
}

func TestMessagesBothWaysInOrder(t *testing.T) {
	is := is.New(t)
	a, b := runPool(t, "a", 1), runPool(t, "b", 2)
	a.SetPeers([]instance.Info{b.self}) // b learns of a from its stream
	is.Equal(next(t, a.joined), b.self)
	is.Equal(next(t, b.joined), a.self)
	const count = 5000
	for i := range count {
		a.Send(cancelOf(a, b, uint64(i)))
		b.Send(cancelOf(b, a, uint64(i)))
	}
	for i := range count {
		is.Equal(next(t, b.received), cancelOf(a, b, uint64(i)))
		is.Equal(next(t, a.received), cancelOf(b, a, uint64(i)))
	}
	is.Equal(len(a.unsent)+len(b.unsent)+len(a.lost)+len(b.lost), 0)
	is.Equal(a.Traffic().SentMessages, uint64(count))
	is.Equal(a.Traffic().ReceivedMessages, uint64(count))
}

func TestPairConnectsOnce(t *testing.T) {
	is := is.New(t)
	a, b := runPool(t, "a", 1), runPool(t, "b", 2)
	b.SetPeers([]instance.Info{a.self, b.self})
	a.SetPeers([]instance.Info{a.self, b.self})
	next(t, a.joined)
	next(t, b.joined)
	a.Send(cancelOf(a, b, 1))
	b.Send(cancelOf(b, a, 2))
	next(t, b.received)
	next(t, a.received)
	is.Equal(len(a.joined)+len(b.joined)+len(a.lost)+len(b.lost), 0)
}

func TestUnsentIsReported(t *testing.T) {
	is := is.New(t)
	a := runPool(t, "a", 1)
	gone := &node{self: instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "x"}}}
	a.Send(cancelOf(a, gone, 1)) // nobody of that name is known
	is.Equal(next(t, a.unsent), cancelOf(a, gone, 1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	gone.self.Address = netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	a.SetPeers([]instance.Info{gone.self}) // nobody listens there
	a.Send(cancelOf(a, gone, 2))
	is.Equal(next(t, a.unsent), cancelOf(a, gone, 2))
}

func TestFullQueueIsReported(t *testing.T) {
	is := is.New(t)
	a, b := runPool(t, "a", 1, func(c *Config) { c.Queue = 1 }), runPool(t, "b", 1)
	a.SetPeers([]instance.Info{b.self})
	next(t, a.joined) // before that the one queued message may be told as unsent
	const count = 2000
	for i := range count {
		a.Send(cancelOf(a, b, uint64(i)))
	}
	got := 0
	for range count {
		select {
		case <-a.unsent:
		case <-b.received:
			got++
		case <-time.After(limit):
			t.Fatal("a message is neither unsent nor received")
		}
	}
	is.True(got > 0)
}

func TestStopSendsWhatIsQueued(t *testing.T) {
	is := is.New(t)
	for _, dials := range []bool{true, false} {
		a, b := runPool(t, "a", 1), runPool(t, "b", 1)
		if dials {
			a.SetPeers([]instance.Info{b.self})
		} else {
			b.SetPeers([]instance.Info{a.self})
		}
		next(t, a.joined)
		next(t, b.joined)
		for i := range 1000 {
			a.Send(cancelOf(a, b, uint64(i)))
		}
		a.stop()
		for i := range 1000 {
			is.Equal(next(t, b.received), cancelOf(a, b, uint64(i)))
		}
		is.Equal(next(t, b.lost), a.self.Ref)
		is.Equal(next(t, a.lost), b.self.Ref)
		b.stop()
	}
}

func TestRestartedPeerTakesOver(t *testing.T) {
	is := is.New(t)
	a, b := runPool(t, "a", 1), runPool(t, "b", 7)
	a.SetPeers([]instance.Info{b.self})
	is.Equal(next(t, a.joined).Incarnation, uint64(7))
	again := runPool(t, "b", 8)
	again.SetPeers([]instance.Info{a.self})
	is.Equal(next(t, a.joined).Incarnation, uint64(8))
	is.Equal(next(t, a.lost), b.self.Ref)
	a.Send(cancelOf(a, again, 1))
	next(t, again.received)
}

// A peer that noticed the end of a stream first opens a new one while the old
// one still stands here.
func TestEndOfReplacedStreamIsToldFirst(t *testing.T) {
	is := is.New(t)
	a := runPool(t, "a", 1)
	told := make(chan string, 1000)
	b := runPool(t, "b", 1, func(c *Config) { c.Handler = order{c.Handler, told} })
	conn, err := grpc.NewClient("passthrough:///"+b.self.Address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const streams = 20
	for range streams {
		pipe, err := wire.NewPeerClient(conn).Exchange(ctx)
		is.NoErr(err)
		is.NoErr(pipe.Send(&wire.Batch{Version: version, Sender: encodeInstance(a.self)}))
		_, err = pipe.Recv()
		is.NoErr(err)
	}
	is.Equal(next(t, told), "joined")
	for range streams - 1 {
		is.Equal(next(t, told), "lost")
		is.Equal(next(t, told), "joined")
	}
}

// order is a handler that keeps the order of joins and losses.
type order struct {
	Handler
	told chan string
}

func (o order) Joined(instance.Info) { o.told <- "joined" }
func (o order) Lost(instance.Ref)    { o.told <- "lost" }

func TestStrangersAreRefused(t *testing.T) {
	huge := &wire.Message{Body: &wire.Message_Show{Show: &wire.Show{SubmissionId: string(make([]byte, 10_000))}}}
	hello := &wire.Batch{Version: version, Sender: encodeInstance(instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "x"}})}
	tests := []struct {
		name  string
		sends []*wire.Batch
		want  codes.Code
	}{
		{"another version", []*wire.Batch{{Version: version + 1, Sender: hello.Sender}}, codes.FailedPrecondition},
		{"no name", []*wire.Batch{{Version: version}}, codes.InvalidArgument},
		{"bad address", []*wire.Batch{{Version: version, Sender: &wire.Instance{Ref: hello.Sender.Ref, Address: "home"}}}, codes.InvalidArgument},
		{"nothing", nil, codes.InvalidArgument},
		{"malformed message", []*wire.Batch{hello, {Messages: []*wire.Message{huge}}}, codes.Aborted},
	}
	a := runPool(t, "a", 1, func(c *Config) { c.Connect = 300 * time.Millisecond })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := grpc.NewClient("passthrough:///"+a.self.Address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			is.NoErr(err)
			defer conn.Close()
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			pipe, err := wire.NewPeerClient(conn).Exchange(ctx)
			is.NoErr(err)
			for _, b := range tt.sends {
				is.NoErr(pipe.Send(b))
			}
			for err == nil {
				_, err = pipe.Recv()
			}
			is.Equal(status.Code(err), tt.want)
			is.Equal(len(a.received), 0)
		})
	}
}

func TestOversizedMessageIsUnsent(t *testing.T) {
	is := is.New(t)
	small := func(c *Config) { c.MessageBytes = batchBytes + 10_000 }
	a, b := runPool(t, "a", 1, small), runPool(t, "b", 1, small)
	a.SetPeers([]instance.Info{b.self})
	next(t, a.joined) // before that all messages may be told as unsent
	m := message.Message{From: a.self.Ref, To: b.self.Ref, Body: message.Submit{Job: job.Job{
		Tasks: []task.Task{{ID: "t", Payload: make([]byte, 20_000)}},
	}}}
	a.Send(m)
	a.Send(cancelOf(a, b, 1))
	is.Equal(next(t, b.received), cancelOf(a, b, 1)) // the rest goes on
	is.Equal(next(t, a.unsent), m)
}

func BenchmarkSend(b *testing.B) {
	for _, tasks := range []int{0, 10} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			from, to := runPool(b, "a", 1), runPool(b, "b", 1)
			defer from.stop()
			defer to.stop()
			from.SetPeers([]instance.Info{to.self})
			next(b, from.joined)
			m := message.Message{From: from.self.Ref, To: to.self.Ref, Body: submitOf(tasks)}
			b.ReportAllocs()
			for b.Loop() {
				from.Send(m)
				<-to.received
			}
		})
	}
}
