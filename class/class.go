package class

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Class is a class of work with a response time target. These are the only
	// fields that operators set.
	Class struct {
		Name string
		// Target is the target response time, from acceptance to the complete
		// answer.
		Target time.Duration
		// DurableAnswers reports whether answers are stored before they are
		// returned to the caller.
		DurableAnswers bool
	}

	// Rank is the urgency of a class; 0 is the most urgent.
	Rank int
)

// Ranks returns the rank of each class, in the order of classes. A class with a
// shorter target is more urgent; classes with equal targets share a rank.
func Ranks(classes []Class) []Rank {
	targets := make([]time.Duration, 0, len(classes))
	for _, c := range classes {
		targets = append(targets, c.Target)
	}
	slices.SortFunc(targets, cmp.Compare[time.Duration])
	targets = slices.Compact(targets)
	ranks := make([]Rank, len(classes))
	for i, c := range classes {
		at, _ := slices.BinarySearch(targets, c.Target)
		ranks[i] = Rank(at)
	}
	return ranks
}
