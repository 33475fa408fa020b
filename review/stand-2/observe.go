package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// spreadObserved shows what becomes of a step with more tasks than workers times
// `antiAffinity`. It breaks no rule as written and is no case.
func spreadObserved(s *site, _ bool) verdict {
	if err := s.start(12, "a", 32000, true); err != nil {
		return verdict{err: err}
	}
	j := newJob(s.record, 200, step{Count: 20, CPU: 4000, MemMB: 64, EstimateMs: 200, AntiAffinity: 1})
	began := time.Now()
	status, text, err := s.call(http.MethodPost, s.nodes[0].front(), j.id, j.body(), 8*time.Second)
	runs := 0
	for _, t := range s.record.allRuns() {
		if t.job == j.id {
			runs++
		}
	}
	fmt.Printf("status %d %s %v after %s, %d runs of 20 tasks\n", status, text, err, time.Since(began).Round(time.Millisecond), runs)
	return verdict{}
}

// coldObserved shows how often streams between instances end while cold workers run tasks
// that need most of their memory. It breaks no rule as written and is no case.
func coldObserved(s *site, trouble bool) verdict {
	if err := s.start(24, "a", 32000, true); err != nil {
		return verdict{err: err}
	}
	for _, w := range s.workers[:4] {
		w.crash()
		if trouble {
			w.coldFor = 60 * time.Second
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, w := range s.workers[:4] {
		if err := w.start("a", 32000); err != nil {
			return verdict{err: err}
		}
	}
	time.Sleep(3 * time.Second)
	lost := s.countInLogs("Peer lost")
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		j := newJob(s.record, 6000, step{Count: 4, CPU: 2000, MemMB: 100000, EstimateMs: 6000})
		wg.Go(func() { _, _, _ = s.call(http.MethodPost, n.front(), j.id, j.body(), 12*time.Second) })
	}
	counts := map[int]int{}
	for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, n := range s.nodes {
			j := newJob(s.record, 60, step{Count: 8, CPU: 1000, MemMB: 64, EstimateMs: 60})
			status, _, _ := s.call(http.MethodPost, n.front(), j.id, j.body(), 1500*time.Millisecond)
			counts[status]++
		}
	}
	wg.Wait()
	fmt.Printf("streams lost: %d; answers to small jobs: %v\n", s.countInLogs("Peer lost")-lost, counts)
	return verdict{}
}

// countInLogs returns how many lines of the instances' logs have the text.
func (s *site) countInLogs(text string) (n int) {
	for _, i := range s.nodes {
		data, err := os.ReadFile(filepath.Join(s.dir, i.id+".log"))
		if err == nil {
			n += bytes.Count(data, []byte(text))
		}
	}
	return n
}
