package assignment

import (
	"math"

	"github.com/lovagecrank/lovagecrank/admission"
)

const (
	// homeShare is the part of the processor time of a job that is spent by the
	// instance which accepts it. The holders of the endpoints spend the rest.
	homeShare = 0.5
	// minShare is the least part of an instance's processor that counts as left, so
	// that small instances hold endpoints too.
	minShare = 0.05
)

// Weight returns the weight with which an instance holds endpoints: the processor
// that is left beside its jobs while all instances together are busy. size is the
// number of its cores, and mean that of the instances among which the jobs are spread.
func Weight(size, mean float64) float64 {
	return max(size-homeShare*mean, minShare*size)
}

// Score returns the score of an instance for an endpoint, by their IDs. Among several
// instances the lowest score wins, so that each holds endpoints in proportion to its
// weight, and a change of one instance moves few endpoints between the others.
func Score(endpoint, instance string, weight float64) float64 {
	return -math.Log(admission.HashFraction(endpoint+"\x00"+instance)) / weight
}
