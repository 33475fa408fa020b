package peer

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
)

const (
	// maxPackedMessages and maxPackedBytes limit a batch of several messages. A
	// message larger than maxPackedBytes is the only one of its batch.
	maxPackedMessages = 512
	maxPackedBytes    = 1 << 20
	// nonCriticalFactor multiplies the read timeout of streams that are not
	// critical.
	nonCriticalFactor = 4
)

type (
	// transport is either side of a gRPC stream.
	transport interface {
		Send(*wire.Batch) error
		Recv() (*wire.Batch, error)
	}

	// stream is one open stream with a peer.
	stream struct {
		pool      *Pool
		transport transport
		remote    instance.Info
		// dialled reports whether this side opened the stream.
		dialled bool
		// out queues the messages to send.
		out    *outbox
		ctx    context.Context
		cancel context.CancelCauseFunc
		// receiveDone is closed when receive has returned, and done when
		// Handler.Disconnected and Pool.detach have returned.
		receiveDone, done chan struct{}
		// replyDue holds an element while a keepalive must be answered.
		replyDue chan struct{}
		// closeSend ends this side's direction of the stream.
		closeSend func() error
		// readTimer ends the stream after the read timeout, at readDeadline in
		// nanoseconds since opened.
		readTimer    *time.Timer
		opened       time.Time
		readDeadline atomic.Int64
		// critical is closed by markCritical; see Config.Critical.
		critical     chan struct{}
		markCritical func()
	}
)

var (
	errReplaced    = errors.New("a newer stream with the peer took its place")
	errReadTimeout = errors.New("nothing came from the peer for too long")
	errPeerClosed  = errors.New("the peer ended the stream")
	errStopped     = errors.New("the instance is stopping")
)

func newStream(ctx context.Context, p *Pool, remote instance.Info, t transport, dialled bool) *stream {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stream{
		pool:      p,
		transport: t,
		remote:    remote,
		dialled:   dialled,
		out:       newOutbox(p.cfg.MaxQueued),
		ctx:       ctx,
		cancel:    cancel,
		opened:    time.Now(),

		receiveDone: make(chan struct{}),
		done:        make(chan struct{}),
		replyDue:    make(chan struct{}, 1),
		closeSend:   func() error { return nil },
		critical:    make(chan struct{}),
	}
	s.markCritical = sync.OnceFunc(func() { close(s.critical) })
	if p.cfg.Critical == nil {
		s.markCritical()
	}
	return s
}

// end makes run return.
func (s *stream) end(cause error) { s.cancel(cause) }

// run sends and receives messages until the stream ends. The caller must then
// end the transport, which makes the remaining goroutines of the stream return;
// done is closed after that.
func (s *stream) run() {
	s.pool.cfg.Handler.Connected(s.remote)
	s.readTimer = time.AfterFunc(s.readTimeout(), func() { s.end(errReadTimeout) })
	s.resetReadTimer()
	var wg conc.WaitGroup
	wg.Go(s.receive)
	wg.Go(s.send)
	s.pool.wg.Go(func() {
		wg.Wait()
		s.readTimer.Stop()
		s.pool.cfg.Handler.Disconnected(s.remote.Ref)
		s.pool.detach(s) // only now, so that a stream opened meanwhile waits in attach
		close(s.done)
	})
	<-s.ctx.Done()
}

// readTimeout returns how long the stream may receive nothing before it is
// closed.
func (s *stream) readTimeout() time.Duration {
	select {
	case <-s.critical:
		return s.pool.cfg.ReadTimeout
	default:
		return nonCriticalFactor * s.pool.cfg.ReadTimeout
	}
}

// resetReadTimer makes the read timeout begin now.
func (s *stream) resetReadTimer() {
	timeout := s.readTimeout()
	s.readDeadline.Store(int64(time.Since(s.opened) + timeout))
	s.readTimer.Reset(timeout)
}

// readTimedOut reports whether the read timeout has passed. After a suspension of
// the process, the timer may run later than the goroutine that reads.
func (s *stream) readTimedOut() bool { return int64(time.Since(s.opened)) > s.readDeadline.Load() }

// updateCritical marks the stream as critical if one of the messages makes it
// so, and shortens its read timeout.
func (s *stream) updateCritical(ms []message.Message) {
	select {
	case <-s.critical:
		return
	default:
	}
	for _, m := range ms {
		if s.pool.cfg.Critical(m.Body) {
			s.markCritical()
			s.resetReadTimer()
			return
		}
	}
}

// receive reads batches until reading fails or a message is not valid, and then
// ends the stream.
func (s *stream) receive() {
	defer close(s.receiveDone)
	for {
		batch, err := s.transport.Recv()
		if errors.Is(err, io.EOF) {
			s.end(errPeerClosed)
			return
		}
		if err != nil {
			s.end(err)
			return
		}
		if s.readTimedOut() {
			s.end(errReadTimeout)
			return
		}
		s.resetReadTimer()
		if err := s.deliver(batch); err != nil {
			s.end(err)
			return
		}
	}
}

