package dispatch

import (
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// A peer's task gets a slot before an own one of the same rank only if it
	// has less slack by a margin: the class's target divided by
	// slackMarginDivisor, between minSlackMargin and maxSlackMargin.
	minSlackMargin     = 5 * time.Millisecond
	maxSlackMargin     = 15 * time.Second
	slackMarginDivisor = 20
	// maxBroadcastPeers is the number of peers up to which a demand is sent to
	// all peers at once.
	maxBroadcastPeers = 2
	// topRankWidenDelay is the time without a start of a waiting task of the
	// most urgent rank after which the demand is sent to more peers;
	// lowerRankWidenDelay is that of the other ranks.
	topRankWidenDelay   = 4 * time.Millisecond
	lowerRankWidenDelay = 100 * time.Millisecond
	// minWantInterval is the minimum time after a Want to a peer before a
	// demand of a less urgent rank is raised or its slack updated. New and
	// reduced demands, and those of the most urgent rank, are sent at once.
	minWantInterval = 30 * time.Millisecond
	// wantRefreshInterval is when unchanged demands are sent again.
	wantRefreshInterval = 500 * time.Millisecond
	// maxDemandTasks bounds the number of tasks in one demand.
	maxDemandTasks = 1000
)

// peerDemand is a [message.Demand] with the slack converted to a time. groupMask
// is the mask of the size groups that fit the needs; it is set only in demands
// received from a peer.
type peerDemand struct {
	rank      class.Rank
	startBy   time.Time
	tasks     int
	needs     task.Needs
	groupMask uint64
}

// mostUrgentDemand returns the most urgent demand that fits the groups of the
// mask and is more urgent than the part, as a peer and an index of its demands.
// The peer is nil if there is none.
func (s *Scheduler) mostUrgentDemand(mask uint64, part *jobPart) (*peer, int) {
	var best *peer
	var at int
	for _, p := range s.peers {
		for i := range p.demands {
			d := &p.demands[i]
			if d.tasks == 0 || d.groupMask&mask == 0 || !d.moreUrgentThan(part, s.lendsIdleOnly) {
				continue
			}
			if best == nil || d.before(&best.demands[at]) {
				best = p
				at = i
			}
			break
		}
	}
	return best, at
}

func (d *peerDemand) before(o *peerDemand) bool {
	if d.rank != o.rank {
		return d.rank < o.rank
	}
	return d.startBy.Before(o.startBy)
}

// moreUrgentThan reports whether the demand has a more urgent rank than the
// part, or less slack by more than the margin in the same rank. It reports true
// if part is nil, and otherwise false if idleOnly is set.
func (d *peerDemand) moreUrgentThan(part *jobPart, idleOnly bool) bool {
	if part == nil {
		return true
	}
	if idleOnly {
		return false
	}
	if rank := part.subqueue.queue.rank; d.rank != rank {
		return d.rank < rank
	}
	return d.startBy.Add(part.subqueue.queue.slackMargin).Before(part.startBy)
}

// deductDemand subtracts the task that gets a slot from a demand of the peer.
func (p *peer) deductDemand(i int) { p.demands[i].tasks-- }

// deductSent subtracts n from the numbers of tasks in the demands last sent to
// the peer, after the peer lent or returned n slots: the peer subtracts each
// slot that it gives to a demand from its own copy. It must only be called if
// the peer had received the last Want; otherwise the peer subtracted the slots
// from earlier demands.
func (p *peer) deductSent(n int) {
	p.answered = true
	for i := range p.sentDemands {
		d := min(n, p.sentDemands[i].tasks)
		p.sentDemands[i].tasks -= d
		n -= d
	}
}

// buildDemands returns the demands of the waiting tasks by rank, in the memory
// of demands.
func (s *Scheduler) buildDemands(now time.Time, demands []peerDemand) []peerDemand {
	demands = demands[:0]
	for _, q := range s.queues {
		if q.tasks == 0 {
			continue
		}
		p := s.chooseFromRank(now, q, allGroupsMask)
		if p == nil {
			continue
		}
		demands = append(demands, peerDemand{rank: q.rank, startBy: p.startBy, tasks: min(q.tasks, maxDemandTasks), needs: p.tasks[0].needs})
	}
	return demands
}

