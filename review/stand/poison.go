package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memoryMb of the settings.
	memoryMB = 284
	// poisonTasks is the count of the job that can never be done.
	poisonTasks = 2_000_000
	// poisonTries is how often its client sends it at most.
	poisonTries = 9
)

// playPoison lets one client submit a job with so many tasks that it can never be done
// in its time, beside usual jobs. The platform kills a process that exceeds its memory
// and starts it again.
func playPoison(w *world) error {
	w.configure(3, true)
	w.addNodes(3, "east")
	if err := w.addWorkers(8, "east", true, func(int) kind { return kind{"a", 16000} }); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	go w.balance()
	stop := make(chan struct{})
	killed := make([]atomic.Int32, len(w.nodes))
	var work sync.WaitGroup
	for i, n := range w.nodes {
		work.Go(func() { n.limitMemory(&killed[i], stop) })
	}
	for i := range 20 {
		work.Go(func() { usualClient(w, i, stop) })
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		poisonClient(w)
	} else {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	work.Wait()
	often := 0
	for i, n := range w.nodes {
		k := killed[i].Load()
		w.rec("instance %s exceeded its memory %d times", n.id, k)
		if k >= 3 {
			often++
		}
	}
	if often >= 2 {
		w.violation("Fault: %d of %d instances ended three times, for the memory of one job", often, len(w.nodes))
	}
	return nil
}

// limitMemory kills the process when it exceeds its memory, and starts it again.
func (n *node) limitMemory(killed *atomic.Int32, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if n.hasExited() {
			continue
		}
		if mb := n.residentMB(); mb > memoryMB {
			n.w.rec("instance %s has %d MB in memory, more than %d", n.id, mb, memoryMB)
			n.signal(syscall.SIGKILL)
			<-n.exited
			killed.Add(1)
			time.Sleep(500 * time.Millisecond)
			if err := n.start(false); err != nil {
				n.w.rec("instance %s: %v", n.id, err)
				return
			}
		}
	}
}

// residentMB returns the memory of the process that is resident.
func (n *node) residentMB() int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			return kb / 1024
		}
	}
	return 0
}

// poisonClient submits the job, and again after a broken connection, at the next
// instance.
func poisonClient(w *world) {
	id, body := newID(), jobBody(step{count: poisonTasks, ms: 60, cpu: 1000})
	w.rec("the job %s has %d tasks; its body has %d bytes: %s", id, poisonTasks, len(body), body)
	for try := range poisonTries {
		n := w.nodes[try%len(w.nodes)]
		w.rec("client submits %s to %s, try %d", id, n.id, try+1)
		a := send(&http.Client{Timeout: 2 * time.Second}, http.MethodPost, n.front(), id, body, 1500*time.Millisecond)
		w.rec("client gets for %s from %s: %s", id, n.id, a)
		if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(1300 * time.Millisecond) // resendMs
	}
}

// usualClient sends small jobs one after another.
func usualClient(w *world, number int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500*time.Millisecond + rand.N(500*time.Millisecond)):
		}
		id, n := newID(), w.choose("east", number)
		a := send(&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, n.front(), id, jobBody(step{count: 2, ms: 60, cpu: 1000}), 1500*time.Millisecond)
		w.rec("client %d gets for %s from %s: %s", number, id, n.id, a)
	}
}
