package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lateRounds is how often a start is carried out late.
	lateRounds = 4
	// crashDelay is how long after the unanswered start its worker crashes, downTime
	// (reborn.go) how long it is away, and lateDelay how long after its new boot the
	// start is carried out there: 2 to 12 s after it was sent, as applied_late has it.
	crashDelay = 2 * time.Second
	lateDelay  = 200 * time.Millisecond
)

// lateStart takes the first start for a job on its way to a worker.
type lateStart struct {
	mu     sync.Mutex
	job    string
	taken  bool
	worker *worker
	order  order
	header http.Header
	done   chan struct{}
}

// take reports whether the order is delayed: it gets no answer, and deliver sends it
// to the worker later.
func (l *lateStart) take(k *worker, r *http.Request, o order) bool {
	if l == nil || !strings.HasSuffix(r.URL.Path, "/run-start") || !strings.HasPrefix(o.Task, l.job) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.taken {
		return false
	}
	l.taken, l.worker, l.order, l.header = true, k, o, r.Header.Clone()
	close(l.done)
	return true
}

// deliver sends the order as it was to the worker's address.
func (l *lateStart) deliver() (answer, error) {
	body, err := json.Marshal(l.order)
	if err != nil {
		return answer{}, err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+l.worker.address+"/api/run-start", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Expected-Instance", l.header.Get("Expected-Instance"))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data)}, err
}

// playLate delays a start on its way to a worker. The worker crashes and starts again
// under its id, and then gets the start.
func playLate(w *world) error {
	w.configure(3, true)
	w.addNodes(2, "east")
	if err := w.addWorkers(8, "east", true, func(int) kind { return kind{"a", 16000} }); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var usual sync.WaitGroup
	for i := range 10 {
		usual.Go(func() { usualClient(w, i, stop) })
	}
	for i := range lateRounds {
		id, n := newID(), w.nodes[i%len(w.nodes)]
		l := &lateStart{job: id, done: make(chan struct{})}
		if w.trouble {
			w.setLate(l)
		}
		var client sync.WaitGroup
		client.Go(func() {
			w.rec("client submits %s to %s", id, n.id)
			a := send(&http.Client{}, http.MethodPost, n.front(), id, jobBody(step{count: 1, ms: 6000, cpu: 1000}), 12*time.Second)
			w.rec("client gets for %s: %s", id, a)
		})
		if w.trouble {
			<-l.done
			w.rec("the start of %s run %d for worker %s is delayed", l.order.Task, l.order.Run, l.worker.id)
			time.Sleep(crashDelay)
			b := l.worker.boot
			l.worker.crash()
			time.Sleep(downTime)
			if err := l.worker.start(b.kind); err != nil {
				return err
			}
			time.Sleep(lateDelay)
			a, err := l.deliver()
			if err != nil {
				return err
			}
			w.rec("the start of %s run %d reaches worker %s: %s", l.order.Task, l.order.Run, l.worker.id, a)
		}
		client.Wait()
	}
	close(stop)
	usual.Wait()
	return nil
}

func (w *world) setLate(l *lateStart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = l
}

func (w *world) lateStart() *lateStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}
