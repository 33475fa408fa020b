package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	host      = "nony24.example"
	prefix    = "/lohu930/"
	frontPort = 8161
	readyPort = 8167
	controlPt = 8166
	peerPort  = 7720
	storePort = 8169
	metrics   = 9464
	workPort  = 8080
)

// zones are those of the users' sheet for Haskell & Tibbetts, with the number of
// instances in each.
var zones = []struct {
	name      string
	instances int
}{{"worcester", 3}, {"hartford", 2}, {"portland", 1}}

type (
	// site is a small deployment on loopback: the instances are processes of their own,
	// the store, the workers and the clients are stand-ins.
	site struct {
		dir, binary string
		net         string
		record      *record
		store       *store
		workers     []*worker
		nodes       []*node
	}

	node struct {
		id, zone, ip string
		site         *site
		process      *exec.Cmd
		ended        chan struct{}
	}
)

// newSite returns a site without workers and instances, on a network of its own.
func newSite(binary string, r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, binary: binary, record: r, store: newStore()}
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		if s.free() {
			break
		}
	}
	l, err := net.Listen("tcp", s.at(200, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s.store) }()
	for _, z := range zones {
		for i := range z.instances {
			s.nodes = append(s.nodes, &node{id: fmt.Sprintf("edge-%s-%d", z.name, i+1), zone: z.name, ip: s.net + strconv.Itoa(len(s.nodes)+1), site: s})
		}
	}
	return s, nil
}

func (s *site) at(last, port int) string {
	return s.net + strconv.Itoa(last) + ":" + strconv.Itoa(port)
}

// free reports whether the ports of the first instance and of the store are free.
func (s *site) free() bool {
	for _, a := range []string{s.at(1, frontPort), s.at(1, readyPort), s.at(1, metrics), s.at(1, peerPort), s.at(200, storePort), s.at(50, workPort)} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addWorker adds a worker and starts it.
func (s *site) addWorker(zone, rack, kind string, cpu int, guards bool) (*worker, error) {
	n := len(s.workers)
	w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), address: s.at(50+n, workPort), zone: zone, rack: rack, service: "huvo11a", guards: guards, record: s.record, store: s.store}
	s.workers = append(s.workers, w)
	return w, w.start(kind, cpu)
}

// configure writes the operator's configuration: one queue, with the users' figures.
func (s *site) configure(version int, guards bool) {
	s.store.put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"prefix":%q,"kind":"unsafe","timeoutMs":1500,"targetLatencyMs":60,"priority":0,"service":"huvo11a","attempts":2,"slackFactor":1.6}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":%t,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, host, prefix, guards))
}

// configureOther writes a configuration whose only queue has another prefix.
func (s *site) configureOther(version int) {
	s.store.put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-73d3zji","host":%q,"prefix":"/pufi791/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":60,"priority":0,"service":"huvo11a","attempts":2,"slackFactor":1.6}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, host))
}

// startNodes starts all instances and waits until they are ready and have settled.
func (s *site) startNodes() error {
	for _, n := range s.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("instance %s is not ready", n.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(10 * time.Second) // as on the users' days, traffic starts 10 s after the machines
	return nil
}

// start starts the instance with the command of the deploy file.
func (n *node) start(first bool) error {
	s := n.site
	settings := filepath.Join(s.dir, n.id+".yaml")
	text := fmt.Sprintf(`node: %q
role: "dispatcher"
class: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "new-england"
zones: {worcester: "new-england", hartford: "new-england", portland: "new-england"}
listen: {front: "%s:%d", ready: "%s:%d", control: "%s:%d"}
internalPorts: [%d, 7735]
seeds: []
bootstrap: %t
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
bounds: {stableMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, holdMaxMs: 1000, stopMs: 50, cancel_ms: 3000, visible_ms: 3000, leaseMs: 3000, resendMs: 1300}
orders: "invoke"
platform: {addr: %q, form: "table", writesPerS: 600, readsPerS: 2000, txMs: 5.0, partitionWritesS: 200, rowBytes: 65536, across: false, historyS: 20}
`, n.id, n.ip, n.zone, n.ip, frontPort, n.ip, readyPort, n.ip, controlPt, peerPort, first, s.at(200, storePort))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.binary, "join")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGECRANK_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process, n.ended = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(n.ended)
	}()
	s.record.logf("instance %s starts at %s:%d", n.id, n.ip, frontPort)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	if n.process != nil {
		_ = n.process.Process.Signal(sig)
	}
}

func (n *node) front() string { return n.ip + ":" + strconv.Itoa(frontPort) }

// exited reports whether the process has ended.
func (n *node) exited() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

func (n *node) ready() bool { return n.readyIn(300 * time.Millisecond) }

func (n *node) readyIn(limit time.Duration) bool {
	client := http.Client{Timeout: limit}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes, and removes the folder unless REVIEW_KEEP is set.
func (s *site) close() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		if n.ended != nil {
			<-n.ended
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// body returns the body of the job's submission.
func (j *job) body() []byte {
	data, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("work for %d ms", j.ms), "bestEffort": true, "steps": j.steps})
	return data
}

func newJob(r *record, ms int, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), ms: ms, steps: steps}
	r.addJob(j)
	return j
}

// errNoAnswer means that a request got no complete answer.
var errNoAnswer = errors.New("no answer")

// call sends one request on a connection of its own and returns the answer.
func (s *site) call(method, address, id string, body []byte, deadline time.Duration) (status int, text string, err error) {
	return s.callFor(method, address, id, body, deadline, deadline)
}

// callFor is like call, but the connection breaks after the given time.
func (s *site) callFor(method, address, id string, body []byte, deadline, breaks time.Duration) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), breaks)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s.record.logf("client sends %s %s to %s", method, id, address)
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		if data, err = io.ReadAll(resp.Body); err == nil {
			s.record.logf("client gets %d %s for %s %s", resp.StatusCode, data, method, id)
			return resp.StatusCode, string(data), nil
		}
	}
	s.record.logf("client gets no answer for %s %s: %v", method, id, err)
	return 0, "", errNoAnswer
}
