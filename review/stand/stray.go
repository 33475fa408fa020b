package main

import (
	"net/http"
	"sync"
	"time"
)

// strayTime is how long after the answer the request arrives again.
const strayTime = 3500 * time.Millisecond

// playStray lets clients cancel jobs that are at work. The submission arrives again a
// few seconds after it was answered.
func playStray(w *world) error {
	w.configure(3, true)
	w.addNodes(3, "east")
	if err := w.addWorkers(6, "east", true, func(int) kind { return kind{"a", 16000} }); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var work sync.WaitGroup
	for client := range 6 {
		work.Go(func() { strayClient(w, client) })
	}
	work.Wait()
	return nil
}

func strayClient(w *world, client int) {
	time.Sleep(time.Duration(client) * 300 * time.Millisecond)
	id, n := newID(), w.nodes[client%len(w.nodes)]
	answers := make(chan answer, 1)
	submit := func(n *node) {
		w.rec("client %d: the submission of %s arrives at %s", client, id, n.id)
		a := send(&http.Client{}, http.MethodPost, n.front(), id, jobBody(step{count: 2, ms: 2000, cpu: 1000}), 10*time.Second)
		w.rec("client %d: the answer of %s to %s is %s", client, n.id, id, a)
		answers <- a
	}
	go submit(n)
	time.Sleep(700 * time.Millisecond)
	a := send(&http.Client{}, http.MethodDelete, n.front(), id, nil, 0)
	ackedAt := time.Now()
	w.rec("client %d cancels %s at %s and gets %s", client, id, n.id, a)
	if first := <-answers; a.err != nil || a.status != http.StatusOK || first.err != nil || first.status != http.StatusOK {
		w.rec("client %d: the job was not cancelled in time", client)
		return
	}
	time.Sleep(strayTime)
	if w.trouble {
		if client%2 == 1 {
			n = w.nodes[(client+1)%len(w.nodes)]
		}
		submit(n)
	}
	for _, s := range w.startsOf(id) {
		if late := s.at.Sub(ackedAt); late > cancelTime {
			w.violation("UNASKED: %s starts on %s %s after the cancelling of %s was acknowledged with %d", s.task, s.worker, late.Round(time.Millisecond), id, a.status)
		}
	}
}
