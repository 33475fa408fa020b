package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// playSmallerBoot sends jobs each second to a service whose workers don't guard their
// capacity. Between them, one worker crashes, with nothing running there, and starts again
// under its id and at its address with a quarter of its cores.
func playSmallerBoot(s *site, trouble bool) ([]string, error) {
	s.configure(3, false)
	if err := s.addWorkers(16, 32000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	for _, w := range s.workers {
		w.unguarded = true
	}
	if err := s.addNodes("worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for round := range 10 {
		for _, n := range s.nodes {
			wg.Go(func() {
				ctx, leave := context.WithTimeout(context.Background(), 4*time.Second)
				defer leave()
				st := step{Count: 7, CPU: 14000, MemMB: 64, EstimateMs: 100}
				n.send(ctx, "POST", jobID(), job(100*time.Millisecond, 14000, "", st), 4*time.Second)
			})
		}
		time.Sleep(600 * time.Millisecond)
		if w := s.workers[round]; trouble {
			s.record.write("crash    %s", w.id)
			w.crash()
			time.Sleep(300 * time.Millisecond)
			w.mu.Lock()
			w.cpu, w.labels = 8000, []string{"b", "r1"}
			w.mu.Unlock()
			s.record.write("restart  %s with 8 cores", w.id)
			if err := w.start(); err != nil {
				return nil, err
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.overCapacity, nil
}

// checkCapacity notes a start that brings a worker over its capacity. The caller holds o.mu
// and w.mu.
func (o *observer) checkCapacity(w *worker, s startOrder, used int) {
	if used > w.cpu {
		o.overCapacity = append(o.overCapacity, fmt.Sprintf("LIMIT: %s run %d brings %s to %d of %d thousandths of a core, %.3f s after it started",
			s.Task, s.Run, w.id, used, w.cpu, time.Since(w.boot.startedAt).Seconds()))
	}
}
