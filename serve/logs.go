package serve

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lovagecrank/lovagecrank/catalogue"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/metric"
)

// countEvents returns a function that counts each event in m and then calls
// record.
func countEvents(record func(event.Record), m *metric.Set) func(event.Record) {
	return func(r event.Record) {
		m.Event(r)
		record(r)
	}
}

// newEventLogger returns a function that writes events to the log.
func newEventLogger(logger log.Logger) func(event.Record) {
	return func(r event.Record) {
		e := r.Kind.Entry()
		var l log.Logger
		switch e.Severity {
		case catalogue.Info:
			l = level.Info(logger)
		case catalogue.Warning:
			l = level.Warn(logger)
		default:
			l = level.Error(logger)
		}
		// The instance must continue if a log line can't be written.
		_ = l.Log("code", e.Code, "event", e.Title, "subject", r.Subject, "detail", r.Detail)
	}
}
