package pool

import (
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// remoteWay is the assumed time of the way to another data centre and back.
	remoteWay = 10 * time.Millisecond
	// goldenRatio spreads consecutive choices evenly.
	goldenRatio = 0.6180339887498949
)

// routeChoice chooses the peers at which tasks are placed in an installation
// whose data centres have views.
type routeChoice struct {
	// position is the last choice's position between zero and one.
	position float64
}

// choosePeer returns the peer that should run a task, and reduces its known free
// slots by one: first the data centre in which the task is expected to end first,
// then one of the peers with a free slot there, each in proportion to its free
// slots, so that instances with the same knowledge choose different ones.
func (m *Machine) choosePeer(service string, needs task.Needs) *peer {
	best, bestDelay := "", time.Duration(math.MaxInt64)
	free := map[string]int{}
	for _, p := range m.sortedPeers {
		c := p.freeCapacity(service, needs)
		if c == nil {
			continue
		}
		dc := p.info.DataCentre
		free[dc] += c.Free
		if free[dc] > c.Free {
			continue // seen
		}
		if delay := m.expectedDelay(dc, service); delay < bestDelay {
			best, bestDelay = dc, delay
		}
	}
	if free[best] == 0 {
		return nil
	}
	_, m.routes.position = math.Modf(m.routes.position + goldenRatio)
	skip := int(m.routes.position * float64(free[best]))
	for _, p := range m.sortedPeers {
		c := p.freeCapacity(service, needs)
		if c == nil || p.info.DataCentre != best {
			continue
		}
		if skip < c.Free {
			c.Free--
			return p
		}
		skip -= c.Free
	}
	return nil
}

// freeCapacity returns the capacity of the peer for a service if it has a free
// slot that is large enough, or nil.
func (p *peer) freeCapacity(service string, needs task.Needs) *message.Capacity {
	c := p.capacity(service)
	if c == nil || c.Free <= 0 || p.closed || p.status.Draining || !fitsWithin(needs, c.Largest) {
		return nil
	}
	return c
}

// expectedDelay returns the time until a task is expected to start in a data
// centre: the way there, and the wait if more tasks wait there than slots are
// free.
func (m *Machine) expectedDelay(dc, service string) time.Duration {
	delay := time.Duration(0)
	if dc != m.cfg.Self.DataCentre {
		delay = remoteWay
	}
	v, ok := m.latestView(m.lastTick, dc)
	if !ok {
		return delay
	}
	c := v.Capacity(service)
	tasks, work := 0, time.Duration(0)
	for _, w := range c.Backlog {
		tasks += w.Tasks
		work += w.Work
	}
	if tasks > c.Free {
		delay += work / time.Duration(max(c.Slots, 1))
	}
	return delay
}
