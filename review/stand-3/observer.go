package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

type (
	// observer notes all runs on all workers and judges them.
	observer struct {
		record *record

		mu      sync.Mutex
		running map[string][]observedRun
		// starts counts all starts, and startedAt has the times of those of each job.
		starts    int
		startedAt map[string][]time.Time
		// twice has the runs that began while another run of their task went on.
		twice []string
		// unlabelled has the starts on workers without the label that the task needs.
		unlabelled []string
		// overCapacity has the starts that brought a worker over its capacity.
		overCapacity []string
		// draining has the starts on workers that drain, later than drainTime.
		draining []string
	}

	observedRun struct {
		worker string
		number int64
		at     time.Time
	}
)

func newObserver(r *record) *observer {
	return &observer{record: r, running: map[string][]observedRun{}, startedAt: map[string][]time.Time{}}
}

func (o *observer) note(format string, args ...any) { o.record.write(format, args...) }

// started notes a start. The label is the one that the task needs, or empty, and used is
// what the worker's runs need with this one. The caller holds w.mu.
func (o *observer) started(w *worker, s startOrder, label string, used int) {
	now := time.Now()
	o.record.write("start    %s run %d on %s, token %d", s.Task, s.Run, w.id, s.FencingToken)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	o.checkLabel(w, s, label)
	o.checkCapacity(w, s, used)
	o.checkDraining(w, s)
	job := jobOf(s.Task)
	o.startedAt[job] = append(o.startedAt[job], now)
	for _, other := range o.running[s.Task] {
		o.twice = append(o.twice, fmt.Sprintf("TWICE: %s runs at the same time as run %d on %s, since %.3f s, and as run %d on %s, since %.3f s",
			s.Task, other.number, other.worker, o.record.at(other.at), s.Run, w.id, o.record.at(now)))
	}
	o.running[s.Task] = append(o.running[s.Task], observedRun{w.id, s.Run, now})
}

// checkLabel notes a start without its label. The caller holds o.mu and w.mu.
func (o *observer) checkLabel(w *worker, s startOrder, label string) {
	if label != "" && !slices.Contains(w.labels, label) {
		o.unlabelled = append(o.unlabelled, fmt.Sprintf("ROUTE: %s run %d, which needs the label %s, starts on %s with the labels %v, %.3f s after it started",
			s.Task, s.Run, label, w.id, w.labels, time.Since(w.boot.startedAt).Seconds()))
	}
}

// checkCapacity notes a start that brings a worker over its capacity. The caller holds o.mu
// and w.mu.
func (o *observer) checkCapacity(w *worker, s startOrder, used int) {
	if used > w.cpu {
		o.overCapacity = append(o.overCapacity, fmt.Sprintf("LIMIT: %s run %d brings %s to %d of %d thousandths of a core, %.3f s after it started",
			s.Task, s.Run, w.id, used, w.cpu, time.Since(w.boot.startedAt).Seconds()))
	}
}

func (o *observer) ended(worker, task string, number int64, how string) {
	o.record.write("end      %s run %d on %s: %s", task, number, worker, how)
	o.mu.Lock()
	defer o.mu.Unlock()
	var rest []observedRun
	for _, r := range o.running[task] {
		if r.worker != worker || r.number != number {
			rest = append(rest, r)
		}
	}
	o.running[task] = rest
}

// startCount returns the number of starts.
func (o *observer) startCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts
}

// runsTwice returns the runs that began while another run of their task went on.
func (o *observer) runsTwice() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.twice...)
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string { return task[:16] }
