package crash

import (
	"slices"
	"time"
)

const (
	// proofWait is how long after a loss its proof or its withdrawal is waited for. A
	// crashed endpoint is back after some seconds, and listed after one heartbeat.
	proofWait = 6 * time.Second
	// blameTTL is how long a task that was lost with several endpoints counts against
	// its queue. The tasks of a queue are likely to crash endpoints if minBlamed of
	// them were, and at least minBlamedShare of all such tasks: endpoints that crash on
	// their own take tasks of all queues with them.
	blameTTL       = 10 * time.Second
	minBlamed      = 2
	minBlamedShare = 0.75
	// maxProved is the number of proved losses of a task after which it is not started
	// again.
	maxProved = 3
	// minProvedAlone is the number of proved losses at which a task had its endpoint for
	// itself, from which on it is likely to be the cause.
	minProvedAlone = 2
	// maxUnproved is the number of losses of a task after which it is not started again
	// before their proof, however long that takes.
	maxUnproved = 4
)

// The verdicts on a task that may start again.
const (
	// Free means that no endpoint was lost with the task.
	Free Verdict = iota
	// Apart means that the task should share its endpoint with as few others as
	// possible.
	Apart
	// Alone means that the task must have an endpoint for itself, so that its outcome
	// clears or convicts it.
	Alone
	// Wait means that the task must not start until the losses are proved, withdrawn or
	// forgotten.
	Wait
	// Withhold means that the task must not start before the losses are forgotten, since it
	// is likely to crash endpoints. That it does is never proved: an endpoint may crash for
	// another reason, or after the run has ended there.
	Withhold
)

type (
	// Verdict is how a task may start again.
	Verdict uint8

	// blame is a task of a queue that was lost with several endpoints, at least one of
	// which has crashed.
	blame struct {
		queue string
		at    time.Time
	}

	// History is what is known of the endpoints that were lost with a task.
	History struct {
		// Losses counts the losses that are not withdrawn, and Proved those of them
		// that are proved. Started counts the proved ones at which the task had
		// certainly started, and Alone those of them at which it was the only one.
		Losses, Proved, Started, Alone int
		// Others counts the proved losses of endpoints that had no run of the task.
		Others int
		// Last is the endpoint that was lost last, and LastAt when.
		Last   string
		LastAt time.Time
	}
)

// String returns the verdict's name in snake case.
func (v Verdict) String() string {
	return [...]string{"free", "apart", "alone", "wait", "withhold"}[v]
}

// Suspected reports whether an endpoint was lost with the task.
func (l *Ledger) Suspected(task string) bool { return len(l.byTask[task]) > 0 }

// History returns what is known of the endpoints that were lost with a task.
func (l *Ledger) History(task string) History {
	var h History
	for _, loss := range l.byTask[task] {
		h.Losses++
		if loss.State == Proved {
			h.Proved++
			if loss.hasStarted(task) {
				h.Started++
				if len(loss.Runs) == 1 {
					h.Alone++
				}
			}
		}
		if !loss.At.Before(h.LastAt) {
			h.Last, h.LastAt = loss.Endpoint, loss.At
		}
	}
	h.Others = l.proved - h.Proved
	return h
}

// hasStarted reports whether a run of the task had certainly started on the endpoint.
func (l *Loss) hasStarted(task string) bool {
	return slices.ContainsFunc(l.Runs, func(r Run) bool { return r.Task == task && r.Started })
}

// likelyCause reports whether the task is likely to crash endpoints. They also crash on
// their own, and then without the task as well: two crashes are enough only if no other one
// is known.
func (h History) likelyCause() bool {
	return h.Proved >= maxProved || h.Alone >= minProvedAlone && h.Others == 0
}

// Verdict returns how a task of a queue may start again, and until when that holds if
// it is Wait or Withhold.
func (l *Ledger) Verdict(now time.Time, task, queue string) (v Verdict, until time.Time) {
	h := l.History(task)
	provedBy, forgottenAt := h.LastAt.Add(proofWait), h.LastAt.Add(lossTTL)
	if h.Losses >= maxUnproved {
		provedBy = forgottenAt
	}
	switch {
	case h.Losses == 0:
		return Free, time.Time{}
	case h.likelyCause() && now.Before(forgottenAt):
		return Withhold, forgottenAt
	case h.Losses == 1 && !l.crashing(now, queue):
		return Apart, time.Time{}
	case h.Proved < h.Losses && now.Before(provedBy):
		return Wait, provedBy
	}
	return Alone, time.Time{}
}

// crashing reports whether tasks of the queue are likely to crash endpoints.
func (l *Ledger) crashing(now time.Time, queue string) bool {
	own, all := 0, 0
	for _, b := range l.blamed {
		if now.Sub(b.at) > blameTTL {
			continue
		}
		all++
		if b.queue == queue {
			own++
		}
	}
	return own >= minBlamed && float64(own) >= minBlamedShare*float64(all)
}

// blameTasks blames the tasks of a loss that were lost with another endpoint too.
func (l *Ledger) blameTasks(loss *Loss) {
	for _, r := range loss.Runs {
		if h := l.History(r.Task); r.Queue != "" && h.Losses > 1 && h.Proved > 0 {
			l.blamed[r.Task] = blame{r.Queue, h.LastAt}
		}
	}
}
