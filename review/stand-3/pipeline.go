package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// resendTime is how long after a request without an answer its client sends it again;
// resendMs of the sheets.
const resendTime = 1300 * time.Millisecond

// pipelined are the jobs that a client sends on one connection, the second one before it
// has the answer to the first.
type pipelined struct {
	ids    []string
	bodies []string
}

// send sends the jobs to an instance and returns how many are answered. If cut is not zero,
// the network resets the connection after that time.
func (p pipelined) send(n *node, cut time.Duration) (answered int) {
	conn, err := net.Dial("tcp", n.ip+":8161")
	if err != nil {
		n.site.record.write("no connection to %s", n.id)
		return 0
	}
	defer conn.Close()
	for i, id := range p.ids {
		if i > 0 {
			time.Sleep(50 * time.Millisecond)
		}
		n.site.record.write("send     POST %s to %s", id, n.id)
		text := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: 12000\r\nContent-Length: %d\r\n\r\n%s", prefix, id, host, len(p.bodies[i]), p.bodies[i])
		if _, err := conn.Write([]byte(text)); err != nil {
			return 0
		}
	}
	if cut > 0 {
		time.AfterFunc(cut, func() {
			n.site.record.write("reset    the connection with POST %s at %s", p.ids[0], n.id)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
	}
	in := bufio.NewReader(conn)
	for _, id := range p.ids {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			n.site.record.write("no answer to POST %s at %s: the connection is broken", id, n.id)
			return answered
		}
		body := make([]byte, 4096)
		k, _ := resp.Body.Read(body)
		_ = resp.Body.Close()
		n.site.record.write("answer   POST %s at %s: %d %s", id, n.id, resp.StatusCode, strings.TrimSpace(string(body[:k])))
		answered++
	}
	return answered
}

// playPipelined lets clients send two jobs each on one connection of their own, the second
// one 50 ms after the first. The connections of half of the clients at one of three instances are reset; these
// clients send their jobs again to another instance.
func playPipelined(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(16, 32000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester", "worcester"); err != nil {
		return nil, err
	}
	const duration = 3600 * time.Millisecond
	var wg sync.WaitGroup
	for i := range 10 {
		var p pipelined
		for range 2 {
			body, err := json.Marshal(job(duration, 2000, "", step{Count: 1, CPU: 2000, MemMB: 64, EstimateMs: int(duration.Milliseconds())}))
			if err != nil {
				return nil, err
			}
			p.ids, p.bodies = append(p.ids, jobID()), append(p.bodies, string(body))
		}
		wg.Go(func() {
			cut := time.Duration(0)
			if trouble && i%2 == 0 {
				cut = 300 * time.Millisecond
			}
			n := p.send(s.nodes[0], cut)
			if n < len(p.ids) {
				time.Sleep(resendTime)
				pipelined{p.ids[n:], p.bodies[n:]}.send(s.nodes[1+i/2%2], 0)
			}
		})
	}
	wg.Wait()
	return s.observer.runsTwice(), nil
}
