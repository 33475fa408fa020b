package endpoint

import "slices"

// window is a sliding window over the last samples of a quantity. It holds them
// both in the order of their arrival and sorted, so that reading the median is
// cheap.
type window struct {
	ring   []float32
	sorted []float32
	next   int
}

func newWindow(size int) window {
	return window{ring: make([]float32, 0, size), sorted: make([]float32, 0, size)}
}

// add adds a sample and evicts the oldest one if the window is full.
func (w *window) add(v float32) {
	if len(w.ring) < cap(w.ring) {
		w.ring = append(w.ring, v)
		w.sorted = slices.Insert(w.sorted, w.search(v), v)
		return
	}
	old := w.ring[w.next]
	w.ring[w.next] = v
	w.next = (w.next + 1) % len(w.ring)
	w.replace(old, v)
}

func (w *window) replace(old, v float32) {
	from, to := w.search(old), w.search(v)
	if to > from {
		copy(w.sorted[from:], w.sorted[from+1:to])
		w.sorted[to-1] = v
		return
	}
	copy(w.sorted[to+1:], w.sorted[to:from])
	w.sorted[to] = v
}

// median returns the middle sample, or zero if the window is empty.
func (w *window) median() float64 {
	if len(w.sorted) == 0 {
		return 0
	}
	return float64(w.sorted[len(w.sorted)/2])
}

// quantile returns the sample at the share q of the sorted ones, or zero if the
// window is empty.
func (w *window) quantile(q float64) float64 {
	if len(w.sorted) == 0 {
		return 0
	}
	return float64(w.sorted[min(int(q*float64(len(w.sorted))), len(w.sorted)-1)])
}

// search returns the first index in sorted whose sample is not below v. It runs
// for every answer; the generic binary search costs twice as much.
func (w *window) search(v float32) int {
	low, high := 0, len(w.sorted)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if w.sorted[mid] < v {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

func (w *window) len() int { return len(w.ring) }

func (w *window) reset() {
	w.ring = w.ring[:0]
	w.sorted = w.sorted[:0]
	w.next = 0
}
