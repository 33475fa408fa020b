package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	rebornRounds = 6
	// downTime is how long the crashed worker is away, and settleTime how long after
	// its start the jobs come.
	downTime   = 500 * time.Millisecond
	settleTime = 100 * time.Millisecond
)

// playLabel lets an idle worker crash and start again under its id with the label of
// another kind, and submits jobs that require the first label.
func playLabel(w *world) error {
	w.onStart = func(k *worker, b *boot, task string, _ float64) {
		if b.label != "a" {
			w.violationLocked("ROUTE: %s requires the label a and starts on %s, whose label is %s since %s", task, k.id, b.label, time.Since(b.started).Round(time.Millisecond))
		}
	}
	return playReborn(w, true, kind{"a", 16000}, kind{"b", 16000}, step{count: 4, ms: 60, cpu: 7000, requires: "a"})
}

// playSize does the same with a smaller kind, of a service whose workers don't guard
// their capacity.
func playSize(w *world) error {
	w.onStart = func(k *worker, b *boot, task string, used float64) {
		if used > b.cpu {
			w.violationLocked("LIMIT: with %s, %.0f of %.0f cpu are used on %s, which started %s ago", task, used, b.cpu, k.id, time.Since(b.started).Round(time.Millisecond))
		}
	}
	return playReborn(w, false, kind{"a", 16000}, kind{"a", 4000}, step{count: 4, ms: 60, cpu: 7000})
}

func playReborn(w *world, guards bool, before, after kind, s step) error {
	w.configure(3, guards)
	w.addNodes(2, "east")
	if err := w.addWorkers(8, "east", guards, func(int) kind { return before }); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	send4 := func() {
		var work sync.WaitGroup
		for i := range 4 {
			work.Go(func() {
				id, n := newID(), w.nodes[i%len(w.nodes)]
				w.rec("client %d submits %s to %s", i, id, n.id)
				a := send(&http.Client{}, http.MethodPost, n.front(), id, jobBody(s), 5*time.Second)
				w.rec("client %d gets for %s: %s", i, id, a)
			})
		}
		work.Wait()
	}
	send4()
	for i := range rebornRounds {
		time.Sleep(3 * time.Second)
		if w.trouble {
			k := w.workers[i]
			k.crash()
			time.Sleep(downTime)
			if err := k.start(after); err != nil {
				return err
			}
			time.Sleep(settleTime)
		}
		send4()
	}
	return nil
}
