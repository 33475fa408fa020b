package peer

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
)

const (
	// batchMessages and batchBytes bound a batch of more than one message.
	batchMessages = 512
	batchBytes    = 1 << 20
	// slowFactor is how many times longer a stream may be silent on which
	// nothing depends.
	slowFactor = 4
)

type (
	// pipe is either side of a gRPC stream.
	pipe interface {
		Send(*wire.Batch) error
		Recv() (*wire.Batch, error)
	}

	// stream is one open stream with a peer.
	stream struct {
		pool   *Pool
		pipe   pipe
		remote instance.Info
		// dialled tells that this side connected.
		dialled bool
		out     *outbox
		ctx     context.Context
		cancel  context.CancelCauseFunc
		// received is closed when nothing more comes, and settled when the
		// handler was told of the stream's end.
		received, settled chan struct{}
		// echo has an element while a sign of life waits for its answer.
		echo chan struct{}
		// finish tells the peer that nothing more comes.
		finish func() error
		// silence ends the stream; binding is closed when something depends on
		// it, so that its end must be noticed soon.
		silence *time.Timer
		binding chan struct{}
		bind    func()
	}
)

var (
	errReplaced = errors.New("a newer stream with the peer took its place")
	errSilent   = errors.New("nothing came from the peer for too long")
	errEnded    = errors.New("the peer ended the stream")
	errStopped  = errors.New("the instance stops")
)

func newStream(ctx context.Context, p *Pool, remote instance.Info, io pipe, dialled bool) *stream {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stream{
		pool:    p,
		pipe:    io,
		remote:  remote,
		dialled: dialled,
		out:     newOutbox(p.cfg.Queue),
		ctx:     ctx,
		cancel:  cancel,

		received: make(chan struct{}),
		settled:  make(chan struct{}),
		echo:     make(chan struct{}, 1),
		finish:   func() error { return nil },
		binding:  make(chan struct{}),
	}
	s.bind = sync.OnceFunc(func() { close(s.binding) })
	if p.cfg.Binds == nil {
		s.bind()
	}
	return s
}

// end makes run return.
func (s *stream) end(cause error) { s.cancel(cause) }

// run carries messages both ways and returns when the stream has ended. The
// caller then ends the pipe, which ends what is left of the stream's work;
// settled is closed after that.
func (s *stream) run() {
	s.pool.cfg.Handler.Joined(s.remote)
	s.silence = time.AfterFunc(s.patience(), func() { s.end(errSilent) })
	var work conc.WaitGroup
	work.Go(s.receive)
	work.Go(s.send)
	s.pool.work.Go(func() {
		work.Wait()
		s.silence.Stop()
		s.pool.closed(s)
		s.pool.cfg.Handler.Lost(s.remote.Ref)
		close(s.settled)
	})
	<-s.ctx.Done()
}

// patience returns how long nothing may come before the stream counts as dead.
func (s *stream) patience() time.Duration {
	select {
	case <-s.binding:
		return s.pool.cfg.Silence
	default:
		return slowFactor * s.pool.cfg.Silence
	}
}

// note makes the stream a binding one if a message does so.
func (s *stream) note(ms []message.Message) {
	select {
	case <-s.binding:
		return
	default:
	}
	for _, m := range ms {
		if s.pool.cfg.Binds(m.Body) {
			s.bind()
			s.silence.Reset(s.patience())
			return
		}
	}
}

func (s *stream) receive() {
	defer close(s.received)
	for {
		batch, err := s.pipe.Recv()
		if errors.Is(err, io.EOF) {
			s.end(errEnded)
			return
		}
		if err != nil {
			s.end(err)
			return
		}
		s.silence.Reset(s.patience())
		if err := s.deliver(batch); err != nil {
			s.end(err)
			return
		}
	}
}

