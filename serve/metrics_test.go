package serve

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Both HTTP listeners serve the metrics, which count a finished job.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	n := c.instances[0]
	r := c.submit(n, feeJob("", "urgent", 3, time.Millisecond))
	is.Equal(r.State, "complete")
	page := func(address string) string {
		res, err := http.Get("http://" + address + "/metrics")
		is.NoErr(err)
		defer res.Body.Close()
		data, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return string(data)
	}
	c.waitUntil("counted", func() bool {
		return strings.Contains(page(n.addresses.Operator.String()), `lovagecrank_class_jobs_total{class="urgent",state="complete"} 1`)
	})
	callers := page(n.addresses.Caller.String())
	for _, line := range []string{
		"lovagecrank_ready 1",
		`lovagecrank_start_seconds_count{outcome="answered"} 3`,
		`lovagecrank_replies_total{listener="caller",route="/v1/jobs",status="200"} 1`,
		`lovagecrank_events_total{code="LC2000"} 1`,
	} {
		if !strings.Contains(callers, line+"\n") {
			t.Errorf("page lacks %s", line)
		}
	}
}
