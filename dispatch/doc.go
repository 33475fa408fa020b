// Package dispatch decides which waiting task starts next, and on which
// endpoint.
//
// A Scheduler queues the tasks of one instance. It orders waiting tasks by the
// rank of their class, then by fair shares of the teams, then by slack.
// It shares the endpoints of its data centre with the other instances there:
// each endpoint has one holder, which lends slots to the instance with the most
// urgent task. docs/POLICY.md compares the alternatives.
//
// The package uses no clock, goroutines or I/O. A driver calls one method for
// each input with the current time and executes what the method appended to the
// [Output]; the same inputs always give the same output. To simulate many
// instances on a virtual clock, create one Scheduler for each, deliver each of
// Output.Messages to its addressee with Receive, run Output.Starts on fake
// endpoints, report each completion with Finished, and call Tick at Output.Wake.
package dispatch
