package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

type (
	// Queue is one queue of jobs. Operators set its fields.
	Queue struct {
		Name string
		// Host and Prefix select the queue's requests.
		Host, Prefix string
		// Service names the endpoints that run its tasks.
		Service string
		// Priority orders queues; 0 is the most urgent.
		Priority int
		// Attempts is how often a task may fail.
		Attempts int
		// SlackFactor and Target give a job's goal: the factor times its
		// longest chain of work, and Target more.
		SlackFactor float64
		Target      time.Duration
		// Timeout is how long a caller that names no deadline waits.
		Timeout time.Duration
	}

	// Limits bound what callers may send.
	Limits struct {
		HeaderBytes, BodyBytes  int
		HeaderTime, IdleTimeout time.Duration
	}

	// Document is one version of the configuration.
	Document struct {
		Version uint64
		Queues  []Queue
		Limits  Limits
	}

	// Table finds queues. It is never changed once built, so that requests
	// read it without a lock.
	Table struct {
		version uint64
		limits  Limits
		// hosts has the queues of each host, longest prefix first.
		hosts map[string][]*Queue
	}
)

// NewTable returns the table of the document.
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

// Version returns the version of the configuration; zero means none.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the queue of the longest prefix that the path begins with, and
// what follows the prefix. A port in the host does not count.
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

// Goal returns how long a job of the queue may take that needs that much work
// one after the other.
func (q *Queue) Goal(work time.Duration) time.Duration {
	return time.Duration(max(q.SlackFactor, 1)*float64(work)) + q.Target
}
