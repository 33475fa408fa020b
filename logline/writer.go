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
	// period is how long a line waits for others.
	period = 200 * time.Millisecond
	// ordinaryLines and urgentLines bound what waits: a second of lines at
	// some thousand jobs a second.
	ordinaryLines = 4096
	urgentLines   = 4096
)

type (
	// Writer takes events in and writes them to a stream.
	Writer struct {
		// fields are the key and value pairs of every line.
		fields []any

		mu       sync.Mutex
		ordinary []line
		urgent   []line
		dropped  int
	}

	line struct {
		at     time.Time
		record event.Record
	}
)

// NewWriter returns a writer whose lines all have these keys and values.
func NewWriter(fields ...any) *Writer { return &Writer{fields: fields} }

// Write takes an event in. It never blocks on the stream.
func (w *Writer) Write(now time.Time, r event.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	buffer, bound := &w.ordinary, ordinaryLines
	if urgent(r.Kind) {
		buffer, bound = &w.urgent, urgentLines
	}
	if len(*buffer) >= bound {
		w.dropped++
		return
	}
	*buffer = append(*buffer, line{now, r})
}

// urgent reports whether the event tells of a refusal or a failure.
func urgent(k event.Kind) bool {
	return k == event.JobRefused || k.Entry().Severity != catalogue.Info
}

// Run writes what comes to the stream until the context ends, and then the
// rest. An error of the stream is not reported: there is nowhere left to do so.
func (w *Writer) Run(ctx context.Context, stream io.Writer) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_, _ = stream.Write(w.take(time.Now()))
			return
		case now := <-ticker.C:
			if b := w.take(now); len(b) > 0 {
				_, _ = stream.Write(b)
			}
		}
	}
}

// take returns the lines that wait, the urgent ones first.
func (w *Writer) take(now time.Time) []byte {
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
		w.encode(logger, line{now, event.Record{Kind: event.LinesDropped, Detail: fmt.Sprint(dropped)}})
	}
	return b.Bytes()
}

func (w *Writer) encode(logger log.Logger, l line) {
	e := l.record.Kind.Entry()
	pairs := make([]any, 0, len(w.fields)+10)
	pairs = append(pairs, "ts", l.at.UTC().Format("2006-01-02T15:04:05.000Z"))
	pairs = append(pairs, w.fields...)
	pairs = append(pairs, "level", e.Severity, "code", e.Code, "event", e.Title, "subject", l.record.Subject, "detail", l.record.Detail)
	_ = logger.Log(pairs...) // writes to memory
}
