package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease that a worker grants, and stopTime how long it
	// takes to stop a run, as holdMaxMs and stopMs on the users' sheets (stops take
	// 50 ms at most).
	holdMax  = time.Second
	stopTime = 20 * time.Millisecond
	// heartbeat is the time between two writes of a worker's entry.
	heartbeat = 1500 * time.Millisecond
)

type (
	// worker is a stand-in for one of the platform's workers. A task's spec is its
	// run time in milliseconds, its cores in thousandths and the label that it needs,
	// separated by spaces.
	worker struct {
		id, address, zone, service string
		store                      *store
		observer                   *observer

		mu     sync.Mutex
		cpu    int
		labels []string
		boot   *boot
		seq    int
		// unguarded means that the worker starts whatever it is told to start.
		unguarded bool
		// clockAhead is by how much the time of day at the worker is ahead of the true
		// time.
		clockAhead time.Duration
		// leavesAt is when the worker leaves; zero if it doesn't drain.
		leavesAt time.Time
		// drainingSince is when the store had accepted that the worker drains.
		drainingSince time.Time
	}

	// boot is the state of a worker from a start to the next crash.
	boot struct {
		startedAt time.Time
		// born is the time of day at the worker when it started, in Unix milliseconds.
		born   int64
		server *http.Server
		token  int64
		// lease is when all runs end, on the worker's clock.
		lease    time.Duration
		running  map[string]*taskRun
		ended    [][]any
		lastEnd  int
		highest  map[string]int64
		runEnded chan struct{}
		crashed  bool
	}

	taskRun struct {
		number    int64
		cpu       int
		startedAt time.Time
		duration  time.Duration
		timer     *time.Timer
	}

	startOrder struct {
		Task         string `json:"task"`
		Run          int64  `json:"run"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken int64  `json:"fencingToken"`
		LastSeen     int    `json:"lastSeen"`
		WaitMs       int64  `json:"waitMs"`
	}
)

// start starts the worker and writes its entry until it crashes.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	b := &boot{startedAt: time.Now(), running: map[string]*taskRun{}, highest: map[string]int64{}, runEnded: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(out http.ResponseWriter, r *http.Request) { w.serve(b, out, r) })
	b.server = &http.Server{Handler: mux}
	w.mu.Lock()
	b.born = b.startedAt.Add(w.clockAhead).UnixMilli()
	w.boot = b
	w.mu.Unlock()
	go func() { _ = b.server.Serve(l) }()
	go w.beat(b)
	go w.lapse(b)
	return nil
}

// beat writes the worker's entry at once and then at each heartbeat.
func (w *worker) beat(b *boot) {
	for {
		w.mu.Lock()
		if b.crashed {
			w.mu.Unlock()
			return
		}
		w.seq++
		entry := w.entry(b)
		w.mu.Unlock()
		w.store.put("servers", w.id, entry)
		time.Sleep(heartbeat)
	}
}

// entry returns the worker's entry. The caller holds w.mu.
func (w *worker) entry(b *boot) []byte {
	e := map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": 65536, "gpu": 0}, "labels": w.labels,
		"born": b.born, "clockMs": w.clock(b).Milliseconds(), "seq": w.seq,
	}
	if !w.leavesAt.IsZero() {
		e["state"], e["remainingMs"] = "draining", max(time.Until(w.leavesAt).Milliseconds(), 0)
	}
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return data
}

// drain makes the worker report that it drains, and leave after a time. It returns when
// the store has accepted the report.
func (w *worker) drain(d time.Duration) {
	w.mu.Lock()
	w.leavesAt = time.Now().Add(d)
	w.seq++
	b, entry := w.boot, w.entry(w.boot)
	w.mu.Unlock()
	w.store.put("servers", w.id, entry)
	w.mu.Lock()
	w.drainingSince = time.Now()
	w.mu.Unlock()
	time.AfterFunc(d, func() {
		w.mu.Lock()
		same := w.boot == b
		w.mu.Unlock()
		if same {
			w.crash()
			w.store.remove("servers", w.id)
		}
	})
}

// crash ends the worker and all that it runs.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.boot
	w.boot = nil
	if b == nil {
		return
	}
	b.crashed = true
	for task, r := range b.running {
		r.timer.Stop()
		w.observer.ended(w.id, task, r.number, "crashed")
	}
	_ = b.server.Close()
}

// clock returns the worker's clock, which starts at one millisecond.
func (w *worker) clock(b *boot) time.Duration { return time.Since(b.startedAt) + time.Millisecond }

// lapse ends all runs when the lease has ended.
func (w *worker) lapse(b *boot) {
	for {
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		if b.crashed {
			w.mu.Unlock()
			return
		}
		if w.clock(b) > b.lease {
			for task, r := range b.running {
				w.end(b, task, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds w.mu.
func (w *worker) end(b *boot, task string, r *taskRun, how string) {
	if b.crashed || b.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(b.running, task)
	b.lastEnd++
	b.ended = append(b.ended, []any{b.lastEnd, task, r.number, how, ""})
	b.highest[task] = max(b.highest[task], r.number)
	w.observer.ended(w.id, task, r.number, how)
	close(b.runEnded)
	b.runEnded = make(chan struct{})
}

func (w *worker) serve(b *boot, out http.ResponseWriter, r *http.Request) {
	var o startOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case strings.HasSuffix(r.URL.Path, "/hold"):
		w.hold(b, o, out, r)
	case strings.HasSuffix(r.URL.Path, "/run-start"):
		w.answer(b, out, w.runStart(b, o))
	case strings.HasSuffix(r.URL.Path, "/run-stop"):
		w.answer(b, out, w.runStop(b, o))
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// answer answers an order; reason is empty if it was carried out.
func (w *worker) answer(b *boot, out http.ResponseWriter, reason string) {
	body := map[string]any{"clockMs": w.clock(b).Milliseconds()}
	if reason != "" {
		body["reason"] = reason
		writeJSON(out, http.StatusConflict, body)
		return
	}
	writeJSON(out, http.StatusOK, body)
}

// renew extends the lease. The caller holds w.mu.
func (w *worker) renew(b *boot, deadlineMS int64) {
	b.lease = max(b.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock(b)+holdMax))
}

// runStart carries out a start. It returns the reason if it is rejected.
func (w *worker) runStart(b *boot, o startOrder) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.crashed || o.FencingToken < b.token {
		return "fence"
	}
	b.token = o.FencingToken
	if r := b.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond < w.clock(b) {
		return "late"
	}
	w.renew(b, o.DeadlineMs)
	if o.Run <= b.highest[o.Task] || b.running[o.Task] != nil {
		return "old"
	}
	var ms, cpu int
	var label string
	_, _ = fmt.Sscan(o.Spec, &ms, &cpu, &label)
	r := &taskRun{number: o.Run, cpu: cpu, startedAt: time.Now(), duration: time.Duration(ms) * time.Millisecond}
	used := cpu
	for _, other := range b.running {
		used += other.cpu
	}
	if used > w.cpu && !w.unguarded {
		return "room"
	}
	r.timer = time.AfterFunc(r.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(b, o.Task, r, "done")
	})
	b.running[o.Task] = r
	w.observer.started(w, o, label, used)
	return ""
}

func (w *worker) runStop(b *boot, o startOrder) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.crashed || o.FencingToken < b.token {
		return "fence"
	}
	b.token = o.FencingToken
	b.highest[o.Task] = max(b.highest[o.Task], o.Run)
	if r := b.running[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(b, o.Task, r, "stopped")
		})
	}
	return ""
}

// hold renews the lease, waits for an end and answers with both lists.
func (w *worker) hold(b *boot, o startOrder, out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	if b.crashed || o.FencingToken < b.token {
		w.mu.Unlock()
		w.answer(b, out, "fence")
		return
	}
	b.token = o.FencingToken
	w.renew(b, o.DeadlineMs)
	unseen, runEnded := b.lastEnd > o.LastSeen, b.runEnded
	w.mu.Unlock()
	if !unseen && o.WaitMs > 0 {
		select {
		case <-runEnded:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FencingToken < b.token {
		writeJSON(out, http.StatusConflict, map[string]any{"clockMs": w.clock(b).Milliseconds(), "reason": "fence"})
		return
	}
	forgotten := 0
	for forgotten < len(b.ended) && b.ended[forgotten][0].(int) <= o.LastSeen {
		forgotten++
	}
	b.ended = b.ended[forgotten:]
	running := [][]any{}
	for task, t := range b.running {
		percent := min(99, int(100*time.Since(t.startedAt)/max(t.duration, 1)))
		running = append(running, []any{task, t.number, "", percent, t.cpu})
	}
	writeJSON(out, http.StatusOK, map[string]any{
		"clockMs": w.clock(b).Milliseconds(), "born": b.born, "running": running,
		"ended": append([][]any{}, b.ended[:min(len(b.ended), 500)]...),
	})
}
