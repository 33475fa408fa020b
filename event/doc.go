// Package event defines the numbered log events. Each kind of event is a row
// of one table, from which docs/EVENTS.md and the output of the explain command
// are generated.
package event
