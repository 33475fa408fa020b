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

// holdMax and stopTime are the bounds holdMaxMs and less than stopMs of the settings.
const (
	holdMax  = time.Second
	stopTime = 20 * time.Millisecond
)

// kind is what a new boot of a worker may change.
type kind struct {
	label string
	cpu   float64
}

// worker is a sound stand-in of the platform's worker, as PROTOCOL.md describes it.
type worker struct {
	w           *world
	id, address string
	zone, rack  string
	guards      bool

	mu   sync.Mutex
	boot *boot
}

// boot is one life of a worker, from a start to a crash.
type boot struct {
	kind
	started  time.Time
	server   *http.Server
	token    int64
	lease    time.Duration
	running  map[string]*runState
	ended    [][]any
	lastEnd  int
	highest  map[string]int64
	runEnded chan struct{}
	dead     bool
}

type runState struct {
	number          int64
	started, endsAt time.Time
	cpu             float64
}

// order is the body of an order.
type order struct {
	Task         string `json:"task,omitempty"`
	Run          int64  `json:"run,omitempty"`
	Spec         string `json:"spec,omitempty"`
	DeadlineMs   int64  `json:"deadlineMs,omitempty"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int    `json:"lastSeen,omitempty"`
	WaitMs       int64  `json:"waitMs,omitempty"`
}

// start begins a boot of the given kind and registers it in the store.
func (k *worker) start(kd kind) error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	b := &boot{kind: kd, started: time.Now(), running: map[string]*runState{}, highest: map[string]int64{}, runEnded: make(chan struct{})}
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { k.serve(b, w, r) })}
	k.mu.Lock()
	k.boot = b
	k.mu.Unlock()
	go func() { _ = b.server.Serve(l) }()
	go k.expire(b)
	go k.beat(b)
	k.register(b, 0)
	k.w.rec("worker %s started: label=%s cpu=%.0f born=%d", k.id, kd.label, kd.cpu, b.started.UnixMilli())
	return nil
}

func (k *worker) register(b *boot, seq int) {
	k.w.store.put("servers", k.id, fmt.Appendf(nil, `{"service":"desk","addr":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":%.0f,"memMb":65536,"gpu":0},"labels":[%q,%q],"clockMs":%d,"born":%d,"seq":%d}`,
		k.address, k.zone, b.cpu, b.label, k.rack, k.clock(b).Milliseconds(), b.started.UnixMilli(), seq))
}

// beat writes the worker's entry every heartbeatMs.
func (k *worker) beat(b *boot) {
	for seq := 1; ; seq++ {
		time.Sleep(1500 * time.Millisecond)
		k.mu.Lock()
		dead := b.dead
		k.mu.Unlock()
		if dead {
			return
		}
		k.register(b, seq)
	}
}

// crash ends the boot and all that runs there, and resets its connections.
func (k *worker) crash() {
	k.mu.Lock()
	b := k.boot
	b.dead = true
	for task, r := range b.running {
		k.w.end(k.id, task, r.number, "crash")
	}
	k.mu.Unlock()
	_ = b.server.Close()
	k.w.rec("worker %s crashed", k.id)
}

func (k *worker) clock(b *boot) time.Duration { return time.Since(b.started) + time.Millisecond }

// expire ends runs that are done, and all runs once the lease has ended.
func (k *worker) expire(b *boot) {
	for {
		time.Sleep(4 * time.Millisecond)
		k.mu.Lock()
		if b.dead {
			k.mu.Unlock()
			return
		}
		for task, r := range b.running {
			switch {
			case k.clock(b) > b.lease:
				k.endRun(b, task, "lapsed")
			case time.Now().After(r.endsAt):
				k.endRun(b, task, "done")
			}
		}
		k.mu.Unlock()
	}
}

// endRun ends a run. The caller holds k.mu.
func (k *worker) endRun(b *boot, task, how string) {
	r := b.running[task]
	delete(b.running, task)
	b.lastEnd++
	b.ended = append(b.ended, []any{b.lastEnd, task, r.number, how, ""})
	b.highest[task] = max(b.highest[task], r.number)
	k.w.end(k.id, task, r.number, how)
	close(b.runEnded)
	b.runEnded = make(chan struct{})
}

