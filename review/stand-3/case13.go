package main

import (
	"context"
	"sync"
	"time"
)

// playStartAtNextBoot leaves the starts of three jobs without an answer and carries them
// out 2.2 s later. Before that, the worker concerned crashes, with nothing running there,
// and starts again under its id. The jobs' tasks have been started elsewhere meanwhile.
func playStartAtNextBoot(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(24, 16000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	const (
		lateTime = 2200 * time.Millisecond // 2 to 12 s
		crashAt  = 1800 * time.Millisecond
		downTime = 300 * time.Millisecond
		duration = 3600 * time.Millisecond
		lateJobs = 3
		otherJob = 60 // so that the three are less than 0.055 of the starts
	)
	var mu sync.Mutex
	late := map[string]*worker{} // by job ID; nil until its start has met its worker
	for _, w := range s.workers {
		w.late = func(o startOrder) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if at, ok := late[jobOf(o.Task)]; !ok || at != nil {
				return 0
			}
			late[jobOf(o.Task)] = w
			time.AfterFunc(crashAt, func() {
				s.record.write("crash    %s", w.id)
				w.crash()
				time.Sleep(downTime)
				s.record.write("restart  %s", w.id)
				if err := w.start(); err != nil {
					s.record.write("%s does not start again: %v", w.id, err)
				}
			})
			return lateTime
		}
	}
	send := func(wg *sync.WaitGroup, id string, d time.Duration, n *node) {
		wg.Go(func() {
			ctx, leave := context.WithTimeout(context.Background(), 12*time.Second)
			defer leave()
			n.send(ctx, "POST", id, job(d, 2000, "", step{Count: 1, CPU: 2000, MemMB: 64, EstimateMs: int(d.Milliseconds())}), 12*time.Second)
		})
	}
	var wg sync.WaitGroup
	for i := range otherJob {
		send(&wg, jobID(), 60*time.Millisecond, s.nodes[i%len(s.nodes)])
		time.Sleep(50 * time.Millisecond)
	}
	for i := range lateJobs {
		id := jobID()
		if trouble {
			mu.Lock()
			late[id] = nil
			mu.Unlock()
		}
		send(&wg, id, duration, s.nodes[i])
		time.Sleep(time.Second)
	}
	wg.Wait()
	return s.observer.runsTwice(), nil
}
