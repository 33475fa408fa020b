package main

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: instances as processes of their own, and stand-ins of
// the platform, the workers and the clients in this process. All addresses are loopback
// addresses of one network, which is drawn for each run.
type world struct {
	net, dir string
	trouble  bool
	// mode is the value of TROUBLE.
	mode    string
	started time.Time
	store   *store
	workers []*worker
	nodes   []*node

	mu      sync.Mutex
	record  *os.File
	runs    map[string]map[string]int64 // running now, by task and worker
	starts  map[string][]startRecord    // by job
	broken  []string
	onStart func(k *worker, b *boot, task string, used float64)
	late    *lateStart
}

type startRecord struct {
	at           time.Time
	task, worker string
	run          int64
}

type node struct {
	w        *world
	id, zone string
	ip       string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	misses  int
	open    bool // in the balancer's rotation
}

func newWorld() (*world, error) {
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", mode: os.Getenv("TROUBLE"), started: time.Now(), store: newStore(), record: record,
		runs: map[string]map[string]int64{}, starts: map[string][]startRecord{},
	}
	for range 100 {
		w.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", w.net+"200:8169")
		if err != nil {
			continue
		}
		_ = l.Close()
		return w, w.store.listen(w.net + "200:8169")
	}
	return nil, fmt.Errorf("no free loopback network")
}

// rec writes a line to the record.
func (w *world) rec(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recLocked(format, args...)
}

func (w *world) recLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// violation records that the rule was broken.
func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violationLocked(format, args...)
}

func (w *world) violationLocked(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
	w.recLocked("BROKEN: "+format, args...)
}

// start records that a worker has begun a run.
func (w *world) start(k *worker, b *boot, o order, used float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recLocked("worker %s starts %s run %d token %d (label %s, %.0f of %.0f cpu)", k.id, o.Task, o.Run, o.FencingToken, b.label, used, b.cpu)
	for other, n := range w.runs[o.Task] {
		w.violationLocked("TWICE: run %d of %s starts on %s while run %d is at work on %s", o.Run, o.Task, k.id, n, other)
	}
	if w.runs[o.Task] == nil {
		w.runs[o.Task] = map[string]int64{}
	}
	w.runs[o.Task][k.id] = o.Run
	job, _, _ := strings.Cut(o.Task, ".")
	w.starts[job] = append(w.starts[job], startRecord{time.Now(), o.Task, k.id, o.Run})
	if w.onStart != nil {
		w.onStart(k, b, o.Task, used)
	}
}

// end records that a run has ended.
func (w *world) end(worker, task string, run int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recLocked("worker %s ends %s run %d: %s", worker, task, run, how)
	delete(w.runs[task], worker)
}

func (w *world) startsOf(job string) []startRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]startRecord(nil), w.starts[job]...)
}

// addWorkers starts n workers in a zone.
func (w *world) addWorkers(n int, zone string, guards bool, kd func(i int) kind) error {
	for i := range n {
		number := len(w.workers)
		k := &worker{w: w, id: fmt.Sprintf("i-%04d", number), address: w.net + strconv.Itoa(50+number) + ":8080", zone: zone, rack: "r1-" + strconv.Itoa(i/6), guards: guards}
		if err := k.start(kd(i)); err != nil {
			return err
		}
		w.workers = append(w.workers, k)
	}
	return nil
}

// configure writes the config. Its queue has a timeout of ten seconds.
func (w *world) configure(version int, guards bool) {
	w.store.put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-pay","host":"desk.example","prefix":"/pay/","kind":"unsafe","timeoutMs":10000,"targetLatencyMs":60,"priority":0,"service":"desk","attempts":3,"slackFactor":1.6}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":%t,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, guards))
	w.rec("operator: config %d is acknowledged", version)
}

// addNodes adds instances in a zone, which are started by startAll.
func (w *world) addNodes(n int, zone string) {
	for range n {
		number := len(w.nodes) + 1
		w.nodes = append(w.nodes, &node{w: w, id: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: w.net + strconv.Itoa(number)})
	}
}

