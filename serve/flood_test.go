package serve

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/internal/flood"
	"github.com/lovagecrank/lovagecrank/standin"
)

func TestMain(m *testing.M) { flood.Main(m) }

// floodLimits are the limits of instances in flood tests.
var floodLimits = flood.LimitFlags(160)

// floodedInstance is an instance that runs as a process of its own.
type floodedInstance struct {
	*flood.Process
	callers, operators netip.AddrPort
}

func newFloodedInstance(t *testing.T) *floodedInstance {
	t.Helper()
	c := &cluster{t: t, platform: standin.NewPlatform(standin.PlatformOptions{})}
	platform := httptest.NewServer(c.platform)
	t.Cleanup(platform.Close)
	c.configure(addressOfServer(platform))
	c.addEndpoint(0)
	ip := flood.LoopbackAddress()
	n := &floodedInstance{callers: netip.AddrPortFrom(ip, 7100), operators: netip.AddrPortFrom(ip, 7101)}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	err := os.WriteFile(path, fmt.Appendf(nil, `instance: {id: entry-0, data_centre: dc, rack: r}
listeners: {caller: %q, operator: %q, peer: "%s:7102"}
platform: {addresses: [%q]}
limits: {memory: %dMiB, descriptors: %d, body_bytes: 1MiB}
`, n.callers, n.operators, ip, addressOfServer(platform), floodLimits.MemoryMB, floodLimits.Descriptors), 0o600)
	is.New(t).NoErr(err)
	n.Process = flood.Start(t, floodLimits.Descriptors, "serve", "-config", path)
	c.waitUntil("answered", func() bool { return n.submit(t) == http.StatusOK })
	return n
}

// submit submits an ordinary job on a connection of its own and returns the status.
func (n *floodedInstance) submit(t *testing.T) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.callers.String()+"/v1/jobs", bytes.NewReader(feeJob("", "urgent", 1, 0)))
	is.New(t).NoErr(err)
	req.Close = true
	client := http.Client{Timeout: testTimeout}
	reply, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = reply.Body.Close()
	return reply.StatusCode
}

// TestFloodOfListeners: clients that don't behave took all memory or all descriptors of
// an instance, at the listener of callers and at that of operators.
func TestFloodOfListeners(t *testing.T) {
	callers := flood.Target{Host: "h.example", Read: "/readyz", Submit: "/v1/jobs?n=%016x", Job: string(feeJob("", "urgent", 1, 0))}
	operators := flood.Target{Host: "h.example", Read: "/v1/classes", Submit: "/v1/classes/%016x", Job: "{}"}
	listeners := []struct {
		name    string
		target  flood.Target
		kinds   []flood.Kind
		address func(*floodedInstance) netip.AddrPort
	}{
		{"callers", callers, slices.Concat(flood.Headers()[:2], []flood.Kind{flood.ShortLines()}, flood.Trailers(), flood.Bodies()[1:3]), func(n *floodedInstance) netip.AddrPort { return n.callers }},
		{"operators", operators, slices.Concat(flood.Headers()[:2], flood.UnreadReplies()), func(n *floodedInstance) netip.AddrPort { return n.operators }},
	}
	for _, l := range listeners {
		hold := func(kinds []flood.Kind, connections int) {
			for _, kind := range kinds {
				t.Run(l.name+" "+kind.Name, func(t *testing.T) {
					n := newFloodedInstance(t)
					flood.Hold(t, l.address(n), l.target, kind, connections)
					n.Check(t, floodLimits, l.address(n), func() int { return n.submit(t) })
				})
			}
		}
		hold(l.kinds, floodLimits.Connections)
		hold(flood.Connections(), floodLimits.ManyConnections())
	}
}
