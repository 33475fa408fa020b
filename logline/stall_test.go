package logline

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// TestStalledReader tests, on a virtual clock, that events are accepted without
// a wait while the reader of the stream stalls, that the buffers stay bounded,
// and that the number of dropped events is written once it reads again.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWriter("instance", "a")
		reader, stream := io.Pipe()
		ctx, end := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.Run(ctx, stream)
		}()
		start := time.Now()
		w.Write(start, event.Record{Kind: event.JobAnswered, Subject: "first"})
		time.Sleep(2 * flushInterval) // the batch with this line waits for the reader
		now := time.Now()
		for range 3 * maxOrdinaryLines {
			w.Write(now, event.Record{Kind: event.JobAnswered, Subject: "j"})
		}
		w.Write(now, event.Record{Kind: event.JobFailed, Subject: "lost one"})
		is.Equal(time.Now(), now) // nothing waited
		is.Equal(len(w.ordinary), maxOrdinaryLines)

		var text bytes.Buffer
		go func() { _, _ = io.Copy(&text, reader) }()
		time.Sleep(2 * flushInterval)
		end()
		<-ended
		_ = stream.Close()
		synctest.Wait()
		is.Equal(strings.Count(text.String(), "code=LC2069"), 1+maxOrdinaryLines)
		is.Equal(strings.Count(text.String(), "code=LC2041"), 1)
		is.Equal(strings.Count(text.String(), "code=LC2070"), 1)
		is.True(strings.Contains(text.String(), "detail=8192"))
	})
}

// TestEndWithStalledReader tests that a reader that never reads does not keep
// the process from ending.
func TestEndWithStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWriter("instance", "a")
		reader, stream := io.Pipe()
		ctx, end := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.Run(ctx, stream)
		}()
		w.Write(time.Now(), event.Record{Kind: event.Started})
		time.Sleep(2 * flushInterval)
		stop := time.Now()
		end()
		select {
		case <-ended:
		case <-time.After(time.Minute):
		}
		is.True(time.Since(stop) < time.Second)
		_ = reader.Close() // ends the write
	})
}
