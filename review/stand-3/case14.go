package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// playOtherKind sends jobs that need the label "a" each second. Between them, one worker
// with that label crashes, with nothing running there, and starts again under its id and
// at its address as one of kind "b".
func playOtherKind(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(16, 16000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for round := range 10 {
		for i, n := range s.nodes {
			wg.Go(func() {
				ctx, leave := context.WithTimeout(context.Background(), 4*time.Second)
				defer leave()
				st := step{Count: 20 - 2*i, CPU: 4000, MemMB: 64, EstimateMs: 100, Requires: "a"}
				n.send(ctx, "POST", jobID(), job(100*time.Millisecond, 4000, "a", st), 4*time.Second)
			})
		}
		time.Sleep(600 * time.Millisecond)
		if w := s.workers[round]; trouble {
			s.record.write("crash    %s", w.id)
			w.crash()
			time.Sleep(300 * time.Millisecond)
			w.mu.Lock()
			w.labels = []string{"b", "r1"}
			w.mu.Unlock()
			s.record.write("restart  %s as kind b", w.id)
			if err := w.start(); err != nil {
				return nil, err
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	return s.observer.wrongLabels(), nil
}

// wrongLabels returns the starts on workers without the label that the task needs.
func (o *observer) wrongLabels() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.unlabelled)
}

// checkLabel notes a start without its label. The caller holds o.mu and w.mu.
func (o *observer) checkLabel(w *worker, s startOrder, label string) {
	if label != "" && !slices.Contains(w.labels, label) {
		o.unlabelled = append(o.unlabelled, fmt.Sprintf("ROUTE: %s run %d, which needs the label %s, starts on %s with the labels %v, %.3f s after it started",
			s.Task, s.Run, label, w.id, w.labels, time.Since(w.boot.startedAt).Seconds()))
	}
}
