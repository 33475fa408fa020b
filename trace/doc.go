// Package trace creates a span for each hop of a request: caller, entry, home
// and endpoint. The trace context travels in the W3C header traceparent over
// HTTP and in a field of the job between instances. When tracing is off, the
// package creates no spans and passes the context on unchanged.
package trace
