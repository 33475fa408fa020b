package assignment

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// held returns how many of the endpoints each of the instances holds, by their sizes.
func held(sizes []float64, endpoints int) []int {
	mean := 0.0
	for _, s := range sizes {
		mean += s / float64(len(sizes))
	}
	counts := make([]int, len(sizes))
	for e := range endpoints {
		best, bestScore := 0, 0.0
		for i, s := range sizes {
			if score := Score(fmt.Sprintf("e%d", e), fmt.Sprintf("n%d", i), Weight(s, mean)); i == 0 || score < bestScore {
				best, bestScore = i, score
			}
		}
		counts[best]++
	}
	return counts
}

// Guards against small instances that are busy while large ones are not: with equal
// jobs, no instance may be much busier than all together. Each instance, however
// small, holds some endpoints.
func TestLoadFollowsSize(t *testing.T) {
	const endpoints = 4000
	tests := []struct {
		name  string
		sizes []float64
		// maxRatio bounds the load of an instance, relative to its size and to the
		// load of all.
		maxRatio float64
	}{
		{"equal sizes", []float64{0.4, 0.4, 0.4, 0.4}, 1.1},
		{"one instance", []float64{0.4}, 1.01},
		{"half of the size", []float64{0.8, 0.8, 0.4, 0.4, 0.4}, 1.1},
		{"a third", []float64{0.6, 0.6, 0.2, 0.2, 0.2, 0.2, 0.2}, 1.1},
		{"a quarter", []float64{0.8, 0.8, 0.192, 0.192, 0.192, 0.192, 0.192}, 1.1},
		{"too small for its jobs", []float64{0.8, 0.8, 0.8, 0.8, 0.1}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			total := 0.0
			for _, s := range tt.sizes {
				total += s
			}
			for i, n := range held(tt.sizes, endpoints) {
				load := homeShare/float64(len(tt.sizes)) + (1-homeShare)*float64(n)/endpoints
				is.True(n > 0)
				is.True(load/(tt.sizes[i]/total) <= tt.maxRatio)
			}
		})
	}
}

// The loss of an instance moves no endpoint between instances of equal size.
func TestLossMovesFewEndpoints(t *testing.T) {
	is := is.New(t)
	before, after := held([]float64{0.4, 0.4, 0.4}, 3000), held([]float64{0.4, 0.4}, 3000)
	for i := range after {
		is.True(after[i] >= before[i])
	}
}