// deliver decodes a batch and passes its messages to the handler. An error means
// that a message is not valid.
func (s *stream) deliver(batch *wire.Batch) error {
	s.pool.traffic.receivedBytes.Add(uint64(proto.Size(batch)))
	if len(batch.GetMessages()) == 0 {
		s.replyToKeepalive()
		return nil
	}
	ms := make([]message.Message, 0, len(batch.GetMessages()))
	for _, w := range batch.GetMessages() {
		s.restoreStreamRefs(w)
		m, err := decode(w)
		if errors.Is(err, errUnknownBody) {
			continue // sent by a newer release with the same protocol version; no code here expects it
		}
		if err != nil {
			return err
		}
		ms = append(ms, m)
	}
	s.pool.traffic.receivedMessages.Add(uint64(len(ms)))
	s.updateCritical(ms)
	s.pool.cfg.Handler.Received(ms)
	return nil
}

// omitStreamRefs clears the sender or the receiver of a message if it is that of
// the stream, which both sides know.
func (s *stream) omitStreamRefs(w *wire.Message, m message.Message) {
	if w == nil {
		return
	}
	if m.From == s.pool.cfg.Self.Ref {
		w.From = nil
	}
	if m.To == s.remote.Ref {
		w.To = nil
	}
}

// restoreStreamRefs sets the sender and the receiver that omitStreamRefs cleared
// at the other side.
func (s *stream) restoreStreamRefs(w *wire.Message) {
	if w.From == nil {
		w.From = encodeRef(s.remote.Ref)
	}
	if w.To == nil {
		w.To = encodeRef(s.pool.cfg.Self.Ref)
	}
}

// replyToKeepalive makes send answer a keepalive, an empty batch, if this side
// accepted the stream. The side that opened it does not answer.
func (s *stream) replyToKeepalive() {
	if s.dialled {
		return
	}
	select {
	case s.replyDue <- struct{}{}:
	default:
	}
}

// send writes batches until the stream ends or the pool stops.
func (s *stream) send() {
	keepalive := time.NewTimer(s.keepaliveInterval())
	defer keepalive.Stop()
	var ms []message.Message
	critical := s.critical
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.pool.stopping:
			s.drain()
			return
		case <-s.out.notEmpty:
			ms = s.out.takeAll(ms[:0])
			s.write(ms)
			s.updateCritical(ms)
			clear(ms)
		case <-critical:
			critical = nil // the keepalive interval is shorter from now on
			s.sendBatch(&wire.Batch{})
		case <-s.replyDue:
			s.sendBatch(&wire.Batch{})
		case <-keepalive.C:
			s.sendBatch(&wire.Batch{})
		}
		keepalive.Reset(s.keepaliveInterval())
	}
}

// keepaliveInterval returns how long after its last batch a side sends a
// keepalive. The interval of the side that accepted the stream is longer:
// usually it only answers the other side's keepalives, so that the answer also
// carries the TCP acknowledgement.
func (s *stream) keepaliveInterval() time.Duration {
	interval := s.readTimeout() * 2 / 5
	if s.dialled {
		return interval
	}
	return interval * 5 / 4
}

// drain sends the queued messages and ends the stream. The side that opened the
// stream waits before that until the peer has ended its direction.
func (s *stream) drain() {
	s.write(s.out.close())
	if s.closeSend() == nil && s.dialled {
		select {
		case <-s.receiveDone:
		case <-s.ctx.Done():
		}
	}
	s.end(errStopped)
}

// write sends messages in batches. If the stream has ended, it reports the rest
// as unsent.
func (s *stream) write(ms []message.Message) {
	for len(ms) > 0 {
		if s.ctx.Err() != nil {
			s.pool.notifyUnsent(slices.Clone(ms))
			return
		}
		batch, n := s.nextBatch(ms)
		if len(batch.Messages) > 0 {
			s.sendBatch(batch)
		}
		ms = ms[n:]
	}
}

// nextBatch encodes messages up to the limits of a batch and returns the batch
// and the number of messages handled. It reports messages that are too large or
// cannot be encoded as unsent.
func (s *stream) nextBatch(ms []message.Message) (*wire.Batch, int) {
	batch := &wire.Batch{}
	size := 0
	for i, m := range ms {
		w, err := encode(m)
		s.omitStreamRefs(w, m)
		n := proto.Size(w)
		if err != nil || n > s.pool.cfg.MaxBatchBytes-maxPackedBytes {
			s.pool.notifyUnsent([]message.Message{m})
			continue
		}
		if len(batch.Messages) == maxPackedMessages || size > 0 && size+n > maxPackedBytes {
			return batch, i
		}
		batch.Messages = append(batch.Messages, w)
		size += n
	}
	return batch, len(ms)
}

// sendBatch sends one batch. An error ends the stream; the batch may have
// arrived or not.
func (s *stream) sendBatch(batch *wire.Batch) {
	if err := s.transport.Send(batch); err != nil {
		s.end(err)
		return
	}
	s.pool.traffic.sentMessages.Add(uint64(len(batch.Messages)))
	s.pool.traffic.sentBytes.Add(uint64(proto.Size(batch)))
}
