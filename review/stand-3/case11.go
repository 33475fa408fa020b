package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// resendTime is how long after the end of a request without an answer the client
	// sends it again; resendMs on the users' sheets.
	resendTime = 1300 * time.Millisecond
	// freezeTime is how long a frozen machine stands still, and freezeGap how long
	// after the first one the second one freezes.
	freezeTime = 4 * time.Second
	freezeGap  = 800 * time.Millisecond
)

// playLostHomeAndHolder freezes the instance that has taken the requests and then
// another one that runs some of their tasks. Two clients in five leave within 900 ms and
// send their jobs again 1.3 s later, to the other instances.
func playLostHomeAndHolder(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(24, 16000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	home, holder, others := s.nodes[0], s.nodes[1], s.nodes[2:]
	const (
		clients  = 50
		duration = 3600 * time.Millisecond // the longest of the sheet's filing-pay
	)
	var wg sync.WaitGroup
	for i := range clients {
		leavesAfter := 10 * time.Second
		if i%5 < 2 {
			leavesAfter = 420*time.Millisecond + time.Duration(i)*9*time.Millisecond // within 900 ms
		}
		wg.Go(func() {
			id, body := jobID(), job(duration, 4000, "", step{Count: 1, CPU: 4000, MemMB: 64, EstimateMs: 3600})
			ctx, leave := context.WithTimeout(context.Background(), leavesAfter)
			a := home.send(ctx, "POST", id, body, 10*time.Second)
			leave()
			for try := 0; a.status == 0 || a.status == 502 || a.status == 504; try++ {
				if try == 3 {
					return
				}
				time.Sleep(resendTime)
				ctx, leave := context.WithTimeout(context.Background(), 10*time.Second)
				a = others[(i+try)%len(others)].send(ctx, "POST", id, body, 10*time.Second)
				leave()
			}
		})
	}
	if trouble {
		time.Sleep(400 * time.Millisecond)
		home.signal(syscall.SIGSTOP)
		time.Sleep(freezeGap)
		holder.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime - freezeGap)
		home.signal(syscall.SIGCONT)
		time.Sleep(freezeGap)
		holder.signal(syscall.SIGCONT)
	}
	wg.Wait()
	return s.observer.runsTwice(), nil
}