// sendWants sends each peer the demands of this instance's waiting tasks if the
// peer needs an update.
func (s *Scheduler) sendWants(now time.Time, out *Output) {
	if len(s.peers) == 0 {
		return
	}
	s.demands = s.buildDemands(now, s.demands)
	for _, q := range s.queues {
		s.planDemands(now, q, demandOfRank(s.demands, q.rank).tasks, out)
	}
	for _, p := range s.peers {
		s.sendWantIfDue(now, p, out)
	}
}

// planDemands sets the number of the rank's waiting tasks that each peer should
// know of. Up to maxBroadcastPeers peers all get a demand: of all tasks if the
// rank is the most urgent one, else of an equal part. More peers together get a
// demand of the tasks that the own slots will not serve, so that they do not
// lend more slots than are needed; while no task starts, the demand is sent to
// more and more of them.
func (s *Scheduler) planDemands(now time.Time, q *rankQueue, tasks int, out *Output) {
	n := len(s.peers)
	sent, unsent := s.startPlan(q.rank)
	widenAt := q.lastProgress.Add(s.widenDelay(q.rank))
	wanted := tasks * n / (n + 1)
	switch {
	case tasks == 0:
		s.capPlan(q.rank, 0)
	case n <= maxBroadcastPeers:
		if q.rank > 0 {
			tasks = (tasks + n - 1) / n
		}
		s.planAll(q.rank, tasks)
	case sent > 2*tasks+n:
		s.capPlan(q.rank, (tasks+n-1)/n)
	case unsent > 0 && sent < wanted:
		s.planMore(q, wanted-sent, (wanted-sent+unsent-1)/unsent)
		out.wakeAt(widenAt)
	case unsent > 0 && now.Before(widenAt):
		out.wakeAt(widenAt)
	case unsent > 0:
		s.planMore(q, max(sent, 1), (max(sent, 1)+unsent-1)/unsent)
		q.lastProgress = now
		out.wakeAt(now.Add(s.widenDelay(q.rank)))
	}
}

// planAll plans a demand of that many tasks for each peer. It keeps a demand of
// up to twice as many, which does no harm, to save messages.
func (s *Scheduler) planAll(r class.Rank, tasks int) {
	for _, p := range s.peers {
		if planned := p.plannedTasks[r]; planned < tasks || planned > 2*tasks+1 {
			p.plannedTasks[r] = tasks
		}
	}
}

func (s *Scheduler) widenDelay(r class.Rank) time.Duration {
	if r == 0 {
		return topRankWidenDelay
	}
	return lowerRankWidenDelay
}

// startPlan sets each peer's plan to the demand last sent to it. It returns the
// sum of the rank's tasks in these demands, and the number of peers without any.
func (s *Scheduler) startPlan(r class.Rank) (tasks, unsent int) {
	for _, p := range s.peers {
		p.plannedTasks = resize(p.plannedTasks, len(s.queues))
		n := demandOfRank(p.sentDemands, r).tasks
		p.plannedTasks[r] = n
		tasks += n
		if n == 0 {
			unsent++
		}
	}
	return tasks, unsent
}

func (s *Scheduler) capPlan(r class.Rank, each int) {
	for _, p := range s.peers {
		p.plannedTasks[r] = min(p.plannedTasks[r], each)
	}
}

// planMore plans demands of that many tasks each for peers without one of the
// rank, until the total is reached.
func (s *Scheduler) planMore(q *rankQueue, total, each int) {
	n := len(s.peers)
	for i := range n {
		p := s.peers[(q.firstPeer+i)%n]
		if p.plannedTasks[q.rank] > 0 {
			continue
		}
		p.plannedTasks[q.rank] = each
		if total -= each; total <= 0 {
			break
		}
	}
}

func resize(plan []int, n int) []int {
	for len(plan) < n {
		plan = append(plan, 0)
	}
	return plan[:n]
}

func (s *Scheduler) sendWantIfDue(now time.Time, p *peer, out *Output) {
	sendAt := s.nextWantTime(now, p)
	if sendAt.IsZero() {
		return
	}
	if now.Before(sendAt) {
		out.wakeAt(sendAt)
		return
	}
	s.sendWant(now, p, out)
}

