package standin

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/matryer/is"
)

// TestServeEndpoint checks that an endpoint process announces itself, and that
// on shutdown it announces that it is draining and completes its running task.
func TestServeEndpoint(t *testing.T) {
	is := is.New(t)
	_, url := newTestPlatform(t, PlatformOptions{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	platform := netip.MustParseAddrPort(url[len("http://"):])
	go func() { ended <- ServeEndpoint(ctx, l, endpoint.Info{ID: "w-9"}, platform) }()

	listed := func() endpointList {
		var list endpointList
		get(t, url+"/v1/endpoints", &list)
		return list
	}
	for len(listed().Endpoints) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(listed().Endpoints[0].Address.String(), l.Addr().String())

	replies := make(chan startReply)
	go func() {
		var reply startReply
		post("http://"+l.Addr().String(), "/v1/tasks", startBody("a", 5, `,"payload":{"hold_ms":300}`), &reply)
		replies <- reply
	}()
	var status statusReply
	for status.Running == 0 {
		get(t, "http://"+l.Addr().String()+"/v1/status", &status)
	}
	cancel()
	reply := <-replies
	is.Equal(reply.Outcome, outcomeAnswered) // the task ran to its end after the shutdown began
	is.NoErr(<-ended)
	is.True(listed().Endpoints[0].Draining)
}
