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

// playStop rolls the instances: each gets SIGTERM in turn and is started again. Clients
// with long pauses keep their connections open meanwhile.
func playStop(w *world) error {
	const clients = 960
	zones := []string{"east", "west"}
	w.configure(3, true)
	for _, z := range zones {
		w.addNodes(3, z)
		if err := w.addWorkers(6, z, true, func(int) kind { return kind{"a", 16000} }); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	go w.balance()
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range clients {
		work.Go(func() { stopClient(w, zones[i%len(zones)], i, stop) })
	}
	time.Sleep(7 * time.Second)
	for _, n := range w.nodes {
		if !w.trouble {
			time.Sleep(8 * time.Second)
			continue
		}
		n.signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(6 * time.Second): // graceS
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		time.Sleep(300 * time.Millisecond)
		if err := n.start(false); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	work.Wait()
	return nil
}

// stopClient sends a job every five to seven seconds over its own connection, which it
// keeps while the instance does.
func stopClient(w *world, zone string, number int, stop chan struct{}) {
	pause := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	if !pause(rand.N(6 * time.Second)) {
		return
	}
	// A new connection goes to the instance that the balancer chooses then.
	var at *node
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		at = w.choose(zone, number)
		return (&net.Dialer{}).DialContext(ctx, network, at.front())
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 14 * time.Second, DialContext: dial}}
	for {
		id, body := newID(), jobBody(step{count: 2, ms: 40, cpu: 1000})
		for try := 1; ; try++ {
			sentAt := time.Now()
			w.rec("client %d sends %s, try %d", number, id, try)
			a := send(c, http.MethodPost, "front.example", id, body, 1500*time.Millisecond)
			w.rec("client %d gets for %s from %s: %s", number, id, at.id, a)
			if a.err != nil {
				judgeCut(w, at, id, sentAt, a)
			}
			if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
				break
			}
			if !pause(1300 * time.Millisecond) {
				return
			}
		}
		if !pause(5*time.Second + rand.N(2*time.Second)) {
			return
		}
	}
}

// judgeCut checks a connection that has ended without a complete answer: the rule is
// broken if the instance had passed the request on to a worker since it was sent.
func judgeCut(w *world, n *node, id string, sentAt time.Time, a answer) {
	for _, s := range w.startsOf(id) {
		if s.at.After(sentAt) {
			w.violation("LOST: %s was passed on (%s run %d on %s, %s after it was sent to %s), and its connection ended %s after it was sent without an answer: %v",
				id, s.task, s.run, s.worker, s.at.Sub(sentAt).Round(time.Millisecond), n.id, time.Since(sentAt).Round(time.Millisecond), a.err)
			return
		}
	}
}
