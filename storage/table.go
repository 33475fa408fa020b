package storage

import "time"

// The fates of a call to the store.
const (
	// Done means that the reply is the store's own.
	Done Fate = iota
	// NotApplied means proof that the call had no effect.
	NotApplied
	// Doubtful means that the call may have taken effect.
	Doubtful
)

type (
	// Fate tells what is known of a call's effect.
	Fate uint8

	// Row is one row of the table.
	Row struct {
		Key   string
		Value []byte
		// Version rises with each write of the row; zero means no row.
		Version uint64
	}

	// Condition must hold for a write to be applied.
	Condition struct {
		Key string
		// Version is the version that the row must have; zero means that the
		// row must not exist.
		Version uint64
	}

	// Write sets one row, under a condition on that row.
	Write struct {
		Condition
		Value []byte
		// Lifetime is when the row may be dropped; zero means never.
		Lifetime time.Duration
	}

	// Call is one call to the table, by exactly one of its parts.
	Call struct {
		// Number is the caller's own, for the reply.
		Number uint64
		// Get reads rows by key.
		Get []string
		// Insert applies each write whose condition holds, all in one
		// transaction, and returns the rows as they are afterwards. A write
		// whose condition fails changes nothing and does not stop the others.
		Insert []Write
	}

	// Reply answers a call.
	Reply struct {
		Number uint64
		Fate   Fate
		// Rows are in the order of the call's parts, as they are after it. A
		// row that does not exist has version zero.
		Rows []Row
		// Applied tells for each write of Insert whether its condition held.
		Applied []bool
	}
)
