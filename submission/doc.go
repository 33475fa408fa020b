// Package submission manages submissions: it decides which instance is the home
// of a submission, whether its tasks may start, and how its callers are
// answered.
//
// Every submission has one home, the only instance incarnation that may start
// its tasks. The home decides each start from its own memory. An id issued by
// the system names its home. A caller-chosen id is claimed by inserting a row
// that names the home into the platform's store. docs/RECOVERY.md describes
// what each guarantee depends on.
//
// A [Manager] is a state machine without a clock, goroutines or I/O. Its driver
// calls one method for each input, with the current time, and then performs the
// actions that the method appended to the [Output].
package submission
