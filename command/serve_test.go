package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/standin"
	"github.com/matryer/is"
)

const serveSettings = `
instance: {id: entry-1, data_centre: d}
listeners: {caller: "127.0.0.1:0", operator: "127.0.0.1:0", peer: "127.0.0.1:0", advertised_peer: "127.0.0.1:1"}
platform: {addresses: [%q]}
`

// TestServe starts an instance with the serve command, changes and reads its
// state with other commands, and stops it.
func TestServe(t *testing.T) {
	is := is.New(t)
	platform := httptest.NewServer(standin.NewPlatform(standin.PlatformOptions{}))
	defer platform.Close()
	path := filepath.Join(t.TempDir(), "entry-1.yaml")
	text := fmt.Sprintf(serveSettings, platform.Listener.Addr())
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exited := make(chan int, 1)
	var log logBuffer
	go func() {
		exited <- Run(ctx, []string{"serve", "-config", path}, strings.NewReader(""), io.Discard, &log)
	}()
	operator := ""
	for operator == "" {
		time.Sleep(10 * time.Millisecond)
		operator = addressIn(log.String(), "operator=")
	}
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

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements [io.Writer].
func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(data)
}

// String returns everything written so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// addressIn returns the address that follows the key in the log, or an empty
// string if it is not there yet.
func addressIn(log, key string) string {
	_, after, found := strings.Cut(log, key)
	address, _, complete := strings.Cut(after, " ")
	if !found || !complete {
		return ""
	}
	return address
}
