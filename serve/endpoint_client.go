package serve

import (
	"context"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/metric"
	"github.com/lovagecrank/lovagecrank/trace"
	"github.com/lovagecrank/lovagecrank/worker"
)

const (
	// maxOutcomeQueries is the maximum number of queries to an endpoint for the
	// outcome of a start whose reply was lost. minOutcomeBackoff is the wait
	// before the first query; it doubles before each further one.
	maxOutcomeQueries = 4
	minOutcomeBackoff = 100 * time.Millisecond
	// endpointQueryTimeout limits one outcome query or stop request.
	endpointQueryTimeout = time.Second
)

// endpointClient implements Endpoints on a worker client.
type endpointClient struct {
	client *worker.Client
	home   instance.Ref
	tracer *trace.Tracer
	// maxSpansPerJob is the maximum number of tasks of one job that get trace
	// spans.
	maxSpansPerJob int
	metrics        *metric.Set
}

// Run sends a task once. If the reply is lost, it queries the endpoint for the
// outcome of the start and reports the task as lost only if the outcome stays
// unknown.
func (w endpointClient) Run(ctx context.Context, s entry.Start) entry.End {
	parent, started := s.Job.TraceParent, time.Now()
	var span trace.Span
	if w.tracer.Enabled() && s.Ref.Index < w.maxSpansPerJob {
		span = w.tracer.Start(trace.Endpoint, parent, started)
		span.SetAttribute("endpoint", s.Endpoint.ID)
		parent = span.TraceParent()
	}
	defer func() { span.End(time.Now()) }()
	r := w.client.Start(ctx, s.Endpoint, worker.Request{
		Ref:         s.Ref,
		Home:        w.home,
		Epoch:       s.FencingToken,
		Lease:       s.TaskTimeout,
		Task:        s.Job.Tasks[s.Ref.Index],
		TraceParent: parent,
	})
	if r.Outcome != endpoint.Answered {
		span.Fail(r.Reason)
	}
	if r.Outcome == endpoint.Lost {
		r = w.resolveLost(ctx, s, started, r)
	}
	w.metrics.Start(r.Outcome, time.Since(started))
	return entry.End{
		Ref:     s.Ref,
		Attempt: s.Attempt,
		Outcome: r.Outcome,
		Reason:  r.Reason,
		Answer:  r.Answer,
		Load:    r.Load,
		RunTime: r.Ran,
	}
}

// resolveLost queries the endpoint for the outcome of a start whose reply was
// lost. It returns the reply lost if no outcome is known after
// maxOutcomeQueries, or if ctx ends.
func (w endpointClient) resolveLost(ctx context.Context, s entry.Start, started time.Time, lost worker.Reply) worker.Reply {
	backoff := minOutcomeBackoff
	for range maxOutcomeQueries {
		if !sleep(ctx, backoff) {
			return lost
		}
		backoff *= 2
		switch f := w.queryOutcome(ctx, s, started); f.State {
		case worker.StartEnded:
			return f.Reply
		case worker.StartNotRun:
			return worker.Reply{Outcome: endpoint.Refused, Reason: "the endpoint never ran the task"}
		case worker.StartRunning, worker.StartUnknown:
		}
	}
	return lost
}

// queryOutcome queries the endpoint once. It adds the timeout to the start's age,
// which must not be too low when the query arrives.
func (w endpointClient) queryOutcome(ctx context.Context, s entry.Start, started time.Time) worker.StartStateReply {
	ctx, cancel := context.WithTimeout(ctx, endpointQueryTimeout)
	defer cancel()
	return w.client.QueryStart(ctx, s.Endpoint, worker.StartRef{Ref: s.Ref, Home: w.home, Epoch: s.FencingToken}, time.Since(started)+endpointQueryTimeout)
}

// Stop asks the endpoint to stop a task. It ignores errors: Run reports the
// task's end in any case, so a failed request only lets the task run to its
// end.
func (w endpointClient) Stop(ctx context.Context, s entry.Stop) {
	ctx, cancel := context.WithTimeout(ctx, endpointQueryTimeout)
	defer cancel()
	_ = w.client.Stop(ctx, s.Endpoint, worker.StartRef{Ref: s.Ref, Home: w.home})
}

// sleep waits for d, or until ctx ends, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
