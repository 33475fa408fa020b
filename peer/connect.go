package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
)

const (
	// dialDelay is how long the instance whose key sorts second waits for the
	// other one of the pair to connect.
	dialDelay = 250 * time.Millisecond

	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// stableAfter is how long a stream must last to reset the backoff.
	stableAfter = 2 * time.Second
)

// peerServer accepts streams that peers open.
type peerServer struct {
	wire.UnimplementedPeerServer
	pool *Pool
}

var errVersion = fmt.Errorf("peer speaks another version of the protocol than %d; run one release on all instances", version)

// dial starts to connect to a peer, unless the pool is not running, the peer is
// not listed, or a stream or an attempt to connect exists already. The caller
// must hold p.mu.
func (p *Pool) dial(l *link) {
	if !p.running || !l.listed || l.dialling || l.current != nil {
		return
	}
	l.dialling = true
	l.pending = newOutbox(p.cfg.MaxQueued)
	p.wg.Go(func() { p.connectLoop(l) })
}

// connectLoop connects to a peer, runs the stream until it ends, and reconnects
// after a backoff. It returns when a stream that the peer opened is current,
// when the peer is no longer listed, or when the pool stops.
func (p *Pool) connectLoop(l *link) {
	if l.key.before(keyOf(p.cfg.Self.Ref)) {
		p.sleep(dialDelay)
	}
	for failures := 0; ; failures++ {
		address, ok := p.dialAddress(l)
		if !ok {
			p.failPending(l)
			return
		}
		startedAt := time.Now()
		_ = p.connectOnce(l.key, address) // the handler is told when a stream opens or ends; failed attempts are only retried
		if time.Since(startedAt) > stableAfter {
			failures = 0
		}
		p.failPending(l)
		p.sleep(p.backoff(failures))
	}
}

// dialAddress returns the address to connect to, or false if connectLoop is to
// end. In that case it marks the link as no longer dialling.
func (p *Pool) dialAddress(l *link) (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running && l.listed && l.current == nil {
		return l.address.String(), true
	}
	l.dialling = false
	p.removeIfUnused(l)
	return "", false
}

// failPending reports the messages that were queued until the end of
// connectLoop's first attempt as unsent.
func (p *Pool) failPending(l *link) {
	p.mu.Lock()
	pending := l.pending
	l.pending = nil
	p.mu.Unlock()
	if pending != nil {
		p.notifyUnsent(pending.close())
	}
}

// sleep waits for the duration or until the pool stops.
func (p *Pool) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.stopping:
	}
}

// backoff returns a random delay of at least half and less than the whole of a
// span that doubles with each failure, from minBackoff to maxBackoff.
func (p *Pool) backoff(failures int) time.Duration {
	span := min(minBackoff<<min(failures, 10), maxBackoff)
	p.mu.Lock()
	defer p.mu.Unlock()
	return span/2 + time.Duration(p.random.Int64N(int64(span/2)))
}

// client returns a client of the peer at the address. The client connects on
// its first call.
func (p *Pool) client(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(credentialsOf(p.cfg.ClientTLS)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: p.cfg.ConnectTimeout}),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(p.cfg.MaxBatchBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
	)
}

// connectOnce opens a stream and runs it until its end. It returns the reason
// why the stream was not opened or has ended.
func (p *Pool) connectOnce(k key, address string) error {
	conn, err := p.client(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(p.ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(p.cfg.ConnectTimeout, func() { cancel(context.DeadlineExceeded) })
	defer timeout.Stop()

	transport, err := wire.NewPeerClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	if err := transport.Send(p.hello()); err != nil {
		return err
	}
	remote, err := receiveHello(transport)
	if err != nil {
		return err
	}
	if keyOf(remote.Ref) != k {
		return fmt.Errorf("address %s is that of instance %s of %s", address, remote.ID, remote.DataCentre)
	}
	if !timeout.Stop() {
		return context.DeadlineExceeded
	}
	s := newStream(ctx, p, remote, transport, true)
	s.closeSend = transport.CloseSend
	if !p.attach(s) {
		return errReplaced
	}
	s.run()
	cancel(nil)
	<-s.done
	return context.Cause(s.ctx)
}

// Exchange implements [wire.PeerServer].
func (s *peerServer) Exchange(transport grpc.BidiStreamingServer[wire.Batch, wire.Batch]) error {
	p := s.pool
	remote, err := p.receiveHelloWithTimeout(transport)
	if errors.Is(err, errVersion) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	st := newStream(transport.Context(), p, remote, transport, false)
	if !p.attach(st) {
		return status.Error(codes.AlreadyExists, "the other side's stream is open")
	}
	if err := transport.Send(p.hello()); err != nil {
		st.end(err)
	}
	st.run()
	return closeStatus(context.Cause(st.ctx))
}

// closeStatus returns the gRPC status to report to the peer at the end of a
// stream.
func closeStatus(cause error) error {
	if errors.Is(cause, errPeerClosed) || errors.Is(cause, errStopped) {
		return nil
	}
	return status.Error(codes.Aborted, cause.Error())
}

// hello returns the first batch of a stream, which identifies this instance.
func (p *Pool) hello() *wire.Batch {
	return &wire.Batch{Version: version, Sender: encodeInstance(p.cfg.Self)}
}

// receiveHelloWithTimeout reads the first batch of a stream. It returns
// [context.DeadlineExceeded] if that takes too long. The caller then ends the
// stream, which also ends the goroutine that reads.
func (p *Pool) receiveHelloWithTimeout(transport transport) (instance.Info, error) {
	type hello struct {
		remote instance.Info
		err    error
	}
	received := make(chan hello, 1)
	p.wg.Go(func() {
		remote, err := receiveHello(transport)
		received <- hello{remote, err}
	})
	timer := time.NewTimer(p.cfg.ConnectTimeout)
	defer timer.Stop()
	select {
	case h := <-received:
		return h.remote, h.err
	case <-timer.C:
		return instance.Info{}, context.DeadlineExceeded
	}
}

// receiveHello reads the first batch of a stream and returns its sender. The
// error is errVersion if the peer uses another version of the protocol.
func receiveHello(transport transport) (instance.Info, error) {
	batch, err := transport.Recv()
	if err != nil {
		return instance.Info{}, err
	}
	if batch.GetVersion() != version {
		return instance.Info{}, errVersion
	}
	remote, err := decodeInstance(batch.GetSender())
	if err != nil {
		return instance.Info{}, err
	}
	if remote.ID == "" || remote.DataCentre == "" {
		return instance.Info{}, errors.New("the first batch does not tell who sends it")
	}
	return remote, nil
}
