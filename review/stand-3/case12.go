package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The bounds of the sheets for cancels.
const (
	cancelTime = 3 * time.Second
	stopBound  = 50 * time.Millisecond
)

// playCancelElsewhere resets half of the connections of the instance that has taken the
// clients' requests, one of three. Their clients send the job again, which reaches another
// instance as retries do, and cancel it later on a new connection, which the platform
// forwards by the hash of the client: to the first instance.
func playCancelElsewhere(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(12, 16000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	const (
		clients  = 10
		duration = 2 * time.Second
		steps    = 6
	)
	var (
		mu     sync.Mutex
		broken []string
		wg     sync.WaitGroup
	)
	for i := range clients {
		wg.Go(func() {
			hashed, retried := s.nodes[0], s.nodes[1+i/2%2]
			id := jobID()
			var chain []step
			for k := range steps {
				st := step{Count: 1, CPU: 1000, MemMB: 64, EstimateMs: int(duration.Milliseconds())}
				if k > 0 {
					st.After = []int{k - 1}
				}
				chain = append(chain, st)
			}
			body := job(duration, 1000, "", chain...)
			ctx, leave := context.WithTimeout(context.Background(), 20*time.Second)
			defer leave()
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				var c *resettable
				if trouble && i%2 == 0 {
					c = &resettable{}
					time.AfterFunc(300*time.Millisecond, c.reset)
				}
				if a := hashed.sendOn(ctx, c, "POST", id, body, 20*time.Second); a.status == 0 && ctx.Err() == nil {
					time.Sleep(resendTime)
					retried.sendOn(ctx, nil, "POST", id, body, 20*time.Second)
				}
			}()
			time.Sleep(5 * time.Second) // longer than stableMs after the reset
			a := hashed.sendOn(ctx, nil, "DELETE", id, nil, 2*time.Second)
			cancelled := time.Now()
			if a.status/100 != 2 && a.status != http.StatusGone {
				return // not acknowledged
			}
			select {
			case <-answered:
			case <-time.After(cancelTime + 4*time.Second):
			}
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, s.observer.afterCancel(id, cancelled, a.status)...)
		})
	}
	wg.Wait()
	return broken, nil
}

// afterCancel returns the starts of a job's tasks later than cancel_ms after the cancel was
// acknowledged, and the tasks that ran stopMs later.
func (o *observer) afterCancel(id string, cancelled time.Time, status int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var broken []string
	for _, at := range o.startedAt[id] {
		if d := at.Sub(cancelled); d > cancelTime {
			broken = append(broken, fmt.Sprintf("UNASKED: a task of job %s starts %d ms after its cancel was acknowledged with %d", id, d.Milliseconds(), status))
		}
	}
	for task, runs := range o.running {
		if jobOf(task) != id {
			continue
		}
		for _, r := range runs {
			if d := time.Since(cancelled); d > cancelTime+stopBound {
				broken = append(broken, fmt.Sprintf("UNASKED: %s still runs on %s %d ms after the cancel of its job was acknowledged with %d", task, r.worker, d.Milliseconds(), status))
			}
		}
	}
	return broken
}

// resettable is a client's connection that the network resets.
type resettable struct {
	mu    sync.Mutex
	conn  *net.TCPConn
	ended bool
}

func (c *resettable) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn.(*net.TCPConn)
	return conn, nil
}

func (c *resettable) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.ended {
		c.ended = true
		_ = c.conn.SetLinger(0)
		_ = c.conn.Close()
	}
}
