package submission

import (
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
)

const (
	// refusalRetention is how long the refusal of a peer's request is kept. It
	// is longer than a message can be repeated or delayed.
	refusalRetention = 30 * time.Second
	// maxKeptRefusals limits the refusals that are kept.
	maxKeptRefusals = 20_000
)

type (
	// peerRequest identifies a request of another instance.
	peerRequest struct {
		peer   instance.Ref
		number uint64
	}

	// refusedRequests holds the requests of other instances that were answered
	// with a result that starts nothing. A duplicate of such a request must not
	// start the job, because its caller may already have the answer.
	refusedRequests struct {
		// results have no tasks, to save memory.
		results map[peerRequest]*job.Result
		order   []refusalEntry
	}

	refusalEntry struct {
		request peerRequest
		at      time.Time
	}
)

func (r *refusedRequests) add(now time.Time, q peerRequest, result *job.Result) {
	if _, ok := r.results[q]; ok {
		return
	}
	for len(r.order) > 0 && (len(r.order) >= maxKeptRefusals || now.Sub(r.order[0].at) > refusalRetention) {
		delete(r.results, r.order[0].request)
		r.order = r.order[1:]
	}
	r.results[q] = result
	r.order = append(r.order, refusalEntry{q, now})
}
