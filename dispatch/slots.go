package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// maxSizeGroups is the number of size groups, one for each bit of a mask.
	// Endpoints of further sizes join the group of the smallest size.
	maxSizeGroups = 64
	// allGroupsMask has the bits of all groups.
	allGroupsMask = math.MaxUint64
	// minBackoff and maxBackoff bound the pause of an endpoint after it
	// refused a task; the pause doubles with each consecutive refusal.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

type (
	// endpointState is the state of one endpoint and its slots as this instance
	// knows it.
	endpointState struct {
		info  endpoint.Info
		group *sizeGroup
		// holder is the peer that holds the endpoint, or nil if this instance
		// holds it.
		holder *peer
		// running is the number of this instance's tasks on the endpoint.
		running int
		// unleased is the number of running tasks whose lease has ended.
		unleased int
		// usable and speed are the values of Health at the last refresh.
		usable int
		speed  float64
		// loans are the slots lent to peers if this instance is the holder;
		// lent is their sum.
		loans []loan
		lent  int
		// borrowed is the number of slots lent by the holder, and
		// unusedBorrowed how many of them have not started a task yet.
		// leaseEpoch is the epoch of the latest lease.
		borrowed, unusedBorrowed int
		leaseEpoch               uint64
		// token is the fencing token of this instance's starts. It increases only
		// when the lease expires or is revoked or the holder changes, not with
		// each lease: leases held at the same time may have any epochs, and
		// starts under them may arrive out of order.
		token uint64
		// idleSince is when slots were last borrowed or a task last ended.
		idleSince time.Time
		// refusals is the number of consecutive refusals, and pausedUntil the
		// end of the last pause.
		refusals    int
		pausedUntil time.Time
		// failedFast is set if the last task failed quickly. Such an endpoint
		// looks idle and would attract work, so it gets one task at a time.
		failedFast bool
		// free is the number of slots that can start a task now.
		free int
		// heapIndex is the index in the group's heap.
		heapIndex int
		// listed is set if the latest list contains the endpoint.
		listed bool
	}

	// loan is the slots of one endpoint that are lent to one peer. leaseEpoch is
	// the epoch of the latest lease, and lentAt the time when slots were last
	// added.
	loan struct {
		borrower   *peer
		slots      int
		leaseEpoch uint64
		lentAt     time.Time
	}

	// sizeGroup holds the endpoints of one size that have free slots.
	sizeGroup struct {
		size task.Needs
		bit  uint64
		// own contains endpoints held by this instance, borrowed those of
		// other holders.
		own, borrowed heap[*endpointState]
		endpoints     int
	}
)

// before prefers the faster endpoint, then the one with more free slots. Speeds
// are rounded so that noise does not matter.
func (e *endpointState) before(o *endpointState) bool {
	if a, b := speedStep(e.speed), speedStep(o.speed); a != b {
		return a > b
	}
	if e.free != o.free {
		return e.free > o.free
	}
	return e.info.ID < o.info.ID
}

func (e *endpointState) position() *int { return &e.heapIndex }

// speedStep returns the speed in eighths, rounded. Speeds above normal count as
// normal.
func speedStep(speed float64) int { return int(min(speed, 1)*8 + 0.5) }

// update recomputes the free slots and the endpoint's position in the heap of
// its group.
func (s *Scheduler) update(now time.Time, e *endpointState) {
	e.free = e.available(now)
	h := e.heap()
	switch {
	case e.free > 0 && e.heapIndex == notInHeap:
		h.push(e)
	case e.free > 0:
		h.fix(e.heapIndex)
	case e.heapIndex != notInHeap:
		h.remove(e.heapIndex)
	}
}

// heap returns the heap that contains the endpoint while it has free slots.
func (e *endpointState) heap() *heap[*endpointState] {
	if e.holder != nil {
		return &e.group.borrowed
	}
	return &e.group.own
}

// available returns the number of slots that can start a task now.
func (e *endpointState) available(now time.Time) int {
	if !e.listed || e.info.Draining || now.Before(e.pausedUntil) {
		return 0
	}
	usable := min(e.usable, e.info.Slots)
	if e.failedFast {
		usable = min(usable, 1)
	}
	if e.holder != nil {
		return max(0, min(e.borrowed-(e.running-e.unleased), usable-e.running))
	}
	return max(0, usable-e.running-e.lent)
}

