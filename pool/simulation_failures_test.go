package pool

import (
	"time"
)

// kill ends an instance's process. With powerLoss, its peers notice only after
// testPeerTimeout.
func (sim *simulation) kill(i int, powerLoss bool) {
	n := sim.instances[i]
	n.alive = false
	for _, call := range sim.openCalls() {
		t := sim.calls[call]
		if t.machine == n.machine {
			delete(sim.calls, call)
			sim.retry(t.job, t.instance)
		}
	}
	for _, o := range sim.instances {
		if !n.connected[o.index] {
			continue
		}
		delay := time.Duration(0)
		if powerLoss {
			delay = testPeerTimeout
		}
		ref := n.self.Ref
		delete(o.connected, n.index)
		sim.after(delay, func() { sim.input(o, func(m *Machine, out *Output) { m.PeerLost(sim.now, ref, out) }) })
	}
}

// suspend stops an instance for the given time.
func (sim *simulation) suspend(i int, d time.Duration) {
	n := sim.instances[i]
	if !n.alive || n.suspended {
		return
	}
	n.suspended = true
	machine := n.machine
	for _, o := range sim.instances {
		if n.connected[o.index] {
			sim.after(testPeerTimeout, func() {
				if n.suspended && n.machine == machine {
					sim.disconnect(n, o)
				}
			})
		}
	}
	sim.after(d, func() {
		if n.machine != machine || !n.alive {
			return
		}
		n.suspended = false
		inbox := n.inbox
		n.inbox = nil
		n.wake = time.Time{}
		sim.input(n, func(m *Machine, out *Output) { m.Tick(sim.now, out) })
		for _, deliver := range inbox {
			deliver()
		}
		for _, o := range sim.instances {
			sim.after(testReconnectDelay, func() { sim.connect(n, o) })
		}
	})
}

// partitionInstances cuts the network between two instances for the given
// time.
func (sim *simulation) partitionInstances(a, b int, d time.Duration) {
	k := [2]int{min(a, b), max(a, b)}
	sim.partitions[k]++
	sim.after(testPeerTimeout, func() { sim.disconnect(sim.instances[a], sim.instances[b]) })
	sim.after(d, func() {
		sim.partitions[k]--
		sim.after(testReconnectDelay, func() { sim.connect(sim.instances[a], sim.instances[b]) })
	})
}

// partitionEndpoint cuts the network between an instance and an endpoint for the
// given time.
func (sim *simulation) partitionEndpoint(n, e int, d time.Duration) {
	k := [2]int{n, e}
	sim.unreachable[k] = true
	sim.after(d, func() { delete(sim.unreachable, k) })
}

// isolate cuts an instance off from all others for the given time.
func (sim *simulation) isolate(i int, d time.Duration) {
	for o := range sim.instances {
		if o != i {
			sim.partitionInstances(i, o, d)
		}
	}
}

// isolateEndpoint cuts an endpoint off from all instances for the given time.
func (sim *simulation) isolateEndpoint(e int, d time.Duration) {
	for n := range sim.instances {
		sim.partitionEndpoint(n, e, d)
	}
}

// resetStreams resets the streams of a random instance.
func (sim *simulation) resetStreams() {
	a := sim.instances[sim.rng.IntN(len(sim.instances))]
	for _, b := range sim.instances {
		if a != b {
			sim.disconnect(a, b)
			sim.after(randomTime(sim.rng, 400*time.Millisecond), func() { sim.connect(a, b) })
		}
	}
}
