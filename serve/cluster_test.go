package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/settings"
	"github.com/lovagecrank/lovagecrank/standin"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/store"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/lovagecrank/lovagecrank/team"
)

// testTimeout limits a request, each wait for a condition and the end of an
// instance.
const testTimeout = 20 * time.Second

type (
	// cluster holds instances, endpoints and a platform, all on loopback.
	cluster struct {
		t         *testing.T
		platform  *standin.Platform
		endpoints []*standin.Endpoint
		instances []*runningInstance
	}

	runningInstance struct {
		addresses Addresses
		// stop begins a planned stop; kill forces it, so that the instance
		// ends at once.
		stop, kill context.CancelFunc
		// done receives the result of Run.
		done chan error
	}

	taskReply struct {
		TaskID string          `json:"task_id"`
		State  string          `json:"state"`
		Answer json.RawMessage `json:"answer"`
	}

	jobReply struct {
		Status       int
		SubmissionID string      `json:"submission_id"`
		State        string      `json:"state"`
		Error        errorReply  `json:"error"`
		Tasks        []taskReply `json:"tasks"`
	}

	errorReply struct {
		Kind   string `json:"kind"`
		Remedy string `json:"remedy"`
	}
)

func addressOfServer(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// newCluster starts the given numbers of endpoints and instances in one data
// centre and waits until all instances accept jobs.
func newCluster(t *testing.T, endpoints, instances int) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: standin.NewPlatform(standin.PlatformOptions{})}
	server := httptest.NewServer(c.platform)
	t.Cleanup(server.Close)
	c.configure(addressOfServer(server))
	for i := range endpoints {
		c.addEndpoint(i)
	}
	for i := range instances {
		c.addInstance(fmt.Sprintf("entry-%d", i), addressOfServer(server))
	}
	for _, n := range c.instances {
		c.waitUntil("ready", func() bool { return c.get(n, "/readyz").Status == http.StatusOK })
	}
	return c
}

// configure writes a configuration with the classes and teams of the tests to
// the platform.
func (c *cluster) configure(address netip.AddrPort) {
	d := configuration.Document{
		Version:  1,
		ChangeID: "first",
		Classes: []class.Class{
			{Name: "urgent", Target: time.Second},
			{Name: "payment", Target: 5 * time.Second, DurableAnswers: true},
		},
		Teams: []team.Team{{Name: "clerks"}},
	}
	value, err := d.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	client := store.New(store.Config{Addresses: []netip.AddrPort{address}})
	defer client.Close()
	r := client.Do(c.t.Context(), storage.Call{Insert: []storage.Write{{Condition: storage.Condition{Key: "configuration"}, Value: value}}})
	if r.Outcome != storage.Done {
		c.t.Fatal("the configuration was not written")
	}
}

func (c *cluster) addEndpoint(i int) {
	info := endpoint.Info{
		ID:         fmt.Sprintf("w-%d", i),
		DataCentre: "dc", Rack: "r", Slots: 8, Connections: 64,
		Size: task.Needs{Cores: 16, MemoryBytes: 64 << 30},
	}
	e := standin.NewEndpoint(info)
	server := httptest.NewServer(e)
	c.t.Cleanup(server.Close)
	info.Address = addressOfServer(server)
	c.platform.SetEndpoint(info)
	c.endpoints = append(c.endpoints, e)
}

// openListener returns a listener on a loopback port. It stays open until the
// instance uses it, so that no other process can take the port.
func openListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// addInstance starts an instance with the default settings after changes, and
// ends it when the test ends.
func (c *cluster) addInstance(id string, platformAddress netip.AddrPort, changes ...func(*settings.Settings)) *runningInstance {
	cfg := settings.Default()
	cfg.Instance = settings.Instance{ID: id, DataCentre: "dc", Rack: "r"}
	cfg.Listeners.Caller = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Listeners.Operator = netip.MustParseAddrPort("127.0.0.1:0")
	peerListener := openListener(c.t)
	cfg.Listeners.Peer = addressOf(peerListener)
	cfg.Listeners.AdvertisedPeer = cfg.Listeners.Peer
	cfg.Platform.Addresses = []netip.AddrPort{platformAddress}
	for _, change := range changes {
		change(&cfg)
	}
	n := &runningInstance{done: make(chan error, 1)}
	var ctx, force context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	force, n.kill = context.WithCancel(context.Background())
	started := make(chan Addresses, 1)
	go func() {
		n.done <- Run(ctx, &cfg, Options{Force: force, Started: func(a Addresses) { started <- a }, Listeners: Listeners{Peer: peerListener}})
	}()
	select {
	case n.addresses = <-started:
	case err := <-n.done:
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		n.kill()
		n.stop()
		select {
		case <-n.done:
		case <-time.After(testTimeout):
			c.t.Error("an instance did not end")
		}
	})
	c.instances = append(c.instances, n)
	return n
}

// waitUntil polls done and fails the test if it isn't true within testTimeout.
func (c *cluster) waitUntil(condition string, done func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	c.t.Fatalf("not %s in time", condition)
}

func (c *cluster) get(n *runningInstance, path string) jobReply {
	return c.request(n, http.MethodGet, path, nil)
}

// request sends a request to the callers' listener. It returns a zero reply if
// the request fails.
func (c *cluster) request(n *runningInstance, method, path string, body []byte) jobReply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.addresses.Caller.String()+path, bytes.NewReader(body))
	if err != nil {
		return jobReply{}
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return jobReply{}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return jobReply{}
	}
	if testing.Verbose() && path != "/readyz" {
		c.t.Logf("%s %s: %.300s", method, path, data)
	}
	r := jobReply{}
	// A reply that isn't JSON has a status only.
	_ = json.Unmarshal(data, &r)
	r.Status = res.StatusCode
	return r
}

// feeJob returns the JSON of a job whose tasks compute court fees and run for
// runTime each.
func feeJob(id, class string, tasks int, runTime time.Duration) []byte {
	type wire struct {
		TaskID    string          `json:"task_id"`
		Payload   json.RawMessage `json:"payload"`
		RunTimeMS int64           `json:"run_time_ms"`
	}
	var list []wire
	for i := range tasks {
		payload := fmt.Sprintf(`{"work":"court_fee","hold_ms":%d,"fee_request":{"court":"superior","filing":"motion","pages":%d}}`, runTime.Milliseconds(), i)
		list = append(list, wire{fmt.Sprintf("fee-%d", i), json.RawMessage(payload), runTime.Milliseconds()})
	}
	body, err := json.Marshal(struct {
		SubmissionID string `json:"submission_id,omitempty"`
		Class        string `json:"class"`
		Team         string `json:"team"`
		Tasks        []wire `json:"tasks"`
	}{id, class, "clerks", list})
	if err != nil {
		panic(err)
	}
	return body
}

// submit submits a job and waits for its final result.
func (c *cluster) submit(n *runningInstance, body []byte) jobReply {
	return c.request(n, http.MethodPost, "/v1/jobs", body)
}

// startedTasks returns the number of tasks that were started. It fails the test
// if a task was started more than once.
func (c *cluster) startedTasks() int {
	seen := map[task.Ref]int{}
	for _, e := range c.endpoints {
		for ref, n := range e.RunCounts() {
			seen[ref] += n
		}
	}
	for ref, n := range seen {
		if n != 1 {
			c.t.Errorf("task %v started %d times", ref, n)
		}
	}
	return len(seen)
}
