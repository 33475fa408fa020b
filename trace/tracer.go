package trace

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"github.com/lovagecrank/lovagecrank/instance"
)

// The hops of a request.
const (
	// Caller is a request of a caller, as its listener handles it.
	Caller Hop = iota
	// Entry is a job on the instance that received it from the caller.
	Entry
	// Home is a job on its home, the instance that starts its tasks.
	Home
	// Endpoint is a task on an endpoint.
	Endpoint
)

const (
	// instrumentationScope names this module in the spans.
	instrumentationScope = "github.com/lovagecrank/lovagecrank"
	traceparentHeader    = "traceparent"
	exportTimeout        = 5 * time.Second
	defaultSpansPerJob   = 16
	closeTimeout         = 5 * time.Second
	maxQueuedSpans       = 4096
	maxAttributeLength   = 256
)

type (
	// Hop is a step on the path of a request.
	Hop uint8

	// Config configures a tracer.
	Config struct {
		// Endpoint is the URL of an OTLP collector over HTTP; empty means
		// that tracing is off.
		Endpoint string
		// SampleShare is the fraction, from 0 to 1, of the traces started on
		// this instance that are sampled. If the caller sent a trace context,
		// its sampling decision applies instead.
		SampleShare float64
		// SpansPerJob is the number of tasks of one job that may get spans;
		// zero means the default.
		SpansPerJob int
		// Self is the instance that creates the spans.
		Self instance.Ref
	}

	// Tracer creates spans. The zero value is a tracer that is off.
	Tracer struct {
		provider    *sdk.TracerProvider
		tracer      api.Tracer
		spansPerJob int
	}

	// Span is the span of one hop. The zero value records nothing.
	Span struct {
		span   api.Span
		parent string
	}

	// Budget limits the number of spans for the tasks of one job. The zero value
	// allows none.
	Budget struct {
		remaining atomic.Int32
	}
)

var (
	propagator = propagation.TraceContext{}
	hopNames   = [...]string{Caller: "caller", Entry: "entry", Home: "home", Endpoint: "endpoint"}
	spanKinds  = [...]api.SpanKind{Caller: api.SpanKindServer, Entry: api.SpanKindInternal, Home: api.SpanKindConsumer, Endpoint: api.SpanKindClient}
)

// String returns the name of the hop.
func (h Hop) String() string { return hopNames[h] }

// New returns a tracer that exports its spans to the collector at cfg.Endpoint.
// The caller must close it.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	if cfg.Endpoint == "" {
		return &Tracer{}, nil
	}
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(collectorURL(cfg.Endpoint)),
		otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, fmt.Errorf("trace collector %s cannot be used; correct trace.endpoint: %w", cfg.Endpoint, err)
	}
	return newTracer(cfg, sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans))), nil
}

// collectorURL adds the default path of OTLP to a URL that has no path.
func collectorURL(endpoint string) string {
	u, err := url.Parse(endpoint)
	if err != nil || strings.Trim(u.Path, "/") != "" {
		return endpoint
	}
	u.Path = "/v1/traces"
	return u.String()
}

// newTracer returns a tracer that passes its spans to the processor.
func newTracer(cfg Config, processor sdk.TracerProviderOption) *Tracer {
	limits := sdk.NewSpanLimits()
	limits.AttributeValueLengthLimit = maxAttributeLength
	provider := sdk.NewTracerProvider(
		processor,
		sdk.WithRawSpanLimits(limits),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(cfg.SampleShare))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "lovagecrank"),
			attribute.String("service.instance.id", cfg.Self.ID),
			attribute.String("lovagecrank.data_centre", cfg.Self.DataCentre),
		)),
	)
	spansPerJob := cfg.SpansPerJob
	if spansPerJob == 0 {
		spansPerJob = defaultSpansPerJob
	}
	return &Tracer{provider: provider, tracer: provider.Tracer(instrumentationScope), spansPerJob: spansPerJob}
}

// Close exports the queued spans and shuts down the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if !t.Enabled() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	return t.provider.Shutdown(ctx)
}

// Enabled reports whether the tracer creates spans.
func (t *Tracer) Enabled() bool { return t != nil && t.tracer != nil }

// Start starts a span whose parent is the trace context parent, a value of the
// header traceparent. If parent is empty or malformed, the span starts a new
// trace. The caller must end the span.
func (t *Tracer) Start(h Hop, parent string, now time.Time) Span {
	if !t.Enabled() {
		return Span{parent: parent}
	}
	ctx := context.Background()
	if parent != "" {
		ctx = propagator.Extract(ctx, propagation.MapCarrier{traceparentHeader: parent})
	}
	ctx, span := t.tracer.Start(ctx, hopNames[h], api.WithSpanKind(spanKinds[h]), api.WithTimestamp(now))
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return Span{span: span, parent: carrier[traceparentHeader]}
}

// StartTask starts a span for one task if the job is sampled and its budget is
// not used up. Otherwise it returns a span that records nothing and passes on the
// context of the job.
func (t *Tracer) StartTask(b *Budget, parent string, now time.Time) Span {
	if !t.Enabled() || !isSampled(parent) || b.remaining.Add(-1) < 0 {
		return Span{parent: parent}
	}
	return t.Start(Endpoint, parent, now)
}

// Budget returns the budget of a new job.
func (t *Tracer) Budget() *Budget {
	b := new(Budget)
	if t.Enabled() {
		b.remaining.Store(int32(t.spansPerJob))
	}
	return b
}

// isSampled reports whether the flags at the end of a traceparent mark it as
// sampled.
func isSampled(parent string) bool {
	const length = len("00-") + 32 + len("-") + 16 + len("-00")
	return len(parent) >= length && (parent[length-1]-'0')&1 == 1
}

// TraceParent returns the trace context to pass on, as a value of the header
// traceparent. It is empty if there is none.
func (s Span) TraceParent() string { return s.parent }

// SetAttribute sets an attribute of the span. The key gets the prefix
// "lovagecrank.".
func (s Span) SetAttribute(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String("lovagecrank."+key, value))
	}
}

// Fail marks the span as failed.
func (s Span) Fail(reason string) {
	if s.span != nil {
		s.span.SetStatus(codes.Error, reason)
	}
}

// End ends the span.
func (s Span) End(now time.Time) {
	if s.span != nil {
		s.span.End(api.WithTimestamp(now))
	}
}