// nextWantTime returns when to send the next Want to the peer, or zero if it
// needs none.
func (s *Scheduler) nextWantTime(now time.Time, p *peer) time.Time {
	if p.fullWantDue {
		return now
	}
	for r := range s.queues {
		rank := class.Rank(r)
		planned := demandOfRank(s.demands, rank)
		planned.tasks = p.plannedTasks[r]
		sent := demandOfRank(p.sentDemands, rank)
		if !s.outdated(sent, planned) {
			continue
		}
		if rank == 0 || sent.tasks == 0 || planned.tasks < sent.tasks {
			return now
		}
		return p.lastSent.Add(minWantInterval)
	}
	var sendAt time.Time
	if len(s.demands) > 0 {
		sendAt = p.lastSent.Add(wantRefreshInterval)
	}
	if s.sharesSlots(p) {
		sendAt = earliest(sendAt, p.lastFullSent.Add(s.settings.LeaseLength/4))
	}
	return sendAt
}

// sharesSlots reports whether slots are lent between this instance and the peer.
func (s *Scheduler) sharesSlots(p *peer) bool { return p.lentTo > 0 || p.borrowedFrom > 0 }

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func demandOfRank(demands []peerDemand, r class.Rank) peerDemand {
	for _, d := range demands {
		if d.rank == r {
			return d
		}
	}
	return peerDemand{rank: r}
}

// outdated reports whether the sent demand differs so much from the actual one
// that the peer could decide wrongly: in the number of tasks, or in slack by more
// than the margin.
func (s *Scheduler) outdated(sent, actual peerDemand) bool {
	if sent.tasks != actual.tasks {
		return true
	}
	return actual.tasks > 0 && sent.startBy.Sub(actual.startBy).Abs() > s.slackMargin(actual.rank)
}

// slackMargin returns by how much the slack of tasks of the rank must differ
// for the difference to count.
func (s *Scheduler) slackMargin(r class.Rank) time.Duration {
	return s.queues[min(int(r), len(s.queues)-1)].slackMargin
}

func (s *Scheduler) sendWant(now time.Time, p *peer, out *Output) {
	want := message.Want{Demands: make([]message.Demand, 0, len(s.demands))}
	sentBefore := len(p.sentDemands)
	p.sentDemands = p.sentDemands[:0]
	for _, d := range s.demands {
		if d.tasks = p.plannedTasks[d.rank]; d.tasks == 0 {
			continue
		}
		p.sentDemands = append(p.sentDemands, d)
		want.Demands = append(want.Demands, message.Demand{Rank: d.rank, Slack: d.startBy.Sub(now), Tasks: d.tasks, Needs: d.needs})
	}
	if p.fullWantDue || now.Sub(p.lastFullSent) >= s.settings.LeaseLength/4 {
		p.lastFullSent = now
		want.Full = true
		want.Held = s.heldLeases(p)
	}
	if !p.answered && sentBefore > 0 && len(p.sentDemands) == 0 {
		s.counters.Unanswered++
	}
	p.answered = false
	p.fullWantDue = false
	s.lastWantSequence++
	p.sentSequence = s.lastWantSequence
	want.Sequence = p.sentSequence
	p.lastSent = now
	s.counters.Wants++
	out.send(s.settings.Self, p, want)
}

// heldLeases returns this instance's leases on endpoints held by the peer.
func (s *Scheduler) heldLeases(p *peer) []message.SlotLease {
	var leases []message.SlotLease
	for _, e := range s.endpoints {
		if e.holder == p && e.borrowed > 0 {
			leases = append(leases, message.SlotLease{Endpoint: e.info.ID, Epoch: e.leaseEpoch, Slots: e.borrowed})
		}
	}
	return leases
}

func (o *Output) send(from instance.Ref, p *peer, b message.Body) {
	o.Messages = append(o.Messages, message.Message{From: from, To: p.ref, Body: b})
}

func (o *Output) wakeAt(t time.Time) {
	if o.Wake.IsZero() || t.Before(o.Wake) {
		o.Wake = t
	}
}