func (n *node) start(first bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	settings := filepath.Join(n.w.dir, n.id+".yaml")
	text := fmt.Sprintf(`node: %q
role: "dispatcher"
class: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "home"
listen: {front: "%s:8161", ready: "%s:8167"}
internalPorts: [7720, 7735]
bootstrap: %t
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100}
heartbeatMs: 1500
orders: "invoke"
bounds: {stableMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxExtensionMs: 5000, recoveryS: 12, holdMaxMs: 1000, stopMs: 50, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, leaseMs: 3000, resendMs: 1300}
platform: {addr: "%s200:8169", form: "table", writesPerS: 600, readsPerS: 2000, txMs: 5.0}
`, n.id, n.ip, n.zone, n.ip, n.ip, first, n.w.net)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Getenv("LOVAGECRANK"), "join")
	cmd.Env = append(os.Environ(), "LOVAGECRANK_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = cmd, exited
	n.w.rec("instance %s started", n.id)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		n.w.rec("instance %s ended: %s", n.id, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.rec("instance %s gets %s", n.id, s)
	_ = n.process.Process.Signal(s)
}

func (n *node) hasExited() bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

func (n *node) front() string { return n.ip + ":8161" }

func (n *node) probe() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + n.ip + ":8167/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startAll starts all instances and waits until they are ready and have had time to
// claim the workers.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, n := range w.nodes {
		for !n.probe() {
			if time.Now().After(end) {
				return fmt.Errorf("instance %s is not ready", n.id)
			}
			time.Sleep(100 * time.Millisecond)
		}
		n.open = true
	}
	time.Sleep(4 * time.Second)
	return nil
}

// balance probes the instances once per second, as the platform does.
func (w *world) balance() {
	for {
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			go func() {
				ok := n.probe()
				n.mu.Lock()
				defer n.mu.Unlock()
				if ok {
					n.misses, n.open = 0, true
				} else if n.misses++; n.misses >= 2 {
					n.open = false
				}
			}()
		}
	}
}

// choose returns the instance to which the platform forwards a new connection.
func (w *world) choose(zone string, client int) *node {
	var in, all, others []*node
	for _, n := range w.nodes {
		n.mu.Lock()
		open := n.open
		n.mu.Unlock()
		if n.zone == zone {
			all = append(all, n)
			if open {
				in = append(in, n)
			}
		} else if open {
			others = append(others, n)
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		return others[client%len(others)]
	case 2*len(in) < len(all):
		return all[client%len(all)]
	}
	return in[client%len(in)]
}

// job is a job that a client submits. steps have a number of tasks, a run time in
// milliseconds and thousandths of a core each; each step comes after the one before.
type step struct {
	count, ms, cpu int
	// estimate is the estimate in milliseconds; zero means ms.
	estimate int
	requires string
}

func jobBody(steps ...step) []byte {
	var list []string
	for i, s := range steps {
		text := fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d`, s.count, s.cpu, cmp.Or(s.estimate, s.ms))
		if s.requires != "" {
			text += fmt.Sprintf(`,"requires":%q`, s.requires)
		}
		if i > 0 {
			text += fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		list = append(list, text+"}")
	}
	return fmt.Appendf(nil, `{"spec":"%d %d","steps":[%s],"bestEffort":true}`, steps[0].ms, steps[0].cpu, strings.Join(list, ","))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client sees of a request.
type answer struct {
	status int
	body   string
	closes bool
	err    error
}

// send sends a request over the client's connections and returns the answer.
func send(c *http.Client, method, address, id string, body []byte, deadline time.Duration) answer {
	r, err := http.NewRequest(method, "http://"+address+"/pay/"+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.GetBody = nil // the transport must not send it again by itself
	r.Host = "desk.example"
	r.Header.Set("Content-Type", "application/json")
	if deadline > 0 {
		r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	resp, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(data)), closes: resp.Close, err: err}
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// finish ends all processes and returns the exit code.
func (w *world) finish() int {
	for _, n := range w.nodes {
		if n.process != nil && !n.hasExited() {
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.Rename(w.dir, dir)
	}
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recLocked("violations: %d", len(w.broken))
	if len(w.broken) == 0 {
		fmt.Println("the rule held")
		return 0
	}
	fmt.Printf("the rule was broken %d times; the first: %s\n", len(w.broken), w.broken[0])
	return 1
}
