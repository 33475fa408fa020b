package pool

import (
	"container/heap"
	"time"
)

type (
	eventItem struct {
		at       time.Time
		sequence int
		do       func()
	}

	eventHeap []eventItem
)

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(eventItem)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, eventItem{sim.now.Add(d), sim.sequence, do})
}

// advance runs all events of the next d.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(eventItem)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}
