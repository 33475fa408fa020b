package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// drainTime is drainMs of the sheets: how long after its report a draining worker may
	// get tasks.
	drainTime = 2 * time.Second
	// drainPeriod is how long a draining worker goes on serving.
	drainPeriod = 9 * time.Second
	// oddEntries is how many entries the other writer writes, each of oddEntrySize bytes. A
	// row may have 65,536.
	oddEntries   = 60
	oddEntrySize = 60000
)

// checkDraining notes a start on a worker that has been draining for too long. The caller
// holds o.mu and w.mu.
func (o *observer) checkDraining(w *worker, s startOrder) {
	if w.drainingSince.IsZero() || time.Since(w.drainingSince) <= drainTime {
		return
	}
	o.draining = append(o.draining, fmt.Sprintf("DRAIN: %s run %d starts on %s, %d ms after the store had accepted that it drains",
		s.Task, s.Run, w.id, time.Since(w.drainingSince).Milliseconds()))
}

// playLargeOddEntries lets another writer put entries into the workers' table whose bytes
// can't be read. A second later, one worker of 16 drains.
func playLargeOddEntries(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(16, 32000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	size := oddEntrySize
	if !trouble {
		size = 100 // as odd, but small
	}
	values := make([][]byte, oddEntries)
	for i := range values {
		values[i] = make([]byte, size)
		for k := range values[i] {
			values[i][k] = byte(rand.Uint32())
		}
	}
	for i, v := range values {
		s.store.put("servers", fmt.Sprintf("other-%02d", i), v)
	}
	s.record.write("another writer has put %d entries of %d bytes", oddEntries, size)
	time.Sleep(time.Second)
	for _, w := range s.workers[:1] {
		w.drain(drainPeriod)
		s.record.write("drain    %s: the store has accepted that it drains", w.id)
	}
	s.sendJobs(drainPeriod-500*time.Millisecond, "", step{Count: 24, CPU: 14000, MemMB: 64, EstimateMs: 100})
	for _, n := range s.nodes {
		for _, l := range n.log("Store unreachable") {
			s.record.write("log      %s: %s", n.id, l)
		}
	}
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.draining, nil
}
