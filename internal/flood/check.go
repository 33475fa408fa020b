package flood

import (
	"flag"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

const (
	// retries is how often an ordinary caller sends its job again, as callers do after a
	// refusal and after a connection that breaks, and retryInterval the time between.
	retries       = 10
	retryInterval = time.Second
)

// Limits are the limits of a process, and the number of connections that a test holds.
type Limits struct{ Connections, MemoryMB, Descriptors int }

// LimitFlags registers flags for the limits and returns their values.
func LimitFlags(memoryMB int) *Limits {
	var l Limits
	flag.IntVar(&l.Connections, "flood-connections", 450, "number of misbehaving connections that are held at the same time")
	flag.IntVar(&l.MemoryMB, "flood-memory", memoryMB, "limit of the instance's memory in MiB")
	flag.IntVar(&l.Descriptors, "flood-descriptors", 512, "limit of the instance's descriptors")
	return &l
}

// ManyConnections returns a number of connections for which the descriptors don't suffice.
func (l *Limits) ManyConnections() int { return l.Descriptors * 5 / 4 }

// Check checks that the process lives within its limits and that an ordinary job is
// answered, while the connections to the address are held. A part of the descriptors has
// to be free for the platform, other instances and endpoints. The function submit returns
// the status of the reply to an ordinary job.
func (p *Process) Check(t testing.TB, l *Limits, flooded netip.AddrPort, submit func() (status int)) {
	t.Helper()
	settle(flooded)
	isAnswered := answers(t, submit)
	peak, open := p.PeakBytes(), p.Descriptors()
	t.Logf("peak %d MiB of %d, %d descriptors of %d", peak>>20, l.MemoryMB, open, l.Descriptors)
	switch {
	case !p.Alive():
		t.Errorf("the process ended: %s", p.Log())
	case peak > int64(l.MemoryMB)<<20:
		t.Errorf("the process took %d MiB of %d", peak>>20, l.MemoryMB)
	case open > l.Descriptors*7/8:
		t.Errorf("%d of %d descriptors are taken", open, l.Descriptors)
	}
	if !isAnswered {
		t.Error("an ordinary job was not answered")
	}
}

// answers reports whether an ordinary job is answered in the end.
func answers(t testing.TB, submit func() int) bool {
	t.Helper()
	for range retries {
		status := submit()
		if status == http.StatusOK {
			return true
		}
		t.Logf("the ordinary job: status %d", status)
		time.Sleep(retryInterval)
	}
	return false
}
