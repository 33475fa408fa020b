package serve

import (
	"time"

	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/submission"
	"github.com/lovagecrank/lovagecrank/trace"
)

// maxHomeSpans limits the number of open spans of jobs that peers forwarded. A
// job beyond the limit gets no home span.
const maxHomeSpans = 10_000

// startSpans starts the entry span of a job, and its home span if its home is
// this instance, and stores the trace context in the job. The returned function
// ends the spans.
func (c callers) startSpans(j *job.Job) (end func()) {
	if !c.tracer.Enabled() {
		return func() {}
	}
	now := time.Now()
	entrySpan := c.tracer.Start(trace.Entry, j.TraceParent, now)
	j.TraceParent = entrySpan.TraceParent()
	var homeSpan trace.Span
	id, f := submission.ParseID(j.SubmissionID)
	if f == nil && id.Home == c.self.Ref {
		homeSpan = c.tracer.Start(trace.Home, j.TraceParent, now)
		j.TraceParent = homeSpan.TraceParent()
	}
	return func() {
		now := time.Now()
		homeSpan.End(now)
		entrySpan.End(now)
	}
}

// startHomeSpan starts the home span if msg is a job that a peer forwards, and
// returns msg with the new trace context. The caller must hold d.mu.
func (d *driver) startHomeSpan(now time.Time, msg message.Message) message.Message {
	s, ok := msg.Body.(message.Submit)
	if !ok || !d.tracer.Enabled() || len(d.homeSpans) >= maxHomeSpans {
		return msg
	}
	span := d.tracer.Start(trace.Home, s.Job.TraceParent, now)
	s.Job.TraceParent = span.TraceParent()
	d.homeSpans[peerRequest{msg.From, s.Request}] = span
	msg.Body = s
	return msg
}

// endHomeSpan ends the home span of a job if msg is its result. The caller must
// hold d.mu.
func (d *driver) endHomeSpan(msg message.Message) {
	r, ok := msg.Body.(message.Result)
	if !ok || len(d.homeSpans) == 0 {
		return
	}
	key := peerRequest{msg.To, r.Request}
	if span, ok := d.homeSpans[key]; ok {
		span.End(time.Now())
		delete(d.homeSpans, key)
	}
}
