package storage

import "time"

// The outcomes of a call to the store.
const (
	// Done means that the store answered the call.
	Done Outcome = iota
	// NotApplied means that the call provably had no effect.
	NotApplied
	// Unknown means that it is unknown whether the call took effect.
	Unknown
)

type (
	// Outcome is what is known about the effect of a call.
	Outcome uint8

	// Row is one row of the table.
	Row struct {
		Key   string
		Value []byte
		// Version increases with each write of the row; zero means that the
		// row does not exist.
		Version uint64
	}

	// Condition must hold for a write to be applied.
	Condition struct {
		Key string
		// Version is the required current version of the row; zero means that
		// the row must not exist.
		Version uint64
	}

	// Write sets one row if the row's condition holds.
	Write struct {
		Condition
		Value []byte
		// Lifetime is the time after which the store may drop the row; zero
		// means never.
		Lifetime time.Duration
	}

	// Call is one call to the table. Exactly one of Get and Insert is set.
	Call struct {
		// Number is chosen by the caller and repeated in the reply.
		Number uint64
		// Get holds the keys of the rows to read.
		Get []string
		// Insert holds the writes of one transaction. Each write is applied if
		// its condition holds; a write whose condition fails changes nothing
		// and does not affect the others. The reply holds the rows as they are
		// after the transaction.
		Insert []Write
	}

	// Reply is the reply to a call.
	Reply struct {
		// Number is the number of the call.
		Number  uint64
		Outcome Outcome
		// Rows are the call's rows, in the order of Get or Insert, as they are
		// after the call. A row that does not exist has version zero.
		Rows []Row
		// Applied reports for each write of Insert whether its condition held.
		Applied []bool
	}
)
