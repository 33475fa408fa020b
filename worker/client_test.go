package worker

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/task"
)

const answeredBody = `{"outcome":"answered","ran_ms":1.5,"load":{"running":2},"answer":{"v": 1}}`

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRequest(index int) Request {
	return Request{
		Ref:   task.Ref{Submission: "s", Index: index},
		Home:  instance.Ref{DataCentre: "d", ID: "i", Incarnation: 3},
		Epoch: 4,
		Lease: 5 * time.Second,
		Task:  task.Task{ID: `a"b`, Payload: []byte(`{"x": [1, 2]}`)},
	}
}

// newTestClient returns a client and an endpoint that is served by the handler.
func newTestClient(t testing.TB, h http.HandlerFunc) (*Client, endpoint.Info) {
	s := httptest.NewServer(h)
	c := New(Config{MaxReplyBytes: 1000})
	t.Cleanup(func() { c.Close(); s.Close() })
	return c, endpoint.Info{ID: "w", Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

func replyWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

func TestStartOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    endpoint.Outcome
	}{
		{"answered", replyWith(200, answeredBody), endpoint.Answered},
		{"failed", replyWith(200, `{"outcome":"failed","answer":"no"}`), endpoint.Failed},
		{"refused", replyWith(409, `{"outcome":"not_run","reason":"full"}`), endpoint.Refused},
		{"already started", replyWith(409, `{"outcome":"already_started"}`), endpoint.Lost},
		{"not run with the wrong status", replyWith(500, `{"outcome":"not_run"}`), endpoint.Lost},
		{"not run with status 200", replyWith(200, `{"outcome":"not_run"}`), endpoint.Lost},
		{"answered with an error's status", replyWith(503, answeredBody), endpoint.Lost},
		{"unavailable", replyWith(503, "busy"), endpoint.Lost},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/v1/tasks", http.StatusTemporaryRedirect)
		}, endpoint.Lost},
		{"half an answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, answeredBody[:40])
		}, endpoint.Lost},
		{"truncated JSON", replyWith(200, answeredBody[:40]), endpoint.Lost},
		{"answer beyond the limit", replyWith(200, `{"outcome":"answered","answer":"`+strings.Repeat("x", 2000)+`"}`), endpoint.Failed},
		{"reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, endpoint.Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			calls := make(chan struct{}, 10)
			c, e := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				calls <- struct{}{}
				io.Copy(io.Discard, r.Body)
				tt.handler(w, r)
			})
			is.Equal(c.Start(t.Context(), e, newRequest(0)).Outcome, tt.want)
			is.Equal(len(calls), 1) // the request was sent once
		})
	}
}

func TestPayloadAndAnswerAreUnchanged(t *testing.T) {
	is := is.New(t)
	var got []byte
	c, e := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		got, _ = io.ReadAll(r.Body)
		is.Equal(r.Header.Get("Traceparent"), "00-a-b-01")
		io.WriteString(w, answeredBody)
	})
	r := newRequest(7)
	r.TraceParent = "00-a-b-01"
	reply := c.Start(t.Context(), e, r)
	is.Equal(string(reply.Answer), `{"v": 1}`) // the same bytes that the endpoint sent
	is.Equal(reply.Ran, 1500*time.Microsecond)
	is.True(reply.HasLoad)
	is.Equal(reply.Load.Running, 2)
	var fields map[string]any
	is.NoErr(json.Unmarshal(got, &fields))
	is.Equal(fields["task_id"], `a"b`)
	is.Equal(fields["index"], 7.0)
	is.Equal(fields["lease_ms"], 5000.0)
	is.True(strings.Contains(string(got), `"payload":{"x": [1, 2]}`)) // the same bytes that the caller sent
}

func TestStartIsRefusedWithoutConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e := endpoint.Info{Address: netip.MustParseAddrPort(l.Addr().String())}
	l.Close()
	c := New(Config{})
	defer c.Close()
	is.Equal(c.Start(t.Context(), e, newRequest(0)).Outcome, endpoint.Refused)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(c.Start(cancelled, e, newRequest(0)).Outcome, endpoint.Refused)
}

func TestStartIsLostWhenContextEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	c, e := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	})
	is.Equal(c.Start(ctx, e, newRequest(0)).Outcome, endpoint.Lost)
}

