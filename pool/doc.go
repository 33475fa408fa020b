// Package pool schedules jobs on leased endpoints that the instances of an
// installation share.
//
// Each instance has two roles. It is the home of the jobs that callers submit
// to it: only the home decides when a task may start, and it answers each job
// once, as complete or failed. It is also the holder of some endpoints: only
// the holder starts and stops runs there, renews the endpoint's lease and
// reports how runs end. A home places tasks on its own endpoints first, then on
// those of peers that reported free slots. A holder with a free slot offers it
// to the peer with the most urgent waiting task if that task is more urgent
// than its own.
//
// A request needs neither the store nor consensus. An endpoint uses fencing
// tokens to decide between two holders. A run whose home or holder is gone is
// stopped or ends with the lease. A task starts again only after proof that its
// last run has ended or never began. See docs/PLATFORM.md for the handling of
// crashes, suspended processes and network partitions.
//
// A [Machine] has no clock, goroutines or I/O. The driver calls one method per
// input with the current time and performs the actions that the method appends
// to the [Output]. The same inputs produce the same output.
package pool
