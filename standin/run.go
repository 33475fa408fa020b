package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/lovagecrank/lovagecrank/task"
)

// The reasons why a run ends.
const (
	endCompleted endReason = iota
	endStopped
	endLeaseExpired
	endCrashed
)

var (
	errFailsAll     = errors.New("this endpoint fails every task")
	errStopped      = errors.New("the task was stopped")
	errLeaseExpired = errors.New("the task's lease lapsed")
)

type (
	// endReason is the reason why a run ended.
	endReason uint8

	// run is one run of a task, which occupies a slot. Only the goroutine that
	// serves the start tracks its progress; other goroutines send commands over
	// the channels.
	run struct {
		startedAt time.Time
		work      workRequest
		needs     task.Needs
		// lease is the maximum run time; zero means no limit.
		lease time.Duration
		// speed is the speed without throttling, where 1 is the normal speed.
		speed float64
		// shareChanges and endRequests carry commands from other goroutines. Each
		// holds one pending command; further ones are dropped until it is read.
		shareChanges chan float64
		endRequests  chan endReason
		// failure makes the task fail immediately, if not nil.
		failure error
	}
)

func newRun(now time.Time, q startRequest, f EndpointFaults) *run {
	work, err := parseWork(q.Payload)
	r := &run{
		startedAt:    now,
		work:         work,
		needs:        q.needs(),
		lease:        time.Duration(q.LeaseMS * float64(time.Millisecond)),
		speed:        1,
		shareChanges: make(chan float64, 1),
		endRequests:  make(chan endReason, 1),
		failure:      err,
	}
	if f.Slowdown > 0 {
		r.speed = 1 / f.Slowdown
	}
	if f.FailAll {
		r.failure = errFailsAll
	}
	return r
}

// requestEnd asks the run to end. Only the first request has an effect.
func (r *run) requestEnd(reason endReason) {
	select {
	case r.endRequests <- reason:
	default:
	}
}

// execute does the work, waits for the run time to pass and returns the reply.
func (r *run) execute() (startReply, endReason) {
	if r.failure != nil {
		return r.reply(outcomeFailed, encodeError(r.failure)), endCompleted
	}
	answer, failed := r.work.answer()
	switch reason := r.wait(); {
	case reason == endStopped:
		return r.reply(outcomeFailed, encodeError(errStopped)), reason
	case reason == endLeaseExpired:
		return r.reply(outcomeFailed, encodeError(errLeaseExpired)), reason
	case failed:
		return r.reply(outcomeFailed, answer), reason
	default:
		return r.reply(outcomeAnswered, answer), reason
	}
}

func (r *run) reply(outcome string, answer json.RawMessage) startReply {
	ran := time.Since(r.startedAt)
	return startReply{Outcome: outcome, RanMS: ran.Seconds() * 1000, Answer: answer}
}

// wait waits until the run time at the current speed has passed, the lease
// expires or another goroutine ends the run. It returns which of these happened.
func (r *run) wait() endReason {
	if r.work.HoldMS == 0 {
		return endCompleted
	}
	var expired <-chan time.Time
	if r.lease > 0 {
		t := time.NewTimer(r.lease)
		defer t.Stop()
		expired = t.C
	}
	remaining, share := r.work.runTime(), 1.0
	for {
		speed := r.speed * share
		changedAt := time.Now()
		t := time.NewTimer(time.Duration(float64(remaining) / speed))
		select {
		case <-t.C:
			return endCompleted
		case <-expired:
			t.Stop()
			return endLeaseExpired
		case reason := <-r.endRequests:
			t.Stop()
			return reason
		case share = <-r.shareChanges:
			t.Stop()
			remaining -= time.Duration(float64(time.Since(changedAt)) * speed)
		}
	}
}

// handleThrottle answers POST /v1/tasks/throttle.
func (e *Endpoint) handleThrottle(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q throttleRequest
	if !readBody(w, r, &q) {
		return
	}
	if !(q.Share > 0 && q.Share <= 1) {
		writeReply(w, http.StatusConflict, commandReply{Reason: "share must be above 0 and at most 1"})
		return
	}
	e.applyToRun(w, q.startRef, func(t *run) {
		select {
		case t.shareChanges <- q.Share:
		default:
		}
	})
}

// handleCheckpoint answers POST /v1/tasks/checkpoint. The task of a stand-in has
// no state to save, so the command has no effect.
func (e *Endpoint) handleCheckpoint(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q startRef
	if readBody(w, r, &q) {
		e.applyToRun(w, q, func(*run) {})
	}
}

// handleStop answers POST /v1/tasks/stop.
func (e *Endpoint) handleStop(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q startRef
	if readBody(w, r, &q) {
		e.applyToRun(w, q, func(t *run) { t.requestEnd(endStopped) })
	}
}

// applyToRun calls send for the run of a task, to send it a command, and replies.
// It refuses the command if the task is not running.
func (e *Endpoint) applyToRun(w http.ResponseWriter, q startRef, send func(*run)) {
	e.mu.Lock()
	t := e.running[q.ref()]
	e.mu.Unlock()
	if t == nil {
		writeReply(w, http.StatusConflict, commandReply{Reason: "the task is not running"})
		return
	}
	send(t)
	writeReply(w, http.StatusOK, commandReply{Done: true})
}
