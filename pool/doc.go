// Package pool decides how jobs run on leased endpoints that the instances of
// an installation share.
//
// Each instance has two parts in it. It is the home of the jobs that callers
// hand in here: only the home's memory decides when a task may start, and it
// answers a job once, whole or failed. And it is the holder of some endpoints:
// only the holder orders runs there, renews the endpoint's lease and passes on
// how runs end. A home places tasks on its own endpoints first, then on those
// of peers that have told of free places; a holder that frees a place offers it
// to whoever waits with the more urgent task.
//
// No store and no agreement is on a request's path. The endpoint itself judges
// between two holders by their fencing tokens, a run whose home or holder is
// gone ends with a stop or with the lease, and a task starts again only after
// proof that its last run has ended or never began. docs/PLATFORM.md tells what
// happens when a party dies, freezes or is cut off.
//
// A [Machine] has no clock, goroutine or I/O. A driver calls one method for
// each input with the present time and carries out what the method appended to
// the [Output]; the same inputs give the same output.
package pool
