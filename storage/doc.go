// Package storage defines the platform's transactional table as the state
// machines of an instance use it: rows, conditional writes, calls and replies.
// It also batches rows into calls and has a circuit breaker. It does no I/O:
// the state machines produce calls, and package store executes them.
package storage
