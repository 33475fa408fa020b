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

const patience = 20 * time.Second

type (
	// fleet is instances, endpoints and a platform on loopback.
	fleet struct {
		t         *testing.T
		platform  *standin.Platform
		endpoints []*standin.Endpoint
		instances []*runningInstance
	}

	runningInstance struct {
		addresses Addresses
		// stop begins the planned stop, kill ends the instance at once.
		stop, kill context.CancelFunc
		done       chan error
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

// newFleet starts that many endpoints and instances in one data centre.
func newFleet(t *testing.T, endpoints, instances int) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: standin.NewPlatform(standin.PlatformOptions{})}
	server := httptest.NewServer(f.platform)
	t.Cleanup(server.Close)
	f.configure(addressOfServer(server))
	for i := range endpoints {
		f.addEndpoint(i)
	}
	for i := range instances {
		f.addInstance(fmt.Sprintf("entry-%d", i), addressOfServer(server))
	}
	for _, n := range f.instances {
		f.until("ready", func() bool { return f.get(n, "/readyz").Status == http.StatusOK })
	}
	return f
}

func (f *fleet) configure(address netip.AddrPort) {
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
		f.t.Fatal(err)
	}
	c := store.New(store.Config{Addresses: []netip.AddrPort{address}})
	defer c.Close()
	r := c.Do(f.t.Context(), storage.Call{Insert: []storage.Write{{Condition: storage.Condition{Key: "configuration"}, Value: value}}})
	if r.Fate != storage.Done {
		f.t.Fatal("the configuration was not written")
	}
}

func (f *fleet) addEndpoint(i int) {
	info := endpoint.Info{
		ID:         fmt.Sprintf("w-%d", i),
		DataCentre: "dc", Rack: "r", Slots: 8, Connections: 64,
		Size: task.Needs{Cores: 16, MemoryBytes: 64 << 30},
	}
	e := standin.NewEndpoint(info)
	server := httptest.NewServer(e)
	f.t.Cleanup(server.Close)
	info.Address = addressOfServer(server)
	f.platform.SetEndpoint(info)
	f.endpoints = append(f.endpoints, e)
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (f *fleet) addInstance(id string, platformAddress netip.AddrPort, changes ...func(*settings.Settings)) *runningInstance {
	cfg := settings.Default()
	cfg.Instance = settings.Instance{ID: id, DataCentre: "dc", Rack: "r"}
	cfg.Listeners.Caller = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Listeners.Operator = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Listeners.Peer = freeAddress(f.t)
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
		n.done <- Run(ctx, &cfg, Options{Force: force, Started: func(a Addresses) { started <- a }})
	}()
	select {
	case n.addresses = <-started:
	case err := <-n.done:
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		n.kill()
		n.stop()
		select {
		case <-n.done:
		case <-time.After(patience):
			f.t.Error("an instance did not end")
		}
	})
	f.instances = append(f.instances, n)
	return n
}

func (f *fleet) until(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("not %s in time", what)
}

func (f *fleet) get(n *runningInstance, path string) jobReply {
	return f.request(n, http.MethodGet, path, nil)
}

func (f *fleet) request(n *runningInstance, method, path string, body []byte) jobReply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		f.t.Logf("%s %s: %.300s", method, path, data)
	}
	r := jobReply{}
	// A page that is not JSON has its status only.
	_ = json.Unmarshal(data, &r)
	r.Status = res.StatusCode
	return r
}

// fees returns a job of fee computations that each hold a slot for that long.
func fees(id, class string, tasks int, hold time.Duration) []byte {
	type wire struct {
		TaskID    string          `json:"task_id"`
		Payload   json.RawMessage `json:"payload"`
		RunTimeMS int64           `json:"run_time_ms"`
	}
	var list []wire
	for i := range tasks {
		payload := fmt.Sprintf(`{"work":"court_fee","hold_ms":%d,"fee_request":{"court":"superior","filing":"motion","pages":%d}}`, hold.Milliseconds(), i)
		list = append(list, wire{fmt.Sprintf("fee-%d", i), json.RawMessage(payload), hold.Milliseconds()})
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

func (f *fleet) submit(n *runningInstance, body []byte) jobReply {
	return f.request(n, http.MethodPost, "/v1/jobs", body)
}

// starts returns how many tasks ran, and fails the test if one ran twice.
func (f *fleet) starts() int {
	seen := map[task.Ref]int{}
	for _, e := range f.endpoints {
		for ref, n := range e.Starts() {
			seen[ref] += n
		}
	}
	for ref, n := range seen {
		if n != 1 {
			f.t.Errorf("task %v started %d times", ref, n)
		}
	}
	return len(seen)
}
