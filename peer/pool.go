package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
)

const (
	// version is that of the protocol. Both sides must have the same.
	version = 2

	defaultSilence      = 1500 * time.Millisecond
	defaultConnect      = time.Second
	defaultMessageBytes = 32 << 20
	defaultQueue        = 1 << 14

	// windowBytes is how much may be under way on a stream. A fixed window
	// spares the pings with which gRPC looks for a better one.
	windowBytes = 1 << 20

	// drainTime bounds how long a pool that stops sends what it has.
	drainTime = time.Second
)

type (
	// Handler is told what comes from peers. Its methods are called from
	// several goroutines and must return soon; those about one stream are
	// called in the order of what happened.
	Handler interface {
		// Joined tells that a stream with the peer is open.
		Joined(i instance.Info)
		// Received gets messages of one peer in the order of their sending.
		Received(ms []message.Message)
		// Unsent gets messages that never left this process.
		Unsent(ms []message.Message)
		// Lost tells that the stream with the peer has ended. What was sent on
		// it may have arrived or not.
		Lost(i instance.Ref)
	}

	// Config sets up a pool. Zero fields but Self and Handler take defaults.
	Config struct {
		// Self is this instance; its address is the one that peers dial.
		Self    instance.Info
		Handler Handler
		// ServerTLS and ClientTLS are nil for plain TCP.
		ServerTLS, ClientTLS *tls.Config
		// Silence is how long nothing may come before a stream counts as
		// dead. Signs of life go out at least twice in it.
		Silence time.Duration
		// Binds reports which messages make something depend on the stream, on
		// both sides of it; until one was sent or came, it may be silent four
		// times as long. Nil means that all streams are binding from the start.
		Binds func(message.Body) bool
		// Connect bounds the set-up of a stream.
		Connect time.Duration
		// MessageBytes bounds one batch.
		MessageBytes int
		// Queue bounds the messages that wait for one peer.
		Queue int
		// Seed is that of the jitter between attempts to connect.
		Seed uint64
	}

	// Pool keeps one stream with each peer. Run makes it work.
	Pool struct {
		cfg Config
		// ctx ends all streams; it outlives Run's own by the drain.
		ctx      context.Context
		cancel   context.CancelFunc
		stopping chan struct{}
		work     conc.WaitGroup
		traffic  counters

		mu    sync.Mutex
		peers map[key]*link
		// running is false before and after Run.
		running bool
		random  *rand.Rand
	}

	// Traffic counts what went over the streams.
	Traffic struct {
		SentMessages, ReceivedMessages uint64
		// SentBytes and ReceivedBytes count encoded batches.
		SentBytes, ReceivedBytes uint64
	}

	counters struct {
		sentMessages, receivedMessages, sentBytes, receivedBytes atomic.Uint64
	}

	// key names an instance over its restarts.
	key struct {
		dataCentre, id string
	}

	// link is what a pool keeps of one peer.
	link struct {
		key     key
		address netip.AddrPort
		// wanted tells that the pool connects to the peer by itself.
		wanted bool
		// dialling tells that a goroutine does so.
		dialling bool
		// current is the open stream, or nil.
		current *stream
		// pending holds what came while the first attempt is under way; nil
		// at other times.
		pending *outbox
	}
)

// New returns a pool.
func New(cfg Config) *Pool {
	cfg.Silence = cmp.Or(cfg.Silence, defaultSilence)
	cfg.Connect = cmp.Or(cfg.Connect, defaultConnect)
	cfg.MessageBytes = cmp.Or(cfg.MessageBytes, defaultMessageBytes)
	cfg.Queue = cmp.Or(cfg.Queue, defaultQueue)
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
		stopping: make(chan struct{}),
		peers:    map[key]*link{},
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
	}
}

// Run serves peers on the listener and connects to those that were set, until
// the context ends. It then sends what it still has, for a bounded time, and
// returns once all its work has ended. It can be called once.
func (p *Pool) Run(ctx context.Context, l net.Listener) error {
	server := grpc.NewServer(
		grpc.Creds(credentialsOf(p.cfg.ServerTLS)),
		grpc.MaxRecvMsgSize(p.cfg.MessageBytes),
		grpc.ConnectionTimeout(p.cfg.Connect),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
	)
	wire.RegisterPeerServer(server, &service{pool: p})
	p.begin()

	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		p.drain(server)
	})
	err := server.Serve(l)
	if stop() {
		p.drain(server) // the listener failed by itself
	} else {
		<-drained
	}
	if errors.Is(err, grpc.ErrServerStopped) || ctx.Err() != nil {
		return nil
	}
	return err
}

// begin starts to connect to the peers that were set before Run.
func (p *Pool) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = true
	for _, l := range p.peers {
		p.dial(l)
	}
}

// drain ends every stream once its outbox is empty, or after a bounded time.
func (p *Pool) drain(server *grpc.Server) {
	p.mu.Lock()
	p.running = false
	p.mu.Unlock()
	close(p.stopping)
	limit := time.AfterFunc(drainTime, func() {
		p.cancel()
		server.Stop()
	})
	server.GracefulStop()
	p.work.Wait()
	limit.Stop()
	p.cancel()
}

// Traffic returns what went over the streams so far.
func (p *Pool) Traffic() Traffic {
	return Traffic{
		SentMessages:     p.traffic.sentMessages.Load(),
		ReceivedMessages: p.traffic.receivedMessages.Load(),
		SentBytes:        p.traffic.sentBytes.Load(),
		ReceivedBytes:    p.traffic.receivedBytes.Load(),
	}
}

func credentialsOf(c *tls.Config) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c)
}

func keyOf(r instance.Ref) key { return key{r.DataCentre, r.ID} }

// before orders keys; the first of a pair is the one that connects.
func (k key) before(other key) bool {
	if k.dataCentre != other.dataCentre {
		return k.dataCentre < other.dataCentre
	}
	return k.id < other.id
}
