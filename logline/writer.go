package logline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/lovagecrank/lovagecrank/catalogue"
	"github.com/lovagecrank/lovagecrank/event"
)

const (
	// flushInterval is the time between two batches.
	flushInterval = 200 * time.Millisecond
	// maxOrdinaryLines and maxUrgentLines bound the buffers. Each holds one
	// second of lines at a few thousand jobs per second.
	maxOrdinaryLines = 4096
	maxUrgentLines   = 4096
	// endTimeout is how long the last lines may take to be written. An instance
	// exits 250 ms before the end of its grace period.
	endTimeout = 150 * time.Millisecond
)

type (
	// Writer buffers events and writes them to a stream. Its methods are safe
	// for concurrent use.
	Writer struct {
		// fields are the alternating keys and values that every line contains.
		fields []any
		// OnDropped is called with each event about dropped lines, which nobody
		// else writes. It is optional and must be set before Run is called.
		OnDropped func(event.Record)

		mu       sync.Mutex
		ordinary []line
		urgent   []line
		dropped  int
	}

	// line is a buffered event and the time when it was written.
	line struct {
		at     time.Time
		record event.Record
	}
)

// NewWriter returns a writer whose lines all contain the given alternating keys
// and values.
func NewWriter(fields ...any) *Writer { return &Writer{fields: fields} }

// Write buffers an event. It never waits for the stream and drops the event if
// the buffer is full.
func (w *Writer) Write(now time.Time, r event.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	buffer, limit := &w.ordinary, maxOrdinaryLines
	if isUrgent(r.Kind) {
		buffer, limit = &w.urgent, maxUrgentLines
	}
	if len(*buffer) >= limit {
		w.dropped++
		return
	}
	*buffer = append(*buffer, line{now, r})
}

// isUrgent reports whether the event is a refusal or a failure.
func isUrgent(k event.Kind) bool {
	return k == event.JobRefused || k.Entry().Severity != catalogue.Info
}

// Run writes the buffered lines to the stream periodically until ctx is done,
// and the remaining lines at the end. If the stream stalls then, Run returns
// after endTimeout, and the write goes on in the background. Run ignores errors
// of the stream, since there is no other place to report them.
func (w *Writer) Run(ctx context.Context, stream io.Writer) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.writeBatches(ctx, stream)
	}()
	<-ctx.Done()
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

// writeBatches writes a batch in each flushInterval until ctx is done.
func (w *Writer) writeBatches(ctx context.Context, stream io.Writer) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_, _ = stream.Write(w.drain(time.Now()))
			return
		case now := <-ticker.C:
			if b := w.drain(now); len(b) > 0 {
				_, _ = stream.Write(b)
			}
		}
	}
}

// drain removes and encodes the buffered lines, urgent ones first.
func (w *Writer) drain(now time.Time) []byte {
	w.mu.Lock()
	urgent, ordinary, dropped := w.urgent, w.ordinary, w.dropped
	w.urgent, w.ordinary, w.dropped = nil, nil, 0
	w.mu.Unlock()
	if len(urgent)+len(ordinary) == 0 && dropped == 0 {
		return nil
	}
	var b bytes.Buffer
	logger := log.NewLogfmtLogger(&b)
	for _, l := range urgent {
		w.encode(logger, l)
	}
	for _, l := range ordinary {
		w.encode(logger, l)
	}
	if dropped > 0 {
		r := event.Record{Kind: event.LinesDropped, Detail: fmt.Sprint(dropped)}
		w.encode(logger, line{now, r})
		if w.OnDropped != nil {
			w.OnDropped(r)
		}
	}
	return b.Bytes()
}

// encode writes one line to the logger.
func (w *Writer) encode(logger log.Logger, l line) {
	e := l.record.Kind.Entry()
	pairs := make([]any, 0, len(w.fields)+10)
	pairs = append(pairs, "ts", l.at.UTC().Format("2006-01-02T15:04:05.000Z"))
	pairs = append(pairs, w.fields...)
	pairs = append(pairs, "level", e.Severity, "code", e.Code, "event", e.Title, "subject", l.record.Subject, "detail", l.record.Detail)
	_ = logger.Log(pairs...) // writes to memory
}
