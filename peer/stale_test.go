package peer

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
)

// stoppedProcess is a transport whose batch is read only after the read timeout:
// the process stood still, and the goroutine that reads runs before the one of the
// read timer.
type stoppedProcess struct {
	s     *stream
	batch *wire.Batch
	reads int
}

func (p *stoppedProcess) Send(*wire.Batch) error { return nil }

func (p *stoppedProcess) Recv() (*wire.Batch, error) {
	p.reads++
	if p.reads > 1 {
		return nil, io.EOF
	}
	p.s.readTimer.Stop()
	time.Sleep(3 * p.s.readTimeout())
	return p.batch, nil
}

// A batch that waited until after the read timeout must not be delivered: the peer
// has ended the stream by then and counts what it sent as lost.
func TestBatchAfterReadTimeoutIsDropped(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	self := instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "a", Incarnation: 1}}
	remote := instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "b", Incarnation: 1}}
	p := New(Config{Self: self, Handler: r, ReadTimeout: 50 * time.Millisecond})
	defer p.cancel()
	w, err := encode(message.Message{From: remote.Ref, To: self.Ref, Body: message.Cancel{Request: 1, SubmissionID: "s"}})
	is.NoErr(err)
	transport := &stoppedProcess{batch: &wire.Batch{Messages: []*wire.Message{w}}}
	s := newStream(t.Context(), p, remote, transport, false)
	transport.s = s
	is.True(p.attach(s))
	s.run()
	<-s.done
	is.Equal(receive(t, r.disconnected), remote.Ref)
	is.Equal(len(r.received), 0)
	p.wg.Wait()
}
