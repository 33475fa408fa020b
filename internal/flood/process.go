package flood

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// settleTimeout is how long settle waits at most.
const settleTimeout = 10 * time.Second

// Process is a running process of the program.
type Process struct {
	cmd   *exec.Cmd
	ended atomic.Bool
	log   string
}

// directory is where the program is built, or empty until then.
var directory string

// built builds the program once, without the race detector, which multiplies its memory.
var built = sync.OnceValues(func() (path string, err error) {
	directory, err = os.MkdirTemp("", "flood")
	if err != nil {
		return "", err
	}
	return Build(directory)
})

// Build builds the program in the directory and returns its path.
func Build(dir string) (path string, err error) {
	path = filepath.Join(dir, "lovagecrank")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", path, "github.com/lovagecrank/lovagecrank/cmd/lovagecrank").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
}

// Main runs the tests of a package and removes the program that they have built.
func Main(m *testing.M) {
	m.Run()
	if directory != "" {
		_ = os.RemoveAll(directory)
	}
}

// Start starts the program with the arguments in a process that may open a number of
// descriptors. The process is killed when the test ends.
func Start(t testing.TB, descriptors int, args ...string) *Process {
	t.Helper()
	binary, err := built()
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{log: filepath.Join(t.TempDir(), "log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), binary}, args...)
	p.cmd = exec.CommandContext(context.Background(), "sh", limited...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		p.ended.Store(true)
		_ = out.Close()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-ended
	})
	return p
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool { return !p.ended.Load() }

// Log returns the last bytes of the output of the process.
func (p *Process) Log() string {
	const limit = 2 << 10
	data, _ := os.ReadFile(p.log)
	return string(data[max(0, len(data)-limit):])
}

// PeakBytes returns the largest amount of memory that the process has had resident,
// or zero if it has ended.
func (p *Process) PeakBytes() int64 {
	data, err := os.ReadFile(p.path("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// Descriptors returns the number of descriptors that the process has open.
func (p *Process) Descriptors() int {
	entries, _ := os.ReadDir(p.path("fd"))
	return len(entries)
}

func (p *Process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// LoopbackAddress returns a loopback address that other processes hardly use.
func LoopbackAddress() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.N(250)), byte(rand.N(250)), byte(1 + rand.N(250))})
}

// settle waits until the process has read or discarded all that was sent to the
// address, but not longer than settleTimeout: a process may leave bytes unread.
func settle(address netip.AddrPort) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && hasUnread(address); {
		time.Sleep(50 * time.Millisecond)
	}
}

// hasUnread reports whether a local socket at the address, a listener's queue of
// connections included, has bytes that its process has not read.
func hasUnread(address netip.AddrPort) bool {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	ip := address.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port())
	for s := bufio.NewScanner(bytes.NewReader(data)); s.Scan(); {
		fields := strings.Fields(s.Text()) // sl, local address, remote address, state, tx_queue:rx_queue
		if len(fields) > 4 && fields[1] == local && !strings.HasSuffix(fields[4], ":00000000") {
			return true
		}
	}
	return false
}
