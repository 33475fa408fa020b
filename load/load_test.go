package load

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func testStream() Stream {
	return Stream{
		Class: "urgent", Teams: []string{"a"}, JobsPerSecond: 100, Target: time.Minute,
		Tasks:   Range{Min: 1, Max: 8},
		RunTime: RunTime{Median: 20 * time.Millisecond, Sigma: 0.5, Min: 10 * time.Millisecond, Max: 40 * time.Millisecond},
	}
}

func testConfig() Config {
	return Config{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Duration:  time.Second, Seed: 1, InFlight: 1000, Streams: []Stream{testStream()},
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"voltmesh.yaml", "haskell-tibbetts.yaml"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := Read(filepath.Join("..", "examples", "load", name))
			is.NoErr(err)
			is.Equal(len(c.Streams), 3)
		})
	}
}

func TestInvalidConfig(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"no address", func(c *Config) { c.Addresses = nil }, "addresses"},
		{"unbounded", func(c *Config) { c.Duration = time.Hour }, "duration"},
		{"share above one", func(c *Config) { c.ResubmitShare = 1.1 }, "resubmit_share"},
		{"share is not a number", func(c *Config) { c.ResubmitShare = math.NaN() }, "resubmit_share"},
		{"no stream", func(c *Config) { c.Streams = nil }, "streams"},
		{"no class", func(c *Config) { c.Streams[0].Class = "" }, "streams[0]: class"},
		{"rate is not a number", func(c *Config) { c.Streams[0].JobsPerSecond = math.NaN() }, "streams[0]: jobs_per_second"},
		{"jobs without tasks", func(c *Config) { c.Streams[0].Tasks.Min = 0 }, "streams[0]: tasks"},
		{"maximum run time below the median", func(c *Config) { c.Streams[0].RunTime.Max = 1 }, "streams[0]: run_time"},
		{"burst without a length", func(c *Config) { c.Streams[0].Burst.Factor = 2 }, "streams[0]: burst"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := testConfig()
			is.NoErr(c.check())
			tt.change(&c)
			err := c.check()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
	_, err := parse(strings.NewReader("colour: red"))
	is.New(t).True(err != nil) // an unknown key
}

// TestGeneratorRates counts arrivals outside and inside bursts. The fixed seed
// makes the counts repeatable; the bounds are four standard deviations of the
// Poisson process.
func TestGeneratorRates(t *testing.T) {
	is := is.New(t)
	c := testConfig()
	c.Streams[0].Burst = Burst{Every: 10 * time.Second, Length: 2 * time.Second, Factor: 10}
	g := newGenerator(c, 0)
	var quiet, burst float64
	for a := g.next(); a.at < 100*time.Second; a = g.next() {
		if a.at%(10*time.Second) < 8*time.Second {
			quiet++
		} else {
			burst++
		}
		for _, d := range a.runTimes {
			is.True(d >= 10*time.Millisecond && d <= 40*time.Millisecond)
		}
	}
	is.True(math.Abs(quiet-8_000) < 4*math.Sqrt(8_000))
	is.True(math.Abs(burst-20_000) < 4*math.Sqrt(20_000))
}

// fakeInstance serves an instance that answers each valid job request with
// reply, and returns its address.
func fakeInstance(t *testing.T, reply string) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/submission_ids", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"submission_ids":["a","b"]}`)
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var q jobRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.WriteString(w, reply)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestRun(t *testing.T) {
	tests := []struct {
		name, reply, state string
		within             float64
	}{
		{"complete", `{"state":"complete","tasks":[]}`, "complete", 1},
		{"refused", `{"state":"not_run","error":{"kind":"over_quota"}}`, "over_quota", 0},
		{"not a reply", `not JSON`, stateNoReply, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := testConfig()
			c.ResubmitShare = 0.5
			c.Addresses = []netip.AddrPort{fakeInstance(t, tt.reply)}
			report, err := Run(context.Background(), c, io.Discard)
			is.NoErr(err)
			class := report.Classes[0]
			is.True(class.Jobs > 0)
			is.Equal(class.Outcomes, []Outcome{{Name: tt.state, Jobs: class.Jobs}})
			is.Equal(class.WithinTarget, tt.within)
			is.True(class.Resubmitted > 0)
			is.Equal(class.DifferentAnswers, 0)
			is.NoErr(report.WriteTable(io.Discard))
			is.NoErr(report.SavePlot(filepath.Join(t.TempDir(), "plot.png")))
		})
	}
}

func TestRunWithoutReadyInstance(t *testing.T) {
	_, err := Run(context.Background(), testConfig(), io.Discard)
	is.New(t).True(err != nil)
}

// TestPostSkipsUnreachableInstances submits jobs while the first of two
// addresses refuses connections, and then when no other address is left.
func TestPostSkipsUnreachableInstances(t *testing.T) {
	is := is.New(t)
	c := testConfig()
	c.Addresses = append(c.Addresses, fakeInstance(t, `{"state":"complete"}`))
	d := newDriver(c)
	for turn := range uint64(4) {
		is.Equal(d.post(context.Background(), turn, []byte(`{}`)).State, stateComplete)
	}
	d.clients = d.clients[:1]
	is.Equal(d.post(context.Background(), 0, []byte(`{}`)).State, stateNoReply)
}
