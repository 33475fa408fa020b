package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "payment-desk"
	host    = "desk.example"
	prefix  = "/filing-pay/"
)

type (
	// site is a small deployment: instances, workers and the store.
	site struct {
		record   *record
		observer *observer
		store    *store
		network  string
		dir      string
		nodes    []*node
		workers  []*worker
	}

	// node is one instance.
	node struct {
		site     *site
		id, zone string
		ip       string

		mu      sync.Mutex
		process *exec.Cmd
		ended   chan struct{}
	}

	// answer is what a client got for a request. The status is zero if it got none.
	answer struct {
		status int
		body   string
	}
)

// newSite finds a free network on loopback and starts the store.
func newSite(r *record) (*site, error) {
	if _, err := os.Stat("target/lovagecrank"); err != nil {
		return nil, fmt.Errorf("%w; build first, and run this in the root of the repository", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, observer: newObserver(r), dir: dir}
	for range 20 {
		s.network = fmt.Sprintf("127.%d.%d.", 1+rand.N(250), 1+rand.N(250))
		if s.store, err = newStore(s.at(200, 8169)); err == nil {
			return s, nil
		}
	}
	return nil, err
}

func (s *site) at(host, port int) string { return fmt.Sprintf("%s%d:%d", s.network, host, port) }

// configure writes a configuration with one queue to the store.
func (s *site) configure(version int, enforcesCapacity bool) {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "filing-pay", "host": host, "prefix": prefix, "kind": "unsafe", "timeoutMs": 20000, "targetLatencyMs": 60,
			"priority": 0, "service": service, "attempts": 4, "slackFactor": 1.6,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": enforcesCapacity, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.put("op", "config", data)
}

// addWorkers starts a number of workers in the zones in turn.
func (s *site) addWorkers(count, cpu int, labels []string, zones ...string) error {
	for range count {
		i := len(s.workers)
		w := &worker{
			id: fmt.Sprintf("i-%02d", i), address: s.at(50+i, 8000), zone: zones[i%len(zones)], service: service,
			store: s.store, observer: s.observer, cpu: cpu, labels: labels,
		}
		if err := w.start(); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

// addNodes starts an instance in each of the zones.
func (s *site) addNodes(zones ...string) error {
	for i, z := range zones {
		n := &node{site: s, id: fmt.Sprintf("edge-%s-%d", z, i+1), zone: z, ip: fmt.Sprintf("%s%d", s.network, 1+i)}
		s.nodes = append(s.nodes, n)
		if err := n.start(i == 0 || len(s.nodes) <= len(zones)); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// awaitReady waits until all instances are ready and the workers have been claimed.
func (s *site) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return errors.New("the instances are not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // stableMs and more
	return nil
}

func (n *node) start(bootstrap bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	settings := filepath.Join(n.site.dir, n.id+".yaml")
	text := fmt.Sprintf(`node: %q
role: "dispatcher"
class: "edge"
serves: ["edge"]
ip: %q
zone: %q
listen: {front: "%s:8161", ready: "%s:8167"}
internalPorts: [7720, 7735]
bootstrap: %v
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
faultTolerance: {machines: 2, zones: 1, regions: 0}
bounds: {stableMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, holdMaxMs: 1000, stopMs: 50, cancel_ms: 3000, resendMs: 1300}
orders: "invoke"
platform: {addr: %q, form: "table", writesPerS: 600, readsPerS: 2000}
`, n.id, n.ip, n.zone, n.ip, n.ip, bootstrap, n.site.at(200, 8169))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.site.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), "target/lovagecrank", "join")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.site.dir, "LOVAGECRANK_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	n.site.record.write("process  %s begins at %s", n.id, n.ip)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.site.record.write("signal   %s gets %v", n.id, sig)
	_ = n.process.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Kill()
	select {
	case <-n.ended:
	case <-time.After(5 * time.Second):
	}
}

func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + n.ip + ":8167/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// log returns the lines of the instance's log that contain the text.
func (n *node) log(text string) []string {
	data, _ := os.ReadFile(filepath.Join(n.site.dir, n.id+".log"))
	var lines []string
	for l := range strings.Lines(string(data)) {
		if strings.Contains(l, text) {
			lines = append(lines, strings.TrimSpace(l))
		}
	}
	return lines
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *site) close() {
	for _, n := range s.nodes {
		if n.process != nil {
			n.kill()
		}
	}
	for _, w := range s.workers {
		w.crash()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// jobID returns a new ID of a job.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request of a client on a connection of its own. The client leaves when
// the context ends: it closes the connection.
func (n *node) send(ctx context.Context, method, id string, body any, deadline time.Duration) answer {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	return n.sendText(ctx, method, id, string(data), deadline)
}

// sendText is like send, with the text of the body; it may be empty.
func (n *node) sendText(ctx context.Context, method, id, body string, deadline time.Duration) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":8161"+prefix+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	n.site.record.write("send     %s %s to %s", method, id, n.id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		n.site.record.write("no answer to %s %s at %s: %s", method, id, n.id, errors.Unwrap(err))
		return answer{}
	}
	defer resp.Body.Close()
	text := make([]byte, 4096)
	k, _ := resp.Body.Read(text)
	n.site.record.write("answer   %s %s at %s: %d %s", method, id, n.id, resp.StatusCode, strings.TrimSpace(string(text[:k])))
	return answer{resp.StatusCode, string(text[:k])}
}

// step is one step of a job.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"memMb"`
	EstimateMs int    `json:"estimateMs"`
	After      []int  `json:"after,omitempty"`
	Requires   string `json:"requires,omitempty"`
	Spread     int    `json:"antiAffinity,omitempty"`
}

// job returns the body of a job that need not be kept, whose tasks take the given time
// and cores in thousandths.
func job(d time.Duration, cpu int, label string, steps ...step) map[string]any {
	spec := strings.TrimSpace(fmt.Sprintf("%d %d %s", d.Milliseconds(), cpu, label))
	return map[string]any{"spec": spec, "steps": steps, "bestEffort": true}
}
