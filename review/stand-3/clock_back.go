package main

import (
	"context"
	"sync"
	"time"
)

const (
	// clockStep is by how much the time of day of some workers jumps, and back.
	clockStep = 2400 * time.Millisecond
	// downTime is how long a crashed worker is down, and upTime how long it is up
	// between its two crashes.
	downTime = 300 * time.Millisecond
	upTime   = 1300 * time.Millisecond
	// watchTime is how long jobs are sent after the workers have started for the last
	// time.
	watchTime = 20 * time.Second
)

// restartWithClockBack crashes two workers twice, with nothing running there. Between
// the crashes, the time of day there jumps back to the true one, before which it was
// ahead. change describes the last boot. Without the trouble, the clocks are right
// all the time, and all else is the same.
func (s *site) restartWithClockBack(trouble bool, change func(*worker)) error {
	workers := s.workers[:2]
	restart := func(set func(*worker)) error {
		for _, w := range workers {
			s.record.write("crash    %s", w.id)
			w.crash()
		}
		time.Sleep(downTime)
		for _, w := range workers {
			w.mu.Lock()
			set(w)
			w.mu.Unlock()
			if err := w.start(); err != nil {
				return err
			}
			s.record.write("restart  %s: born %d, %d thousandths of a core, labels %v", w.id, w.boot.born, w.cpu, w.labels)
		}
		return nil
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = clockStep
	}
	if err := restart(func(w *worker) { w.clockAhead = ahead }); err != nil {
		return err
	}
	time.Sleep(upTime)
	if trouble {
		s.record.write("the time of day jumps back by %v at these workers", clockStep)
	}
	if err := restart(func(w *worker) { w.clockAhead = 0; change(w) }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // longer than stableMs, and than any reading of the list
	return nil
}

// sendJobs sends a job of some tasks to each instance in turn for a while.
func (s *site) sendJobs(d time.Duration, label string, st step) {
	var wg sync.WaitGroup
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		wg.Go(func() {
			ctx, leave := context.WithTimeout(context.Background(), 4*time.Second)
			defer leave()
			s.nodes[i%len(s.nodes)].send(ctx, "POST", jobID(), job(time.Duration(st.EstimateMs)*time.Millisecond, st.CPU, label, st), 4*time.Second)
		})
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
}

// playClockBackSmaller lets workers that don't guard their capacity come back with a
// quarter of their cores.
func playClockBackSmaller(s *site, trouble bool) ([]string, error) {
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
	if err := s.restartWithClockBack(trouble, func(w *worker) { w.cpu = 8000 }); err != nil {
		return nil, err
	}
	s.sendJobs(watchTime, "", step{Count: 24, CPU: 14000, MemMB: 64, EstimateMs: 100})
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.overCapacity, nil
}

// playClockBackOtherKind lets workers of kind "a" come back as kind "b", while jobs come
// that need the label "a".
func playClockBackOtherKind(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(16, 32000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	if err := s.restartWithClockBack(trouble, func(w *worker) { w.labels = []string{"b", "r1"} }); err != nil {
		return nil, err
	}
	s.sendJobs(watchTime, "a", step{Count: 24, CPU: 14000, MemMB: 64, EstimateMs: 100, Requires: "a"})
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.unlabelled, nil
}
