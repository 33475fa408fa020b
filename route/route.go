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
		// UnguardedServices are the services whose endpoints start whatever they are
		// told to, also beyond their size.
		UnguardedServices []string
	}

	// Table matches requests to queues. It is immutable, so that requests read
	// it without a lock.
	Table struct {
		version uint64
		limits  Limits
		// hosts holds the queues of each lower-case host.
		hosts map[string]*hostQueues
	}

	// hostQueues are the queues of one host.
	hostQueues struct {
		byPrefix map[string]*Queue
		// lengths are the lengths of the prefixes, the longest first. There are
		// few, however many queues a configuration has.
		lengths []int
	}
)

// NewTable returns the table for the document.
func NewTable(d Document) *Table {
	t := &Table{version: d.Version, limits: d.Limits, hosts: map[string]*hostQueues{}}
	for i := range d.Queues {
		q := &d.Queues[i]
		host := strings.ToLower(q.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = &hostQueues{byPrefix: map[string]*Queue{}}
		}
		t.hosts[host].add(q)
	}
	return t
}

// add adds a queue unless there is an earlier one with its prefix.
func (h *hostQueues) add(q *Queue) {
	if h.byPrefix[q.Prefix] != nil {
		return
	}
	h.byPrefix[q.Prefix] = q
	i, found := slices.BinarySearchFunc(h.lengths, len(q.Prefix), func(a, b int) int { return cmp.Compare(b, a) })
	if !found {
		h.lengths = slices.Insert(h.lengths, i, len(q.Prefix))
	}
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
	h := t.hosts[strings.ToLower(host)]
	if h == nil {
		return nil, "", false
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if q := h.byPrefix[path[:n]]; q != nil {
			return q, path[n:], true
		}
	}
	return nil, "", false
}

// Goal returns the response time goal of a job of the queue. work is the run
// time of the job's longest chain of work. A SlackFactor below 1 counts as 1.
func (q *Queue) Goal(work time.Duration) time.Duration {
	return time.Duration(max(q.SlackFactor, 1)*float64(work)) + q.Target
}
