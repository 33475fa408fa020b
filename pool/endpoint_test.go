package pool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

type (
	// fakeEndpoint does what the platform's page says of a worker.
	fakeEndpoint struct {
		w     *world
		index int
		info  endpoint.Info
		up    bool
		born  time.Time
		token int64
		lease time.Duration
		runs  map[run.Ref]*fakeRun
		ended []End
		last  int64
		// highest is the highest run of a task that was stopped or ended.
		highest map[string]int64
		waiting []*waitingLook
		// pace is how many times longer than usual runs take; fails makes
		// them fail, and hangs makes them stand still.
		pace  float64
		fails bool
		hangs bool
		// refusesFull counts starts that did not fit.
		refusesFull int
	}

	fakeRun struct {
		ref   run.Ref
		needs task.Needs
		begun time.Time
		takes time.Duration
		over  bool
	}

	waitingLook struct {
		seen int64
		back func(LookReply)
		done bool
	}
)

func newFakeEndpoint(w *world, i int) *fakeEndpoint {
	e := &fakeEndpoint{w: w, index: i, up: true, pace: 1}
	e.info = endpoint.Info{
		ID:         fmt.Sprintf("e%02d", i),
		Address:    address,
		DataCentre: centre(i),
		Rack:       fmt.Sprintf("r%d", i/3),
		Slots:      8,
		Size:       needs(16),
		Service:    "s",
		Labels:     []string{"a", fmt.Sprintf("r%d", i/3)},
	}
	e.info.Size.MemoryBytes = 64 << 30
	e.boot()
	return e
}

func (e *fakeEndpoint) boot() {
	e.up, e.born = true, e.w.now.Truncate(time.Millisecond)
	e.info.Born = e.born
	e.token, e.lease, e.last = 0, 0, 0
	e.runs, e.ended, e.highest = map[run.Ref]*fakeRun{}, nil, map[string]int64{}
	e.waiting = nil
}

// crash ends all that runs there; the endpoint starts again after a while.
func (e *fakeEndpoint) crash(d time.Duration) {
	for _, r := range e.sorted() {
		r.over = true
		e.w.watch.over(e, r.ref, run.Lapsed)
	}
	e.runs = map[run.Ref]*fakeRun{}
	e.up = false
	e.w.after(d, e.boot)
}

func (e *fakeEndpoint) clock() time.Duration { return e.w.now.Sub(e.born) + time.Millisecond }

func (e *fakeEndpoint) start(s Start) Reply {
	if r, ok := e.check(s.Order); !ok {
		return r
	}
	if _, ok := e.runs[s.Run]; ok {
		e.extend(s.Until)
		return e.reply(Accepted)
	}
	if s.Until <= e.clock() {
		return e.reply(Late)
	}
	e.extend(s.Until)
	for ref := range e.runs {
		if ref.Task == s.Run.Task && ref.Number >= s.Run.Number {
			return e.reply(Old)
		}
	}
	if s.Run.Number <= e.highest[s.Run.Task] {
		return e.reply(Old)
	}
	n, takes, ok := e.w.watch.workOf(s.Run.Task)
	used := task.Needs{}
	for _, r := range e.runs {
		used = sum(used, r.needs, 1)
	}
	if !within(sum(used, n, 1), e.info.Size) || len(e.runs) >= e.info.Slots {
		e.refusesFull++
		return e.reply(Full)
	}
	r := &fakeRun{ref: s.Run, needs: n, begun: e.w.now, takes: time.Duration(e.pace * float64(takes))}
	e.runs[s.Run] = r
	e.w.watch.began(e, s)
	if !e.hangs {
		e.w.after(r.takes, func() { e.end(r, statusOf(ok && !e.fails)) })
	}
	return e.reply(Accepted)
}

// check refuses the orders of another boot or an earlier holder.
func (e *fakeEndpoint) check(o Order) (Reply, bool) {
	if !e.up {
		return Reply{Verdict: Gone}, false
	}
	if o.Token < e.token {
		return e.reply(Fenced), false
	}
	e.token = o.Token
	return Reply{}, true
}

func (e *fakeEndpoint) reply(v Verdict) Reply { return Reply{Verdict: v, Clock: e.clock()} }

// extend renews the lease, and ends all that runs when it is over.
func (e *fakeEndpoint) extend(until time.Duration) {
	until = min(until, e.clock()+testLease)
	if until <= e.lease {
		return
	}
	e.lease = until
	born := e.born
	e.w.after(until-e.clock(), func() {
		if e.born != born || !e.up || e.clock() < e.lease {
			return
		}
		for _, r := range e.sorted() {
			e.end(r, run.Lapsed)
		}
	})
}

// sorted returns the runs in the order of their tasks' names.
func (e *fakeEndpoint) sorted() []*fakeRun {
	return slices.SortedFunc(maps.Values(e.runs), func(a, b *fakeRun) int {
		return cmp.Or(cmp.Compare(a.ref.Task, b.ref.Task), cmp.Compare(a.ref.Number, b.ref.Number))
	})
}

func (e *fakeEndpoint) end(r *fakeRun, status run.Status) {
	if r.over {
		return
	}
	r.over = true
	delete(e.runs, r.ref)
	e.last++
	e.ended = append(e.ended, End{Number: e.last, Run: r.ref, Status: status})
	e.highest[r.ref.Task] = max(e.highest[r.ref.Task], r.ref.Number)
	e.w.watch.over(e, r.ref, status)
	for _, l := range e.waiting {
		e.answer(l)
	}
	e.waiting = nil
}

func (e *fakeEndpoint) stop(s Stop) Reply {
	if r, ok := e.check(s.Order); !ok {
		return r
	}
	e.highest[s.Run.Task] = max(e.highest[s.Run.Task], s.Run.Number)
	if r := e.runs[s.Run]; r != nil {
		e.w.after(testStop/2, func() { e.end(r, run.Stopped) })
	}
	return e.reply(Accepted)
}

func (e *fakeEndpoint) look(l Look, back func(LookReply)) {
	if r, ok := e.check(l.Order); !ok {
		back(LookReply{Reply: r})
		return
	}
	if l.Until > 0 {
		e.extend(l.Until)
	}
	for len(e.ended) > 0 && e.ended[0].Number <= l.Seen {
		e.ended = e.ended[1:]
	}
	wait := &waitingLook{seen: l.Seen, back: back}
	if l.Wait <= 0 || len(e.ended) > 0 {
		e.answer(wait)
		return
	}
	e.waiting = append(e.waiting, wait)
	e.w.after(l.Wait, func() { e.answer(wait) })
}

func (e *fakeEndpoint) answer(l *waitingLook) {
	if l.done {
		return
	}
	l.done = true
	r := LookReply{Reply: e.reply(Accepted), Born: e.born}
	for _, fr := range e.sorted() {
		percent := 100 * float64(e.w.now.Sub(fr.begun)) / float64(max(fr.takes, 1))
		if e.hangs {
			percent = 0
		}
		r.Running = append(r.Running, Running{Run: fr.ref, Percent: percent})
	}
	r.Ended = append(r.Ended, e.ended...)
	if !e.up {
		r = LookReply{Reply: Reply{Verdict: Gone}}
	}
	l.back(r)
}
