package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

type (
	// Queue is the configuration of one queue of jobs, set by operators.
	Queue struct {
		Name string
		// Host and Prefix match the queue's requests. Prefix is a prefix of
		// the URL path.
		Host, Prefix string
		// Service is the service of the endpoints that run its tasks.
		Service string
		// Priority is the queue's priority; 0 is the most urgent.
		Priority int
		// Attempts is the number of failed runs after which a task, and
		// with it its job, fails; 0 counts as 1.
		Attempts int
		// SlackFactor and Target define the response time goal of a job:
		// SlackFactor times its longest chain of work plus Target.
		SlackFactor float64
		Target      time.Duration
		// Timeout is how long a caller without a deadline waits.
		Timeout time.Duration
	}

	// Limits are the limits of callers' requests.
	Limits struct {
		HeaderBytes, BodyBytes     int
		HeaderTimeout, IdleTimeout time.Duration
	}

	// Document is one version of the configuration.
	Document struct {
		Version uint64
		Queues  []Queue
		Limits  Limits
	}

	// Table matches requests to queues. It is immutable, so that requests read
	// it without a lock.
	Table struct {
		version uint64
		limits  Limits
		// hosts holds the queues of each lower-case host, longest prefix
		// first.
		hosts map[string][]*Queue
	}
)

// NewTable returns the table for the document.
func NewTable(d Document) *Table {
	t := &Table{version: d.Version, limits: d.Limits, hosts: map[string][]*Queue{}}
	for i := range d.Queues {
		q := &d.Queues[i]
		host := strings.ToLower(q.Host)
		t.hosts[host] = append(t.hosts[host], q)
	}
	for _, queues := range t.hosts {
		slices.SortStableFunc(queues, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the version of the configuration; zero if t is nil.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns the limits of callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the queue of the host with the longest prefix of the path, and
// the rest of the path after the prefix. It ignores a port in the host and the
// host's letter case.
func (t *Table) Match(host, path string) (q *Queue, rest string, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, q := range t.hosts[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// Goal returns the response time goal of a job of the queue. work is the run
// time of the job's longest chain of work. A SlackFactor below 1 counts as 1.
func (q *Queue) Goal(work time.Duration) time.Duration {
	return time.Duration(max(q.SlackFactor, 1)*float64(work)) + q.Target
}
