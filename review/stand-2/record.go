package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

type (
	// record is what was sent, answered and run, as clients, workers and the platform
	// see it.
	record struct {
		mu      sync.Mutex
		started time.Time
		file    *os.File
		jobs    map[string]*job
		runs    []*taskRun
	}

	// job is what a client has sent.
	job struct {
		id    string
		steps []step
		// ms is the run time of each task.
		ms int
		// cancelAcked is when the first cancellation was answered with 2xx or 410.
		cancelAcked time.Time
	}

	// step is a step of a job, encoded as the platform documents.
	step struct {
		Count        int    `json:"count"`
		CPU          int    `json:"cpu"`
		MemMB        int    `json:"memMb"`
		EstimateMs   int    `json:"estimateMs"`
		After        []int  `json:"after,omitempty"`
		Requires     string `json:"requires,omitempty"`
		AntiAffinity int    `json:"antiAffinity,omitempty"`
	}

	// taskRun is one run of a task on a worker.
	taskRun struct {
		task, worker string
		job          string
		step         int
		number       int64
		start, end   time.Time
		how          string
		// labels and cpu are the labels and the capacity of the worker's boot, and
		// used is what runs there once this run has begun, in thousandths of a core.
		labels    []string
		cpu, used int
		// drainedAt is when the store had accepted that the worker drains; zero if it
		// had not.
		drainedAt time.Time
	}
)

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, jobs: map[string]*job{}}, nil
}

// logf writes a line with the time since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), format, args...)
}

func (r *record) line(now time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", now.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) addJob(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j.id] = j
}

// ackCancel records the first acknowledgement of a job's cancellation.
func (r *record) ackCancel(j *job, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.cancelAcked.IsZero() {
		j.cancelAcked = now
	}
}

// jobOf returns the job with the ID; nil if no client has sent it.
func (r *record) jobOf(id string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

func (r *record) startRun(t *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, t)
	r.line(t.start, "worker %s (%v, %d cpu) starts task %s run %d; %d cpu in use", t.worker, t.labels, t.cpu, t.task, t.number, t.used)
}

func (r *record) endRun(t *taskRun, now time.Time, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.end, t.how = now, how
	r.line(now, "worker %s ends task %s run %d: %s", t.worker, t.task, t.number, how)
}

// allRuns returns copies of all runs.
func (r *record) allRuns() []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []taskRun
	for _, t := range r.runs {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b taskRun) int { return a.start.Compare(b.start) })
	return list
}
