package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/matryer/is"
)

// post sends a request with a JSON body and decodes the reply into out. It
// returns the status, or 0 if there is no valid reply.
func post(url, path, body string, out any) int {
	resp, err := http.Post(url+path, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return 0
	}
	return resp.StatusCode
}

func startBody(submission string, epoch int, fields string) string {
	return fmt.Sprintf(`{"submission_id":%q,"index":0,"home":{"data_centre":"d","id":"i","incarnation":7},"epoch":%d%s}`, submission, epoch, fields)
}

// newTestEndpoint serves an endpoint with one slot.
func newTestEndpoint(t *testing.T) (*Endpoint, string) {
	t.Helper()
	e := NewEndpoint(endpoint.Info{ID: "w-1", Slots: 1, Size: task.Needs{Cores: 4}})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.URL
}

func TestEndpointOutcomes(t *testing.T) {
	const fee = `,"payload":{"work":"court_fee","fee_request":{"court":"district","filing":"certified_copy","pages":1}}`
	tests := []struct {
		name    string
		faults  EndpointFaults
		body    string
		outcome string
		reason  string
		starts  uint64
	}{
		{"answered", EndpointFaults{}, startBody("a", 5, fee), outcomeAnswered, "", 1},
		{"work fails", EndpointFaults{}, startBody("a", 5, `,"payload":{"work":"nonsense"}`), outcomeFailed, "", 1},
		{"negative hold", EndpointFaults{}, startBody("a", 5, `,"payload":{"hold_ms":-1}`), outcomeFailed, "", 1},
		{"fails every task", EndpointFaults{FailAll: true}, startBody("a", 5, fee), outcomeFailed, "", 1},
		{"expired lease", EndpointFaults{}, startBody("a", 5, `,"lease_ms":1,"payload":{"hold_ms":60000}`), outcomeFailed, "", 1},
		{"leaving", EndpointFaults{Draining: true}, startBody("a", 5, fee), outcomeNotRun, reasonDraining, 0},
		{"broken", EndpointFaults{Broken: true}, startBody("a", 5, fee), outcomeNotRun, reasonBroken, 0},
		{"full", EndpointFaults{Full: true}, startBody("a", 5, fee), outcomeNotRun, reasonFull, 0},
		{"too large", EndpointFaults{}, startBody("a", 5, `,"cores":5`), outcomeNotRun, reasonTooLarge, 0},
		{"connection dropped after the start", EndpointFaults{DropAfterStart: true}, startBody("a", 5, fee), "", "", 1},
		{"connection dropped before the start", EndpointFaults{DropBeforeStart: true}, startBody("a", 5, fee), "", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, url := newTestEndpoint(t)
			e.SetFaults(tt.faults)
			var reply startReply
			post(url, "/v1/tasks", tt.body, &reply)
			is.Equal(reply.Outcome, tt.outcome)
			is.Equal(reply.Reason, tt.reason)
			is.Equal(e.Counts().Starts, tt.starts)
		})
	}
}

func TestEndpointRunsAStartOnce(t *testing.T) {
	is := is.New(t)
	e, url := newTestEndpoint(t)
	var reply startReply
	post(url, "/v1/tasks", startBody("a", 5, ""), &reply)
	is.Equal(reply.Outcome, outcomeAnswered)
	post(url, "/v1/tasks", startBody("a", 6, ""), &reply)
	is.Equal(reply.Outcome, outcomeAlreadyStarted)
	post(url, "/v1/tasks", startBody("b", 4, ""), &reply)
	is.Equal(reply.Reason, reasonStaleEpoch) // another start had epoch 5
	is.Equal(e.RunCounts(), map[task.Ref]int{{Submission: "a"}: 1})

	e.SetFaults(EndpointFaults{RunRepeats: true})
	post(url, "/v1/tasks", startBody("a", 6, ""), &reply)
	is.Equal(e.RunCounts()[task.Ref{Submission: "a"}], 2)
}

func TestEndpointOutcomeQuery(t *testing.T) {
	is := is.New(t)
	e, url := newTestEndpoint(t)
	var reply startReply
	post(url, "/v1/tasks/fate", startBody("earlier", 5, `,"age_ms":60000`), &reply)
	is.Equal(reply.Outcome, outcomeForgotten) // an earlier process may have run it
	post(url, "/v1/tasks/fate", startBody("late", 5, ""), &reply)
	is.Equal(reply.Reason, reasonFenced)
	post(url, "/v1/tasks", startBody("late", 5, ""), &reply)
	is.Equal(reply.Reason, reasonFenced) // the query came first

	e.SetFaults(EndpointFaults{DropAfterStart: true})
	is.Equal(post(url, "/v1/tasks", startBody("lost", 5, ""), &reply), 0)
	post(url, "/v1/tasks/fate", startBody("lost", 5, ""), &reply)
	is.Equal(reply.Outcome, outcomeAnswered)

	e.Restart()
	post(url, "/v1/tasks/fate", startBody("lost", 5, ""), &reply)
	is.Equal(reply.Outcome, outcomeForgotten)
}

func TestEndpointCommands(t *testing.T) {
	for _, command := range []string{"throttle", "checkpoint", "stop"} {
		t.Run(command, func(t *testing.T) {
			is := is.New(t)
			e, url := newTestEndpoint(t)
			replies := make(chan startReply)
			go func() {
				var reply startReply
				post(url, "/v1/tasks", startBody("a", 5, `,"payload":{"hold_ms":60000}`), &reply)
				replies <- reply
			}()
			for e.Counts().Starts == 0 {
				time.Sleep(time.Millisecond)
			}
			var other startReply
			post(url, "/v1/tasks", startBody("b", 5, ""), &other)
			is.Equal(other.Reason, reasonFull) // the only slot is taken
			var done commandReply
			path := "/v1/tasks/" + command
			is.Equal(post(url, path, startBody("a", 5, `,"share":0.5`), &done), http.StatusOK)
			is.True(done.Done)
			post(url, "/v1/tasks/stop", startBody("a", 5, ""), &done)
			reply := <-replies
			is.Equal(reply.Outcome, outcomeFailed)                                                   // stopped
			is.Equal(post(url, path, startBody("a", 5, `,"share":0.5`), &done), http.StatusConflict) // it has ended
		})
	}
}

// BenchmarkEndpointStart measures the start of a task without work over the
// loopback interface.
func BenchmarkEndpointStart(b *testing.B) {
	e := NewEndpoint(endpoint.Info{ID: "w-1", Slots: 1000, Size: task.Needs{Cores: 4}})
	server := httptest.NewServer(e)
	defer server.Close()
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 64
	c := &http.Client{Transport: transport}
	var number atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			body := startBody(fmt.Sprint(number.Add(1)), 5, "")
			resp, err := c.Post(server.URL+"/v1/tasks", "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}
