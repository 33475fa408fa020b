package main

import (
	"net/http"
	"sync"
	"time"
)

// cancelTime is the bound cancel_ms of the settings.
const cancelTime = 3 * time.Second

// playCancel lets clients cancel jobs that are at work. Before that, the connection of
// the submission is reset, so that the client submits the job again, at another instance.
func playCancel(w *world) error {
	w.configure(3, true)
	w.addNodes(3, "east")
	if err := w.addWorkers(6, "east", true, func(int) kind { return kind{"a", 16000} }); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	go w.balance()
	var work sync.WaitGroup
	for client := range 6 {
		work.Go(func() { cancelClient(w, client) })
	}
	work.Wait()
	return nil
}

func cancelClient(w *world, client int) {
	time.Sleep(time.Duration(client) * 300 * time.Millisecond)
	id := newID()
	body := jobBody(step{count: 2, ms: 5000, cpu: 1000}, step{count: 2, ms: 500, cpu: 1000})
	hashed := w.choose("east", client) // the instance that gets the client's connections
	answers := make(chan answer, 1)
	submit := func(address string, n *node) {
		w.rec("client %d submits %s to %s", client, id, n.id)
		a := send(&http.Client{}, http.MethodPost, address, id, body, 15*time.Second)
		w.rec("client %d: the answer of %s to %s is %s", client, n.id, id, a)
		answers <- a
	}
	if w.trouble {
		p, err := newResetProxy(hashed.front(), 300*time.Millisecond)
		if err != nil {
			w.rec("proxy: %v", err)
			return
		}
		submit(p, hashed)
		<-answers
		time.Sleep(1300 * time.Millisecond) // resendMs
		other := hashed
		for n := client; other == hashed; n++ { // retries reach other instances
			other = w.choose("east", n)
		}
		go submit(other.front(), other)
	} else {
		go submit(hashed.front(), hashed)
	}
	time.Sleep(700 * time.Millisecond)
	a := send(&http.Client{}, http.MethodDelete, hashed.front(), id, nil, 0)
	ackedAt := time.Now()
	w.rec("client %d cancels %s at %s and gets %s", client, id, hashed.id, a)
	if a.err != nil || a.status/100 != 2 && a.status != http.StatusGone {
		w.rec("client %d: the cancelling has no acknowledgement", client)
		return
	}
	<-answers
	time.Sleep(300 * time.Millisecond)
	for _, s := range w.startsOf(id) {
		if late := s.at.Sub(ackedAt); late > cancelTime {
			w.violation("UNASKED: %s starts on %s %s after the cancelling of %s was acknowledged with %d", s.task, s.worker, late.Round(time.Millisecond), id, a.status)
		}
	}
}
