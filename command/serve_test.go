package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/standin"
	"github.com/matryer/is"
)

const serveSettings = `
instance: {id: entry-1, data_centre: d}
listeners: {caller: %q, operator: %q, peer: %q}
platform: {addresses: [%q]}
`

// TestServe starts an instance with the serve command, changes and reads its
// state with other commands, and stops it.
func TestServe(t *testing.T) {
	is := is.New(t)
	platform := httptest.NewServer(standin.NewPlatform(standin.PlatformOptions{}))
	defer platform.Close()
	operator := freeAddress(t)
	path := filepath.Join(t.TempDir(), "entry-1.yaml")
	text := fmt.Sprintf(serveSettings, freeAddress(t), operator, freeAddress(t), platform.Listener.Addr())
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exited := make(chan int, 1)
	var log bytes.Buffer
	go func() {
		exited <- Run(ctx, []string{"serve", "-config", path}, strings.NewReader(""), io.Discard, &log)
	}()
	set := func() int {
		status, _, _ := run(t, "class", "set", "-address", operator, "-target", "1s", "payment")
		return status
	}
	for set() != statusOK {
		time.Sleep(10 * time.Millisecond)
	}
	status, out, _ := run(t, "instance", "list", "-address", operator)
	is.Equal(status, statusOK)
	is.True(strings.Contains(out, "entry-1 (this)"))
	cancel()
	is.Equal(<-exited, statusOK)
	for _, code := range []string{"LC2000", "LC2001", "LC2002"} {
		is.True(strings.Contains(log.String(), "code="+code))
	}
}

// freeAddress returns a loopback address that was free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}
