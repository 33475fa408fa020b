package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's bounds on a worker.
const (
	holdMax  = time.Second
	stopTime = 40 * time.Millisecond
	// maxListedEnds is how many ends a list holds.
	maxListedEnds = 500
	heartbeat     = 1500 * time.Millisecond
)

type (
	// worker is a stand-in for a worker. Its life between a start and a crash is a boot.
	worker struct {
		id, address, zone, rack, service string
		// guards reports that it rejects what does not fit.
		guards bool
		record *record
		store  *store

		mu   sync.Mutex
		boot *boot
		// lost, late and refused are the shares of orders that are carried out without
		// an answer, carried out 2 to 5 s late without one, and refused as unhealthy.
		lost, late, refused float64
		// coldFor is how long a boot is slow after its start.
		coldFor time.Duration
	}

	boot struct {
		w      *worker
		born   time.Time
		kind   string
		cpu    int
		server *http.Server
		// mu is that of the worker.
		token    int64
		lease    time.Duration
		running  map[string]*active
		ended    [][]any
		lastEnd  int64
		highest  map[string]int64
		runEnded chan struct{}
		over     bool
		seq      int
		// drainedAt is when the store has accepted that the worker is draining, and
		// leavesAt when it leaves; zero if it does not.
		drainedAt, leavesAt time.Time
	}

	// active is a run that is under way.
	active struct {
		run    *taskRun
		endsAt time.Time
		cpu    int
	}

	order struct {
		Task         string `json:"task"`
		Run          int64  `json:"run"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken int64  `json:"fencingToken"`
		LastSeen     int64  `json:"lastSeen"`
		WaitMs       int64  `json:"waitMs"`
	}
)

// start starts a boot of a kind and a size, and registers it in the store.
func (w *worker) start(kind string, cpu int) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	b := &boot{w: w, born: time.Now(), kind: kind, cpu: cpu, running: map[string]*active{}, highest: map[string]int64{}, runEnded: make(chan struct{})}
	b.server = &http.Server{Handler: b}
	w.mu.Lock()
	w.boot = b
	w.mu.Unlock()
	w.record.logf("worker %s starts as kind %s with %d cpu at %s, born %d", w.id, kind, cpu, w.address, b.born.UnixMilli())
	go func() { _ = b.server.Serve(l) }()
	go b.endRuns()
	b.register()
	go b.beat()
	return nil
}

// crash ends the worker at once, with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	b := w.boot
	w.boot = nil
	if b != nil {
		b.over = true
		for _, a := range b.running {
			w.record.endRun(a.run, time.Now(), "crash")
		}
	}
	w.mu.Unlock()
	if b != nil {
		_ = b.server.Close()
		w.record.logf("worker %s crashes", w.id)
	}
}

// register writes the worker's entry to the store.
func (b *boot) register() {
	w := b.w
	w.mu.Lock()
	if b.over {
		w.mu.Unlock()
		return
	}
	b.seq++
	state := "ready"
	if !b.leavesAt.IsZero() {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": max(w.coldFor-time.Since(b.born), 0).Milliseconds(),
		"capacity": b.capacity(), "labels": b.labels(), "clockMs": b.clock().Milliseconds(), "seq": b.seq, "born": b.born.UnixMilli(),
	})
	w.mu.Unlock()
	w.store.put("servers", w.id, value)
	w.mu.Lock()
	defer w.mu.Unlock()
	if state == "draining" && b.drainedAt.IsZero() {
		b.drainedAt = time.Now()
	}
}

// drain announces that the boot leaves after the notice.
func (b *boot) drain(notice time.Duration) {
	b.w.mu.Lock()
	b.leavesAt = time.Now().Add(notice)
	b.w.mu.Unlock()
	b.w.record.logf("worker %s drains and leaves in %s", b.w.id, notice)
	b.register()
}

func (b *boot) beat() {
	for {
		time.Sleep(heartbeat)
		b.w.mu.Lock()
		over := b.over
		b.w.mu.Unlock()
		if over {
			return
		}
		b.register()
	}
}

func (b *boot) labels() []string { return []string{b.kind, b.w.rack} }

func (b *boot) capacity() map[string]int {
	return map[string]int{"cpu": b.cpu, "memMb": 131072, "gpu": 0}
}

// clock returns the boot's steady clock.
func (b *boot) clock() time.Duration { return time.Since(b.born) + time.Millisecond }

func (b *boot) endRuns() {
	for {
		time.Sleep(time.Millisecond)
		b.w.mu.Lock()
		if b.over {
			b.w.mu.Unlock()
			return
		}
		now := time.Now()
		for task, a := range b.running {
			switch {
			case b.clock() > b.lease:
				b.end(task, "lapsed")
			case now.After(a.endsAt):
				b.end(task, "done")
			}
		}
		b.w.mu.Unlock()
	}
}

// end ends a run. The caller holds the worker's mutex.
func (b *boot) end(task, how string) {
	a := b.running[task]
	delete(b.running, task)
	b.lastEnd++
	b.ended = append(b.ended, []any{b.lastEnd, task, a.run.number, how, ""})
	b.highest[task] = max(b.highest[task], a.run.number)
	b.w.record.endRun(a.run, time.Now(), how)
	close(b.runEnded)
	b.runEnded = make(chan struct{})
}

func (b *boot) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := b.w
	if r.URL.Path == "/healthz" {
		out.WriteHeader(http.StatusOK)
		return
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.over {
		return
	}
	switch draw := rand.Float64(); {
	case draw < w.late:
		time.AfterFunc(2*time.Second+rand.N(3*time.Second), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !b.over {
				o.WaitMs = 0
				b.execute(discard{http.Header{}}, r, o)
			}
		})
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	case draw < w.late+w.lost:
		o.WaitMs = 0
		b.execute(discard{http.Header{}}, r, o)
		panic(http.ErrAbortHandler)
	case draw < w.late+w.lost+w.refused:
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.execute(out, r, o)
}

// discard is the writer of an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// execute carries out an order. The caller holds the worker's mutex.
func (b *boot) execute(out http.ResponseWriter, r *http.Request, o order) {
	if o.FencingToken < b.token {
		b.reject(out, "fence")
		return
	}
	b.token = o.FencingToken
	switch r.URL.Path {
	case "/api/run-start":
		b.startRun(out, o)
	case "/api/run-stop":
		b.stopRun(out, o)
	case "/api/hold":
		b.hold(out, r, o)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (b *boot) reject(out http.ResponseWriter, reason string) {
	writeReply(out, http.StatusConflict, map[string]any{"clockMs": b.clock().Milliseconds(), "reason": reason})
}

func (b *boot) accept(out http.ResponseWriter) {
	writeReply(out, http.StatusOK, map[string]any{"clockMs": b.clock().Milliseconds()})
}

// renew extends the lease of all that runs, never beyond holdMax.
func (b *boot) renew(deadlineMs int64) {
	if deadlineMs > 0 {
		b.lease = max(b.lease, min(time.Duration(deadlineMs)*time.Millisecond, b.clock()+holdMax))
	}
}

func (b *boot) startRun(out http.ResponseWriter, o order) {
	w := b.w
	if a := b.running[o.Task]; a != nil && a.run.number == o.Run {
		b.accept(out)
		return
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond < b.clock() {
		b.reject(out, "late")
		return
	}
	b.renew(o.DeadlineMs)
	if o.Run <= b.highest[o.Task] || b.running[o.Task] != nil {
		b.reject(out, "old")
		return
	}
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	stepIndex, _ := strconv.Atoi(parts[2])
	t := &taskRun{task: o.Task, worker: w.id, job: parts[0], step: stepIndex, number: o.Run, start: time.Now(), labels: b.labels(), cpu: b.cpu, drainedAt: b.drainedAt}
	work, cpu := 100, 0
	if j := w.record.jobOf(parts[0]); j != nil {
		work, cpu = j.ms, j.steps[stepIndex].CPU
	}
	t.used = cpu
	for _, a := range b.running {
		t.used += a.cpu
	}
	if w.guards && t.used > b.cpu {
		b.reject(out, "room")
		return
	}
	b.running[o.Task] = &active{run: t, endsAt: t.start.Add(time.Duration(work) * time.Millisecond), cpu: cpu}
	w.record.startRun(t)
	b.accept(out)
}

func (b *boot) stopRun(out http.ResponseWriter, o order) {
	b.highest[o.Task] = max(b.highest[o.Task], o.Run)
	time.AfterFunc(stopTime, func() {
		b.w.mu.Lock()
		defer b.w.mu.Unlock()
		if a := b.running[o.Task]; !b.over && a != nil && a.run.number <= o.Run {
			b.end(o.Task, "stopped")
		}
	})
	b.accept(out)
}

// hold renews the lease, forgets the ends that are known, and answers with both lists,
// after an end if it is asked to wait. The worker's mutex is free while it waits.
func (b *boot) hold(out http.ResponseWriter, r *http.Request, o order) {
	b.renew(o.DeadlineMs)
	for len(b.ended) > 0 && b.ended[0][0].(int64) <= o.LastSeen {
		b.ended = b.ended[1:]
	}
	if len(b.ended) == 0 && o.WaitMs > 0 {
		runEnded := b.runEnded
		b.w.mu.Unlock()
		select {
		case <-runEnded:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		b.w.mu.Lock()
		if b.over {
			return
		}
	}
	if o.FencingToken < b.token {
		b.reject(out, "fence")
		return
	}
	running := [][]any{}
	for task, a := range b.running {
		percent := min(99, int(100*time.Since(a.run.start)/max(a.endsAt.Sub(a.run.start), 1)))
		running = append(running, []any{task, a.run.number, "", percent, a.cpu})
	}
	reply := map[string]any{
		"clockMs": b.clock().Milliseconds(), "born": b.born.UnixMilli(),
		"running": running, "ended": append([][]any{}, b.ended[:min(len(b.ended), maxListedEnds)]...),
	}
	if !b.leavesAt.IsZero() {
		reply["remainingMs"] = max(time.Until(b.leavesAt).Milliseconds(), 0)
	}
	writeReply(out, http.StatusOK, reply)
}