func (k *worker) serve(b *boot, w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("Expected-Instance"); e != "" && e != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if k.w.lateStart().take(k, r, o) {
		<-r.Context().Done()
		return
	}
	if strings.HasSuffix(r.URL.Path, "/hold") {
		k.wait(b, o, r)
	}
	status, body := k.execute(b, r.URL.Path, o)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// wait renews the lease and waits for an end, as the first part of a hold.
func (k *worker) wait(b *boot, o order, r *http.Request) {
	k.mu.Lock()
	ended, unseen, fenced := b.runEnded, b.lastEnd > o.LastSeen, o.FencingToken < b.token
	b.token = max(b.token, o.FencingToken)
	k.renew(b, o)
	k.mu.Unlock()
	if unseen || fenced || o.WaitMs == 0 {
		return
	}
	select {
	case <-ended:
	case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
	case <-r.Context().Done():
	}
}

func (k *worker) renew(b *boot, o order) {
	if o.FencingToken == b.token && o.DeadlineMs > 0 {
		b.lease = max(b.lease, min(time.Duration(o.DeadlineMs)*time.Millisecond, k.clock(b)+holdMax))
	}
}

func (k *worker) execute(b *boot, path string, o order) (int, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.dead {
		return http.StatusServiceUnavailable, nil
	}
	clock := k.clock(b).Milliseconds()
	refuse := func(reason string) (int, []byte) {
		k.w.rec("worker %s refuses %s run %d: %s", k.id, o.Task, o.Run, reason)
		return http.StatusConflict, fmt.Appendf(nil, `{"clockMs":%d,"reason":%q}`, clock, reason)
	}
	if o.FencingToken < b.token {
		return refuse("fence")
	}
	b.token = o.FencingToken
	switch {
	case strings.HasSuffix(path, "/run-start"):
		if reason := k.startRun(b, o); reason != "" {
			return refuse(reason)
		}
	case strings.HasSuffix(path, "/run-stop"):
		k.stopRun(b, o)
	default:
		k.renew(b, o)
		return http.StatusOK, k.lists(b, o, clock)
	}
	return http.StatusOK, fmt.Appendf(nil, `{"clockMs":%d}`, clock)
}

// startRun starts a run or returns the reason why it does not. The spec has the run
// time in milliseconds and the thousandths of a core.
func (k *worker) startRun(b *boot, o order) string {
	if r := b.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond < k.clock(b) {
		return "late"
	}
	k.renew(b, o)
	if o.Run <= b.highest[o.Task] || b.running[o.Task] != nil {
		return "old"
	}
	var ms int
	var cpu float64
	_, _ = fmt.Sscan(o.Spec, &ms, &cpu)
	used := cpu
	for _, r := range b.running {
		used += r.cpu
	}
	if k.guards && used > b.cpu {
		return "room"
	}
	now := time.Now()
	b.running[o.Task] = &runState{number: o.Run, started: now, endsAt: now.Add(time.Duration(ms) * time.Millisecond), cpu: cpu}
	k.w.start(k, b, o, used)
	return ""
}

func (k *worker) stopRun(b *boot, o order) {
	b.highest[o.Task] = max(b.highest[o.Task], o.Run)
	time.AfterFunc(stopTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if r := b.running[o.Task]; !b.dead && r != nil && r.number <= o.Run {
			k.endRun(b, o.Task, "stopped")
		}
	})
}

func (k *worker) lists(b *boot, o order, clock int64) []byte {
	for len(b.ended) > 0 && b.ended[0][0].(int) <= o.LastSeen {
		b.ended = b.ended[1:]
	}
	running := [][]any{}
	for task, r := range b.running {
		percent := min(99, int(100*time.Since(r.started)/max(r.endsAt.Sub(r.started), 1)))
		running = append(running, []any{task, r.number, "", percent, r.cpu})
	}
	data, _ := json.Marshal(map[string]any{"clockMs": clock, "born": b.started.UnixMilli(), "running": running, "ended": append([][]any{}, b.ended...)})
	return data
}
