package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// maxAnswerAge is the age of an endpoint's last answer to a poll up to which it
	// can't have restarted unnoticed. While it has runs, it answers more often.
	maxAnswerAge = pollWait + 50*time.Millisecond
	// reportedSizeTTL is how long a size that an endpoint reported with its runs bounds
	// the one in the platform's list, which is older by one heartbeat at most.
	reportedSizeTTL = 2 * time.Second
)

// sizeState is where an endpoint's size comes from.
type sizeState struct {
	// boot is when the boot started that the endpoint's info describes; zero if
	// unknown.
	boot time.Time
	// reported is the size that the endpoint last reported with its runs, at
	// reportedAt; zero if it has not.
	reported   task.Needs
	reportedAt time.Time
	// answeredAt is when the endpoint last answered a poll.
	answeredAt time.Time
}

// setInfo takes over the endpoint's entry in the platform's list. An entry of an
// earlier boot than the one that is described does not change its description.
func (e *endpointState) setInfo(now time.Time, info endpoint.Info) {
	if startedLater(e.size.boot, info.StartedAt) {
		e.info.Address, e.info.Draining = info.Address, info.Draining
		return
	}
	e.size.boot = info.StartedAt
	if now.Sub(e.size.reportedAt) < reportedSizeTTL && e.size.reported != (task.Needs{}) {
		info.Size = info.Size.Min(e.size.reported)
	}
	e.info = info
}

// applyReportedSize takes over the size that the endpoint reported with its runs.
func (e *endpointState) applyReportedSize(now time.Time, reply PollReply) {
	e.size.answeredAt = now
	if reply.Size == (task.Needs{}) {
		return
	}
	e.size.boot, e.size.reported, e.size.reportedAt = reply.StartedAt, reply.Size, now
	e.info.Size = reply.Size
}

// awaitsAnswer reports whether the endpoint gets no further run until it has answered: it
// does not guard its size, and may have restarted with a smaller one. The first run after
// it was idle comes with a poll.
func (e *endpointState) awaitsAnswer(now time.Time) bool {
	return e.unguarded && len(e.runs)+e.reserved > 0 && e.answerIsOld(now)
}

// infoIsCurrent reports whether the info describes the boot that answers. A later one
// may be of another kind.
func (e *endpointState) infoIsCurrent() bool { return !startedLater(e.info.StartedAt, e.size.boot) }

// answerIsOld reports whether the endpoint may have restarted since it last answered a
// poll.
func (e *endpointState) answerIsOld(now time.Time) bool {
	return now.Sub(e.size.answeredAt) > maxAnswerAge
}