func (s *stream) deliver(batch *wire.Batch) error {
	s.pool.traffic.receivedBytes.Add(uint64(proto.Size(batch)))
	if len(batch.GetMessages()) == 0 {
		s.answer()
		return nil
	}
	ms := make([]message.Message, 0, len(batch.GetMessages()))
	for _, w := range batch.GetMessages() {
		s.restoreEnds(w)
		m, err := decode(w)
		if errors.Is(err, errNoBody) {
			continue // of a newer version; nothing here waits for it
		}
		if err != nil {
			return err
		}
		ms = append(ms, m)
	}
	s.pool.traffic.receivedMessages.Add(uint64(len(ms)))
	s.note(ms)
	s.pool.cfg.Handler.Received(ms)
	return nil
}

// omitEnds leaves out sender and receiver where they are the stream's own,
// which both sides know.
func (s *stream) omitEnds(w *wire.Message, m message.Message) {
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

func (s *stream) restoreEnds(w *wire.Message) {
	if w.From == nil {
		w.From = encodeRef(s.remote.Ref)
	}
	if w.To == nil {
		w.To = encodeRef(s.pool.cfg.Self.Ref)
	}
}

// answer makes the side that was connected to answer a sign of life.
func (s *stream) answer() {
	if s.dialled {
		return
	}
	select {
	case s.echo <- struct{}{}:
	default:
	}
}

// send writes batches until the stream ends or the pool stops.
func (s *stream) send() {
	sign := time.NewTimer(s.interval())
	defer sign.Stop()
	var ms []message.Message
	binding := s.binding
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.pool.stopping:
			s.drain()
			return
		case <-s.out.wake:
			ms = s.out.take(ms[:0])
			s.write(ms)
			s.note(ms)
			clear(ms)
		case <-binding:
			binding = nil // the next sign is due earlier
			s.put(&wire.Batch{})
		case <-s.echo:
			s.put(&wire.Batch{})
		case <-sign.C:
			s.put(&wire.Batch{})
		}
		sign.Reset(s.interval())
	}
}

// interval returns how long after its last batch a side sends a sign of life.
// The side that was connected to waits for one of the other to answer, so that
// the answer also carries TCP's acknowledgement.
func (s *stream) interval() time.Duration {
	interval := s.patience() * 2 / 5
	if s.dialled {
		return interval
	}
	return interval * 5 / 4
}

// drain sends what is left and waits for the peer to end its side.
func (s *stream) drain() {
	s.write(s.out.close())
	if s.finish() == nil && s.dialled {
		select {
		case <-s.received:
		case <-s.ctx.Done():
		}
	}
	s.end(errStopped)
}

// write sends messages in batches. Those that never left are reported.
func (s *stream) write(ms []message.Message) {
	for len(ms) > 0 {
		if s.ctx.Err() != nil {
			s.pool.report(slices.Clone(ms))
			return
		}
		batch, n := s.batch(ms)
		if len(batch.Messages) > 0 {
			s.put(batch)
		}
		ms = ms[n:]
	}
}

// batch encodes the first messages, up to the bounds of a batch, and returns
// how many it took. One that cannot be encoded is reported as unsent.
func (s *stream) batch(ms []message.Message) (*wire.Batch, int) {
	batch := &wire.Batch{}
	size := 0
	for i, m := range ms {
		w, err := encode(m)
		s.omitEnds(w, m)
		n := proto.Size(w)
		if err != nil || n > s.pool.cfg.MessageBytes-batchBytes {
			s.pool.report([]message.Message{m})
			continue
		}
		if len(batch.Messages) == batchMessages || size > 0 && size+n > batchBytes {
			return batch, i
		}
		batch.Messages = append(batch.Messages, w)
		size += n
	}
	return batch, len(ms)
}

// put sends one batch. An error ends the stream, and what became of the batch
// is not known.
func (s *stream) put(batch *wire.Batch) {
	if err := s.pipe.Send(batch); err != nil {
		s.end(err)
		return
	}
	s.pool.traffic.sentMessages.Add(uint64(len(batch.Messages)))
	s.pool.traffic.sentBytes.Add(uint64(proto.Size(batch)))
}