// refresh reads the endpoint's health and updates the capacity.
func (s *Scheduler) refresh(now time.Time, e *endpointState) {
	before := s.usableSlots(e)
	e.usable = s.settings.Health.Usable(now, e.info.ID)
	e.speed = s.settings.Health.Speed(e.info.ID)
	s.capacity += s.usableSlots(e) - before
	s.update(now, e)
}

func (s *Scheduler) usableSlots(e *endpointState) int {
	if !e.listed || e.info.Draining {
		return 0
	}
	return max(0, min(e.usable, e.info.Slots))
}

// backOff pauses an endpoint that refused a task.
func (s *Scheduler) backOff(now time.Time, e *endpointState) {
	delay := min(maxBackoff, minBackoff<<min(e.refusals, 10))
	e.refusals++
	s.pause(now, e, delay)
}

func (s *Scheduler) pause(now time.Time, e *endpointState, d time.Duration) {
	e.pausedUntil = now.Add(d)
	if !slices.Contains(s.paused, e) {
		s.paused = append(s.paused, e)
	}
}

// endPauses makes the slots of endpoints available again whose pause is over.
func (s *Scheduler) endPauses(now time.Time, out *Output) {
	s.paused = slices.DeleteFunc(s.paused, func(e *endpointState) bool {
		if now.Before(e.pausedUntil) {
			out.wakeAt(e.pausedUntil)
			return false
		}
		s.update(now, e)
		return true
	})
}

// freeGroupMasks returns the masks of the groups with free slots: on endpoints
// that this instance holds, and on those of other holders.
func (s *Scheduler) freeGroupMasks() (own, borrowed uint64) {
	for _, g := range s.groups {
		if !g.own.empty() {
			own |= g.bit
		}
		if !g.borrowed.empty() {
			borrowed |= g.bit
		}
	}
	return own, borrowed
}

// pickEndpoint returns the endpoint for the next task that fits the groups of
// the mask, or nil if none has a free slot. It prefers borrowed slots, so that
// own ones can still be lent.
func (s *Scheduler) pickEndpoint(mask uint64) *endpointState {
	for _, g := range s.groups {
		if g.bit&mask != 0 && !g.borrowed.empty() {
			return g.borrowed.top()
		}
	}
	return s.pickOwnEndpoint(mask)
}

// pickOwnEndpoint is like pickEndpoint, but only considers endpoints that this
// instance holds.
func (s *Scheduler) pickOwnEndpoint(mask uint64) *endpointState {
	for _, g := range s.groups {
		if g.bit&mask != 0 && !g.own.empty() {
			return g.own.top()
		}
	}
	return nil
}

// fittingGroups returns the mask of the groups whose endpoints can run a task
// with these needs.
func (s *Scheduler) fittingGroups(n task.Needs) uint64 {
	var mask uint64
	for _, g := range s.groups {
		if g.endpoints > 0 && fits(n, g.size) {
			mask |= g.bit
		}
	}
	return mask
}

func fits(n, size task.Needs) bool {
	return n.Cores <= size.Cores && n.MemoryBytes <= size.MemoryBytes && n.Accelerators <= size.Accelerators
}

// groupOf returns the group of the size and adds it if there is none. Groups
// are sorted by size, so that a task gets the smallest endpoint that it fits.
func (s *Scheduler) groupOf(size task.Needs) *sizeGroup {
	for _, g := range s.groups {
		if g.size == size {
			return g
		}
	}
	if len(s.groups) == maxSizeGroups {
		return s.groups[0]
	}
	g := &sizeGroup{size: size, bit: 1 << len(s.groups)}
	s.groups = append(s.groups, g)
	slices.SortStableFunc(s.groups, func(a, b *sizeGroup) int { return compareSizes(a.size, b.size) })
	return g
}

func compareSizes(a, b task.Needs) int {
	return cmp.Or(
		cmp.Compare(a.Accelerators, b.Accelerators),
		cmp.Compare(a.Cores, b.Cores),
		cmp.Compare(a.MemoryBytes, b.MemoryBytes),
	)
}
