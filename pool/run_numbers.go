package pool

import "time"

// runNumberTTL is how long the run numbers of an ended job are kept. It covers a
// run that goes on until its lease ends and the time for which its end is kept.
const runNumberTTL = reportedEndTTL + 2*time.Second

type (
	// runNumbers has the highest run numbers of recently ended jobs. If a caller
	// sends a job again, its runs get higher numbers, so that no message about an
	// earlier run can be mistaken for one about a later one.
	runNumbers struct {
		byJob map[string]int64
		// ended are the same jobs, in the order in which they ended.
		ended []endedJob
	}

	endedJob struct {
		id     string
		number int64
		at     time.Time
	}
)

// record keeps the highest run number of an ended job.
func (n *runNumbers) record(now time.Time, id string, number int64) {
	if number <= n.byJob[id] {
		return
	}
	n.byJob[id] = number
	n.ended = append(n.ended, endedJob{id, number, now})
}

// expire forgets the jobs that ended longer than runNumberTTL ago.
func (n *runNumbers) expire(now time.Time) {
	for len(n.ended) > 0 && now.Sub(n.ended[0].at) > runNumberTTL {
		if j := n.ended[0]; n.byJob[j.id] == j.number {
			delete(n.byJob, j.id)
		}
		n.ended = n.ended[1:]
	}
}
