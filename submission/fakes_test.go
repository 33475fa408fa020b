package submission

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

func (sim *simulation) deliver(from *node, m message.Message) {
	to := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.ref.ID == m.To.ID })
	source := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.ref.ID == from.ref.ID })
	times := 1
	if sim.lossPercent > 0 && sim.chance(sim.lossPercent/2) {
		times = 2
	}
	for range times {
		if sim.chance(sim.lossPercent) {
			continue
		}
		sim.schedule(sim.randomMillis(1, 5+sim.lossPercent*10), func() {
			if !sim.cutLinks[[2]int{source, to}] {
				sim.input(sim.nodes[to], func(now time.Time, out *Output) {
					sim.nodes[to].manager.Receive(now, m, out)
				})
			}
		})
	}
}

func (sim *simulation) callStore(n *node, c storage.Call) {
	reply := func(d time.Duration, r storage.Reply) {
		sim.schedule(d, func() {
			sim.input(n, func(now time.Time, out *Output) { n.manager.HandleStoreReply(now, r, out) })
		})
	}
	unconfirmed := storage.Reply{Number: c.Number, Outcome: storage.Unknown}
	applyAndReply := func(delay, replyDelay time.Duration) {
		sim.schedule(delay, func() { reply(replyDelay, sim.applyCall(c)) })
	}
	switch mode := sim.storeMode; {
	case mode == storeDown:
		reply(sim.randomMillis(1, 50), storage.Reply{Number: c.Number, Outcome: storage.NotApplied})
	case mode == storeSlow:
		applyAndReply(sim.randomMillis(1, 5000), sim.randomMillis(1, 1000))
	case mode == storeLossy && sim.chance(60):
		switch sim.rng.IntN(4) {
		case 0: // the reply is lost after the call took effect
			sim.schedule(sim.randomMillis(1, 20), func() { sim.applyCall(c) })
			reply(sim.randomMillis(100, 1000), unconfirmed)
		case 1: // the call is lost
			reply(sim.randomMillis(100, 1000), unconfirmed)
		case 2: // the call takes effect long after the reply
			sim.schedule(sim.randomMillis(2000, 15000), func() { sim.applyCall(c) })
			reply(sim.randomMillis(100, 1000), unconfirmed)
		default: // no reply
			sim.schedule(sim.randomMillis(1, 9000), func() { sim.applyCall(c) })
		}
	default:
		applyAndReply(sim.randomMillis(1, 10), sim.randomMillis(1, 10))
	}
}

// applyCall performs a call on the fake store.
func (sim *simulation) applyCall(c storage.Call) storage.Reply {
	r := storage.Reply{Number: c.Number}
	for _, key := range c.Get {
		r.Rows = append(r.Rows, sim.rows[key])
	}
	for _, insert := range c.Insert {
		row, taken := sim.rows[insert.Key]
		if !taken {
			row = storage.Row{Key: insert.Key, Value: insert.Value, Version: 1}
			sim.rows[insert.Key] = row
		}
		r.Rows = append(r.Rows, row)
		r.Applied = append(r.Applied, !taken)
	}
	return r
}

// startRandomTasks tries to start some of the tasks that were ever enqueued,
// even if they have started already.
func (sim *simulation) startRandomTasks(n *node, tries int) {
	for range tries {
		if !n.alive || n.paused || len(n.queue) == 0 {
			return
		}
		ref := n.queue[len(n.queue)-1-sim.rng.IntN(min(len(n.queue), 12))]
		sim.sendTask(n, ref)
	}
	if sim.chance(80) {
		sim.schedule(sim.randomMillis(1, 200), func() { sim.startRandomTasks(n, tries) })
	}
}

func (sim *simulation) sendTask(n *node, ref task.Ref) {
	attempt, ok := n.manager.BeginAttempt(sim.now.Add(n.clockSkew), ref, "e")
	if !ok {
		return
	}
	sentAt := sim.now
	answer := n.jobs[ref.Submission].Tasks[ref.Index].Payload
	outcome := endpoint.Answered
	starts := true
	if sim.chance(sim.endpointFaultPercent) {
		outcome = []endpoint.Outcome{endpoint.Failed, endpoint.Refused, endpoint.Refused, endpoint.Lost, endpoint.Lost}[sim.rng.IntN(5)]
		starts = outcome == endpoint.Failed || outcome == endpoint.Lost && sim.chance(70)
	}
	if starts {
		sim.schedule(sim.randomMillis(0, 30), func() { sim.observer.recordStart(ref, sentAt, sim.now) })
	}
	if starts && sim.failAllTasks {
		outcome = endpoint.Failed
	}
	sim.scheduleOutcome(n, ref, attempt, outcome, answer, sim.extraRunTime+sim.randomMillis(31, 400))
	for sim.chance(sim.endpointFaultPercent / 2) { // late and repeated outcomes
		repeated := endpoint.Outcome(sim.rng.IntN(4))
		sim.scheduleOutcome(n, ref, attempt, repeated, answer, sim.extraRunTime+sim.randomMillis(401, 3000))
	}
}

func (sim *simulation) scheduleOutcome(n *node, ref task.Ref, attempt uint64, o endpoint.Outcome, answer []byte, d time.Duration) {
	sim.schedule(d, func() {
		sim.input(n, func(now time.Time, out *Output) { n.manager.Finished(now, ref, attempt, o, answer, out) })
	})
}

func (sim *simulation) submit(i int, j job.Job, wait bool) uint64 {
	sim.lastCall++
	call, n := sim.lastCall, sim.nodes[i]
	sim.observer.calls[call] = &callRecord{node: n, id: j.SubmissionID, job: &j, requestedAt: sim.now, wait: wait}
	if j.SubmissionID == "" {
		sim.submitWithoutID(n, call, j, wait)
		return call
	}
	sim.observer.openSubmits[j.SubmissionID]++
	sim.input(n, func(now time.Time, out *Output) { n.manager.Submit(now, call, j, wait, out) })
	return call
}

// submitWithoutID submits a job without an id and takes the id from the
// enqueued tasks.
func (sim *simulation) submitWithoutID(n *node, call uint64, j job.Job, wait bool) {
	sim.input(n, func(now time.Time, out *Output) {
		n.manager.Submit(now, call, j, wait, out)
		for _, b := range out.Enqueue {
			id := b.Job.SubmissionID
			sim.observer.calls[call].id = id
			sim.observer.openSubmits[id]++
			sim.addID(id)
			sim.issued[id] = *b.Job
		}
	})
}

// request sends a Show or, with cancel, a Cancel request to node i.
func (sim *simulation) request(i int, id string, cancel, wait bool) uint64 {
	sim.lastCall++
	call, n := sim.lastCall, sim.nodes[i]
	sim.observer.calls[call] = &callRecord{node: n, id: id, requestedAt: sim.now}
	sim.input(n, func(now time.Time, out *Output) {
		if cancel {
			n.manager.Cancel(now, call, id, out)
		} else {
			n.manager.Show(now, call, id, wait, out)
		}
	})
	return call
}

func (sim *simulation) disconnect(call uint64) {
	c := sim.observer.calls[call]
	c.noReplyExpected = true
	sim.input(c.node, func(now time.Time, _ *Output) { c.node.manager.HandleDisconnect(now, call) })
}
