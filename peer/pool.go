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
	// version is the version of the protocol. Both sides must use the same one.
	version = 2

	defaultReadTimeout    = 1500 * time.Millisecond
	defaultConnectTimeout = time.Second
	defaultMaxBatchBytes  = 32 << 20
	defaultMaxQueued      = 1 << 14

	// windowBytes is the HTTP/2 flow control window of a stream and of a
	// connection. A fixed window avoids the pings that gRPC sends to estimate a
	// better one.
	windowBytes = 1 << 20

	// drainTimeout limits how long a stopping pool sends its queued messages.
	drainTimeout = time.Second
)

type (
	// Handler handles the events of all streams. Its methods are called from
	// several goroutines and must return quickly. The calls for one stream are
	// made in the order of its events.
	Handler interface {
		// Connected is called when a stream with the peer has opened.
		Connected(i instance.Info)
		// Received is called with messages of one peer, in the order in which
		// they were sent.
		Received(ms []message.Message)
		// Unsent is called with messages that never left this process.
		Unsent(ms []message.Message)
		// Disconnected is called when the stream with the peer has ended.
		// Messages that were sent on it may have arrived or not.
		Disconnected(i instance.Ref)
	}

	// Config configures a pool. Self and Handler are required; other fields
	// that are zero take defaults.
	Config struct {
		// Self is this instance, with the address that peers connect to.
		Self    instance.Info
		Handler Handler
		// ServerTLS and ClientTLS are nil for plain TCP.
		ServerTLS, ClientTLS *tls.Config
		// ReadTimeout is the read timeout of a stream: a stream that receives
		// nothing for this long is closed. Each side sends keepalives, which
		// are empty batches, at least twice within it.
		ReadTimeout time.Duration
		// Critical reports whether a message makes a stream critical, so that
		// both sides must detect its loss soon. Until the first such message is
		// sent or received, the read timeout is four times ReadTimeout. If
		// Critical is nil, all streams are critical from the start.
		Critical func(message.Body) bool
		// ConnectTimeout is the timeout for opening a stream.
		ConnectTimeout time.Duration
		// MaxBatchBytes is the maximum size of a batch.
		MaxBatchBytes int
		// MaxQueued is the maximum number of messages queued for one peer.
		MaxQueued int
		// Seed is the random seed of the jitter between attempts to connect.
		Seed uint64
	}

	// Pool keeps one stream open with each peer while Run runs.
	Pool struct {
		cfg Config
		// ctx is the parent context of the streams that this side opens. It is
		// cancelled at the end of the drain, later than the context of Run.
		ctx    context.Context
		cancel context.CancelFunc
		// stopping is closed when the drain begins.
		stopping chan struct{}
		// wg waits for the goroutines of links and streams.
		wg      conc.WaitGroup
		traffic counters

		mu    sync.Mutex
		peers map[key]*link
		// running is false before and after Run.
		running bool
		random  *rand.Rand
	}

	// Traffic counts the messages and bytes of all streams.
	Traffic struct {
		SentMessages, ReceivedMessages uint64
		// SentBytes and ReceivedBytes count the bytes of encoded batches.
		SentBytes, ReceivedBytes uint64
	}

	counters struct {
		sentMessages, receivedMessages, sentBytes, receivedBytes atomic.Uint64
	}

	// key identifies an instance across restarts.
	key struct {
		dataCentre, id string
	}

	// link is the state that a pool keeps for one peer.
	link struct {
		key     key
		address netip.AddrPort
		// listed reports whether the last SetPeers named the peer, so that the
		// pool connects to it.
		listed bool
		// dialling reports whether a goroutine runs connectLoop for the peer.
		dialling bool
		// current is the open stream, or nil.
		current *stream
		// pending queues the messages for the peer from the start of
		// connectLoop until a stream is open or connectLoop's first attempt has
		// failed; nil at other times.
		pending *outbox
	}
)

// New returns a pool that is not running yet; see [Pool.Run].
func New(cfg Config) *Pool {
	cfg.ReadTimeout = cmp.Or(cfg.ReadTimeout, defaultReadTimeout)
	cfg.ConnectTimeout = cmp.Or(cfg.ConnectTimeout, defaultConnectTimeout)
	cfg.MaxBatchBytes = cmp.Or(cfg.MaxBatchBytes, defaultMaxBatchBytes)
	cfg.MaxQueued = cmp.Or(cfg.MaxQueued, defaultMaxQueued)
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

// Run accepts streams on the listener and connects to the peers set with
// [Pool.SetPeers] until the context ends. It then sends the queued messages,
// for a limited time, and returns after all goroutines of the pool have
// ended. It returns an error if the listener fails. Run may be called only
// once.
func (p *Pool) Run(ctx context.Context, l net.Listener) error {
	server := grpc.NewServer(
		grpc.Creds(credentialsOf(p.cfg.ServerTLS)),
		grpc.MaxRecvMsgSize(p.cfg.MaxBatchBytes),
		grpc.ConnectionTimeout(p.cfg.ConnectTimeout),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
	)
	wire.RegisterPeerServer(server, &peerServer{pool: p})
	p.start()

	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		p.drain(server)
	})
	err := server.Serve(l)
	if stop() {
		p.drain(server) // the listener failed before the context ended
	} else {
		<-drained
	}
	if errors.Is(err, grpc.ErrServerStopped) || ctx.Err() != nil {
		return nil
	}
	return err
}

// start marks the pool as running and connects to the peers that were set
// before Run.
func (p *Pool) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = true
	for _, l := range p.peers {
		p.dial(l)
	}
}

// drain sends the messages in each stream's outbox and then ends the stream.
// Streams that are still open after drainTimeout are closed. It returns after
// all goroutines have ended.
func (p *Pool) drain(server *grpc.Server) {
	p.mu.Lock()
	p.running = false
	p.mu.Unlock()
	close(p.stopping)
	timeout := time.AfterFunc(drainTimeout, func() {
		p.cancel()
		server.Stop()
	})
	server.GracefulStop()
	p.wg.Wait()
	timeout.Stop()
	p.cancel()
}

// Traffic returns the counts since the start of the pool.
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

// before reports whether k sorts before other. The instance of a pair whose key
// sorts first normally opens the stream.
func (k key) before(other key) bool {
	if k.dataCentre != other.dataCentre {
		return k.dataCentre < other.dataCentre
	}
	return k.id < other.id
}
