package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	twiceRounds = 5
	// freezeTime is how long each of the two instances stands still, and freezeGap how
	// long after the first one the second one begins to.
	freezeTime = 3 * time.Second
	freezeGap  = 900 * time.Millisecond
	// timeLimit is how long a client waits for an answer, and resendTime the bound
	// resendMs of the settings.
	timeLimit  = time.Second
	resendTime = 1300 * time.Millisecond
)

// playTwice freezes two of four instances, the second one a little later than the first
// one. Half of the tasks take three times their estimate.
func playTwice(w *world) error {
	w.configure(3, true)
	w.addNodes(1, "west")
	w.addNodes(3, "east")
	if err := w.addWorkers(2, "west", true, func(int) kind { return kind{"a", 16000} }); err != nil {
		return err
	}
	if err := w.addWorkers(18, "east", true, func(int) kind { return kind{"a", 16000} }); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	go w.balance()
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 160 {
		work.Go(func() { twiceClient(w, i, stop) })
	}
	time.Sleep(3 * time.Second)
	for i := range twiceRounds {
		var frozen sync.WaitGroup
		if w.trouble {
			frozen.Go(w.nodes[0].freeze)
		}
		time.Sleep(freezeGap)
		if w.trouble && w.mode != "one" {
			frozen.Go(w.nodes[1+i%3].freeze)
		}
		time.Sleep(freezeTime)
		frozen.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	work.Wait()
	return nil
}

func (n *node) freeze() {
	n.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	n.signal(syscall.SIGCONT)
}

// twiceClient sends jobs one after another. After no response it sends a job again, to
// another instance.
func twiceClient(w *world, number int, stop chan struct{}) {
	time.Sleep(rand.N(2 * time.Second))
	retry := 0
	var at *node
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		at = w.choose("west", number)
		if retry > 0 {
			at = w.nodes[1+(number+retry)%3]
		}
		return (&net.Dialer{}).DialContext(ctx, network, at.front())
	}
	for {
		c := &http.Client{Timeout: timeLimit, Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
		s := step{count: 1, ms: 600 + rand.IntN(200), cpu: 1000, estimate: 800}
		if rand.IntN(2) == 0 {
			s.ms = 2390
		}
		id, body := newID(), jobBody(s)
		for retry = 0; retry < 2; retry++ {
			a := send(c, http.MethodPost, "front.example", id, body, timeLimit)
			w.rec("client %d gets for %s from %s, try %d: %s", number, id, at.id, retry+1, a)
			if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
				break
			}
			time.Sleep(resendTime)
		}
		retry = 0
		select {
		case <-stop:
			return
		case <-time.After(rand.N(500 * time.Millisecond)):
		}
	}
}
