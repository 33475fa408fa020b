package trace

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newRecordingTracer returns a tracer that exports its spans to memory.
func newRecordingTracer(cfg Config) (*Tracer, *tracetest.InMemoryExporter) {
	exporter := tracetest.NewInMemoryExporter()
	return newTracer(cfg, sdk.WithSyncer(exporter)), exporter
}

func TestSpanForEachHop(t *testing.T) {
	is := is.New(t)
	tracer, exporter := newRecordingTracer(Config{SampleShare: 0})
	traceParent := parent
	for _, hop := range []Hop{Caller, Entry, Home, Endpoint} {
		span := tracer.Start(hop, traceParent, now)
		span.SetAttribute("submission_id", "s")
		traceParent = span.TraceParent()
		span.End(now.Add(time.Second))
	}
	spans := exporter.GetSpans()
	is.Equal(len(spans), 4) // the caller's sampled flag overrides SampleShare
	for i, s := range spans {
		is.Equal(s.SpanContext.TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
		if i > 0 {
			is.Equal(s.Parent.SpanID(), spans[i-1].SpanContext.SpanID())
		}
	}
}

func TestSpansPerJobAreBounded(t *testing.T) {
	is := is.New(t)
	tracer, exporter := newRecordingTracer(Config{SampleShare: 1, SpansPerJob: 3})
	job := tracer.Start(Home, "", now)
	budget := tracer.Budget()
	for range 10 {
		span := tracer.StartTask(budget, job.TraceParent(), now)
		is.Equal(span.TraceParent()[:35], job.TraceParent()[:35]) // all spans are in the trace of the job
		span.End(now)
	}
	is.Equal(len(exporter.GetSpans()), 3)
}

func TestUnsampledJobHasNoSpans(t *testing.T) {
	is := is.New(t)
	tracer, exporter := newRecordingTracer(Config{SampleShare: 0})
	job := tracer.Start(Caller, "", now)
	is.True(strings.HasSuffix(job.TraceParent(), "-00"))
	tracer.StartTask(tracer.Budget(), job.TraceParent(), now).End(now)
	job.End(now)
	is.Equal(len(exporter.GetSpans()), 0)
}

func TestMalformedParentStartsNewTrace(t *testing.T) {
	is := is.New(t)
	tracer, exporter := newRecordingTracer(Config{SampleShare: 1})
	for _, bad := range []string{"x", "00-zz", strings.Repeat("0", 55), strings.Repeat("-", 4000)} {
		tracer.Start(Caller, bad, now).End(now)
		tracer.StartTask(tracer.Budget(), bad, now).End(now)
	}
	is.True(len(exporter.GetSpans()) >= 4)
}

// TestOffAllocatesNothing checks that a tracer that is off passes the trace
// context on and does not allocate.
func TestOffAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tracer, err := New(t.Context(), Config{})
	is.NoErr(err)
	is.Equal(testing.AllocsPerRun(100, func() {
		span := tracer.Start(Caller, parent, now)
		span.SetAttribute("a", "b")
		if span.TraceParent() != parent {
			t.Fatal("trace context is not passed on")
		}
		span.End(now)
	}), 0.0)
	is.NoErr(tracer.Close(t.Context()))
}

func TestExportOverOTLP(t *testing.T) {
	is := is.New(t)
	paths := make(chan string, 10)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
	}))
	defer collector.Close()
	tracer, err := New(t.Context(), Config{Endpoint: collector.URL, SampleShare: 1})
	is.NoErr(err)
	tracer.Start(Caller, "", now).End(now)
	is.NoErr(tracer.Close(t.Context())) // exports the queued span
	is.Equal(len(paths), 1)
	is.Equal(<-paths, "/v1/traces")
}
