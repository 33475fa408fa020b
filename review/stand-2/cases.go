package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// addWorkers adds workers in all zones, two a rack, all of one kind and size.
func (s *site) addWorkers(n int, kind string, cpu int, guards bool) error {
	for range n {
		i := len(s.workers)
		if _, err := s.addWorker(zones[i/2%len(zones)].name, fmt.Sprintf("r%d", i/2), kind, cpu, guards); err != nil {
			return err
		}
	}
	return nil
}

// start starts workers of one kind and size and all instances, and sends a first job to
// each instance.
func (s *site) start(workers int, kind string, cpu int, guards bool) error {
	if err := s.addWorkers(workers, kind, cpu, guards); err != nil {
		return err
	}
	s.configure(7, guards)
	if err := s.startNodes(); err != nil {
		return err
	}
	return s.warmUp()
}

// warmUp sends a small job to each instance and waits until all is quiet again.
func (s *site) warmUp() error {
	for _, n := range s.nodes {
		j := newJob(s.record, 60, step{Count: 4, CPU: 4000, MemMB: 64, EstimateMs: 60})
		status, _, err := s.call(http.MethodPost, n.front(), j.id, j.body(), 1500*time.Millisecond)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("a job before the disruption got status %d at %s: %v", status, n.id, err)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// checkCancelled returns the starts of cancelled jobs later than the bound after the
// acknowledgement, and the runs that went on until after it.
func (s *site) checkCancelled() (broken []string) {
	for _, t := range s.record.allRuns() {
		j := s.record.jobOf(t.job)
		if j == nil || j.cancelAcked.IsZero() {
			continue
		}
		if late := t.start.Sub(j.cancelAcked); late > cancelBound {
			broken = append(broken, fmt.Sprintf("UNASKED: worker %s was told to start task %s %.0f ms after its job's cancelling was acknowledged or had waited for that", t.worker, t.task, late.Seconds()*1000))
		}
	}
	return broken
}

// cancelAfterRoute: the operator takes a queue away while a job of it is under way, and
// the client cancels the job, again and again.
func cancelAfterRoute(s *site, trouble bool) verdict {
	if err := s.start(12, "a", 32000, true); err != nil {
		return verdict{err: err}
	}
	steps := make([]step, 8)
	for i := range steps {
		steps[i] = step{Count: 2, CPU: 14000, MemMB: 64, EstimateMs: 2000}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	j := newJob(s.record, 2000, steps...)
	n := s.nodes[0]
	answered := make(chan struct{})
	go func() {
		_, _, _ = s.call(http.MethodPost, n.front(), j.id, j.body(), 28*time.Second)
		close(answered)
	}()
	time.Sleep(time.Second)
	if trouble {
		s.configureOther(9)
		s.record.logf("the store has acknowledged version 9, without the job's queue")
	}
	time.Sleep(2500 * time.Millisecond) // over configApplyMs
	first := time.Now()
	for time.Since(first) < ackBound {
		status, _, err := s.call(http.MethodDelete, n.front(), j.id, nil, 1500*time.Millisecond)
		if err == nil && (status == http.StatusOK || status == http.StatusGone) {
			s.record.ackCancel(j, time.Now())
			break
		}
		time.Sleep(resendDelay)
	}
	s.record.ackCancel(j, first.Add(ackBound)) // it has waited for that long
	<-answered
	time.Sleep(500 * time.Millisecond)
	return verdict{broken: s.checkCancelled()}
}

// otherKind: the workers of one rack crash and start again under their ids as another
// kind; then tasks arrive that require the kind that they had.
func otherKind(s *site, trouble bool) verdict {
	if err := s.start(24, "a", 32000, true); err != nil {
		return verdict{err: err}
	}
	if trouble {
		if err := s.restartRack("b", 32000); err != nil {
			return verdict{err: err}
		}
	}
	s.sendToAll(func() *job {
		return newJob(s.record, 200, step{Count: 8, CPU: 4000, MemMB: 64, EstimateMs: 200, Requires: "a", AntiAffinity: 1})
	})
	var broken []string
	for _, t := range s.record.allRuns() {
		j := s.record.jobOf(t.job)
		if required := j.steps[t.step].Requires; required != "" && !slices.Contains(t.labels, required) {
			broken = append(broken, fmt.Sprintf("ROUTE: task %s, which requires %q, was started on worker %s with the labels %v", t.task, required, t.worker, t.labels))
		}
	}
	return verdict{broken: broken}
}

// smallerWorker: the workers of one rack, which don't guard their capacity, crash and
// start again under their ids with less of it.
func smallerWorker(s *site, trouble bool) verdict {
	if err := s.start(24, "b", 48000, false); err != nil {
		return verdict{err: err}
	}
	if trouble {
		if err := s.restartRack("a", 32000); err != nil {
			return verdict{err: err}
		}
	}
	s.sendToAll(func() *job {
		return newJob(s.record, 200, step{Count: 4, CPU: 40000, MemMB: 64, EstimateMs: 200})
	})
	var broken []string
	for _, t := range s.record.allRuns() {
		if t.used > t.cpu {
			broken = append(broken, fmt.Sprintf("LIMIT: the start of task %s brought worker %s, which doesn't guard its capacity of %d, to %d", t.task, t.worker, t.cpu, t.used))
		}
	}
	return verdict{broken: broken}
}

// restartRack crashes the first two workers, which share a rack, and starts them again
// under their ids half a second later.
func (s *site) restartRack(kind string, cpu int) error {
	for _, w := range s.workers[:2] {
		w.crash()
	}
	time.Sleep(500 * time.Millisecond)
	for _, w := range s.workers[:2] {
		if err := w.start(kind, cpu); err != nil {
			return err
		}
	}
	time.Sleep(50 * time.Millisecond)
	return nil
}

// sendToAll sends one job to each instance and waits for the answers.
func (s *site) sendToAll(make func() *job) {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		j := make()
		wg.Go(func() { _, _, _ = s.call(http.MethodPost, n.front(), j.id, j.body(), 1500*time.Millisecond) })
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
}
