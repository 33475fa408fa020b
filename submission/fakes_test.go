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

func (w *world) deliver(from *node, m message.Message) {
	to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.ref.ID == m.To.ID })
	source := slices.IndexFunc(w.nodes, func(n *node) bool { return n.ref.ID == from.ref.ID })
	times := 1
	if w.loss > 0 && w.chance(w.loss/2) {
		times = 2
	}
	for range times {
		if w.chance(w.loss) {
			continue
		}
		w.after(w.ms(1, 5+w.loss*10), func() {
			if !w.cuts[[2]int{source, to}] {
				w.input(w.nodes[to], func(now time.Time, out *Output) {
					w.nodes[to].manager.Receive(now, m, out)
				})
			}
		})
	}
}

func (w *world) callStore(n *node, c storage.Call) {
	reply := func(d time.Duration, r storage.Reply) {
		w.after(d, func() {
			w.input(n, func(now time.Time, out *Output) { n.manager.StoreReplied(now, r, out) })
		})
	}
	doubtful := storage.Reply{Number: c.Number, Fate: storage.Doubtful}
	done := func(d, back time.Duration) {
		w.after(d, func() { reply(back, w.apply(c)) })
	}
	switch mode := w.store; {
	case mode == storeDown:
		reply(w.ms(1, 50), storage.Reply{Number: c.Number, Fate: storage.NotApplied})
	case mode == storeCrawls:
		done(w.ms(1, 5000), w.ms(1, 1000))
	case mode == storeLossy && w.chance(60):
		switch w.dice.IntN(4) {
		case 0: // the answer is lost after the effect
			w.after(w.ms(1, 20), func() { w.apply(c) })
			reply(w.ms(100, 1000), doubtful)
		case 1: // the call is lost
			reply(w.ms(100, 1000), doubtful)
		case 2: // the effect comes long after the doubt
			w.after(w.ms(2000, 15000), func() { w.apply(c) })
			reply(w.ms(100, 1000), doubtful)
		default: // silence
			w.after(w.ms(1, 9000), func() { w.apply(c) })
		}
	default:
		done(w.ms(1, 10), w.ms(1, 10))
	}
}

// apply carries out a call on the fake table.
func (w *world) apply(c storage.Call) storage.Reply {
	r := storage.Reply{Number: c.Number}
	for _, key := range c.Get {
		r.Rows = append(r.Rows, w.table[key])
	}
	for _, insert := range c.Insert {
		row, taken := w.table[insert.Key]
		if !taken {
			row = storage.Row{Key: insert.Key, Value: insert.Value, Version: 1}
			w.table[insert.Key] = row
		}
		r.Rows = append(r.Rows, row)
		r.Applied = append(r.Applied, !taken)
	}
	return r
}

// startSome tries to start tasks out of everything that was ever queued.
func (w *world) startSome(n *node, tries int) {
	for range tries {
		if !n.alive || n.paused || len(n.queue) == 0 {
			return
		}
		ref := n.queue[len(n.queue)-1-w.dice.IntN(min(len(n.queue), 12))]
		w.send(n, ref)
	}
	if w.chance(80) {
		w.after(w.ms(1, 200), func() { w.startSome(n, tries) })
	}
}

func (w *world) send(n *node, ref task.Ref) {
	attempt, ok := n.manager.Sent(w.now.Add(n.skew), ref, "e")
	if !ok {
		return
	}
	sentAt := w.now
	answer := n.jobs[ref.Submission].Tasks[ref.Index].Payload
	outcome := endpoint.Answered
	starts := true
	if w.chance(w.endpointFaults) {
		outcome = []endpoint.Outcome{endpoint.Failed, endpoint.Refused, endpoint.Refused, endpoint.Lost, endpoint.Lost}[w.dice.IntN(5)]
		starts = outcome == endpoint.Failed || outcome == endpoint.Lost && w.chance(70)
	}
	if starts {
		w.after(w.ms(0, 30), func() { w.seen.started(ref, sentAt, w.now) })
	}
	if starts && w.failing {
		outcome = endpoint.Failed
	}
	w.finished(n, ref, attempt, outcome, answer, w.straggle+w.ms(31, 400))
	for w.chance(w.endpointFaults / 2) { // late and repeated reports
		repeated := endpoint.Outcome(w.dice.IntN(4))
		w.finished(n, ref, attempt, repeated, answer, w.straggle+w.ms(401, 3000))
	}
}

func (w *world) finished(n *node, ref task.Ref, attempt uint64, o endpoint.Outcome, answer []byte, d time.Duration) {
	w.after(d, func() {
		w.input(n, func(now time.Time, out *Output) { n.manager.Finished(now, ref, attempt, o, answer, out) })
	})
}

func (w *world) submit(i int, j job.Job, wait bool) uint64 {
	w.call++
	call, n := w.call, w.nodes[i]
	w.seen.calls[call] = &seen{node: n, id: j.SubmissionID, submit: &j, at: w.now, wait: wait}
	if j.SubmissionID == "" {
		w.submitNew(n, call, j, wait)
		return call
	}
	w.seen.open[j.SubmissionID]++
	w.input(n, func(now time.Time, out *Output) { n.manager.Submit(now, call, j, wait, out) })
	return call
}

// submitNew submits a job without an id and learns the id from what is queued.
func (w *world) submitNew(n *node, call uint64, j job.Job, wait bool) {
	w.input(n, func(now time.Time, out *Output) {
		n.manager.Submit(now, call, j, wait, out)
		for _, b := range out.Enqueue {
			id := b.Job.SubmissionID
			w.seen.calls[call].id = id
			w.seen.open[id]++
			w.remember(id)
			w.issued[id] = *b.Job
		}
	})
}

func (w *world) ask(i int, id string, cancel, wait bool) uint64 {
	w.call++
	call, n := w.call, w.nodes[i]
	w.seen.calls[call] = &seen{node: n, id: id, at: w.now}
	w.input(n, func(now time.Time, out *Output) {
		if cancel {
			n.manager.Cancel(now, call, id, out)
		} else {
			n.manager.Show(now, call, id, wait, out)
		}
	})
	return call
}

func (w *world) abandon(call uint64) {
	c := w.seen.calls[call]
	c.excused = true
	w.input(c.node, func(now time.Time, _ *Output) { c.node.manager.Abandon(now, call) })
}