// flakyServer is an endpoint that closes persistent connections: it answers the
// first request of a connection and closes the connection either after the
// answer or after receiving the second request.
type flakyServer struct {
	net.Listener
	closeAfterAnswer bool
	mu               sync.Mutex
	arrivals         map[float64]int
	wg               sync.WaitGroup
}

func newFlakyServer(t *testing.T, closeAfterAnswer bool) *flakyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &flakyServer{Listener: l, closeAfterAnswer: closeAfterAnswer, arrivals: map[float64]int{}}
	s.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() { l.Close(); s.wg.Wait() })
	return s
}

func (s *flakyServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var body struct{ Index float64 }
		json.NewDecoder(req.Body).Decode(&body)
		s.mu.Lock()
		s.arrivals[body.Index]++
		s.mu.Unlock()
		if answered {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answeredBody), answeredBody)
		if s.closeAfterAnswer {
			return
		}
	}
}

func TestStartIsSentOnce(t *testing.T) {
	tests := []struct {
		name             string
		closeAfterAnswer bool
	}{
		{"connection closed after the second request", false},
		{"connection closed after the first answer", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFlakyServer(t, tt.closeAfterAnswer)
			e := endpoint.Info{Address: netip.MustParseAddrPort(s.Addr().String())}
			c := New(Config{})
			defer c.Close()
			answered := 0
			for i := range 200 {
				switch reply := c.Start(t.Context(), e, newRequest(i)); reply.Outcome {
				case endpoint.Answered:
					answered++
				case endpoint.Refused:
					t.Fatalf("start %d refused: %s", i, reply.Reason) // the server accepts every connection
				}
			}
			is.True(answered > 0)
			s.mu.Lock()
			defer s.mu.Unlock()
			for i, n := range s.arrivals {
				if n != 1 {
					t.Errorf("start %v arrived %d times", i, n)
				}
			}
		})
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(3)
	c, e := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived.Done()
		<-release
		io.WriteString(w, answeredBody)
	})
	e.Connections = 3
	outcomes := make(chan endpoint.Outcome, 3)
	for i := range 3 {
		go func() { outcomes <- c.Start(context.Background(), e, newRequest(i)).Outcome }()
	}
	arrived.Wait()
	is.Equal(c.Start(t.Context(), e, newRequest(3)).Outcome, endpoint.Refused) // the fourth request is not sent
	close(release)
	for range 3 {
		is.Equal(<-outcomes, endpoint.Answered)
	}
}

func TestQueryStartAndControl(t *testing.T) {
	is := is.New(t)
	outcomes := map[string]string{"/v1/tasks/fate": "", "/v1/tasks/stop": `{"done":true}`, "/v1/tasks/throttle": `{"done":false,"reason":"ended"}`}
	c, e := newTestClient(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, outcomes[r.URL.Path]) })
	s := StartRef{Ref: task.Ref{Submission: "s"}}
	tests := []struct {
		body string
		want StartState
	}{
		{`{"outcome":"running"}`, StartRunning},
		{`{"outcome":"not_run","reason":"fenced"}`, StartNotRun},
		{answeredBody, StartEnded},
		{`{"outcome":"forgotten"}`, StartUnknown},
		{`{"outcome":"already_started"}`, StartUnknown},
		{`not JSON`, StartUnknown},
	}
	for _, tt := range tests {
		outcomes["/v1/tasks/fate"] = tt.body
		is.Equal(c.QueryStart(t.Context(), e, s, time.Second).State, tt.want)
	}
	is.NoErr(c.Stop(t.Context(), e, s))
	is.True(errors.Is(c.Throttle(t.Context(), e, s, 0.5), ErrNotDone))
}

func BenchmarkStart(b *testing.B) {
	c, e := newTestClient(b, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, answeredBody)
	})
	r := newRequest(0)
	b.ReportAllocs()
	for b.Loop() {
		if reply := c.Start(b.Context(), e, r); reply.Outcome != endpoint.Answered {
			b.Fatal(reply)
		}
	}
}

func BenchmarkAppendRequest(b *testing.B) {
	r := newRequest(0)
	buf := make([]byte, 0, 1024)
	b.ReportAllocs()
	for b.Loop() {
		buf = appendRequest(buf[:0], r)
	}
}
