package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/task"
)

// The outcomes of a start, as in the reply to the start or to a query for its
// outcome.
const (
	outcomeAnswered       = "answered"
	outcomeFailed         = "failed"
	outcomeNotRun         = "not_run"
	outcomeAlreadyStarted = "already_started"
	outcomeRunning        = "running"
	outcomeForgotten      = "forgotten"
)

// The reasons why a start was not run.
const (
	reasonFull       = "full"
	reasonDraining   = "leaving"
	reasonTooLarge   = "too_large"
	reasonStaleEpoch = "stale_epoch"
	reasonFenced     = "fenced"
	reasonBroken     = "broken"
)

type (
	homeRef struct {
		DataCentre  string `json:"data_centre"`
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
	}

	// startRef identifies a start.
	startRef struct {
		SubmissionID string  `json:"submission_id"`
		Index        int     `json:"index"`
		Home         homeRef `json:"home"`
		Epoch        uint64  `json:"epoch"`
	}

	outcomeRequest struct {
		startRef
		// AgeMS is a lower bound of the time since the start was sent, in
		// milliseconds.
		AgeMS float64 `json:"age_ms"`
	}

	startRequest struct {
		startRef
		LeaseMS      float64         `json:"lease_ms"`
		Cores        float64         `json:"cores"`
		MemoryBytes  int64           `json:"memory_bytes"`
		Accelerators int             `json:"accelerators"`
		Payload      json.RawMessage `json:"payload"`
	}

	endpointLoad struct {
		Running  int  `json:"running"`
		Draining bool `json:"leaving"`
	}

	startReply struct {
		Outcome string          `json:"outcome"`
		Reason  string          `json:"reason"`
		RanMS   float64         `json:"ran_ms"`
		Load    endpointLoad    `json:"load"`
		Answer  json.RawMessage `json:"answer,omitempty"`
	}

	throttleRequest struct {
		startRef
		Share float64 `json:"share"`
	}

	commandReply struct {
		Done   bool   `json:"done"`
		Reason string `json:"reason"`
	}

	statusReply struct {
		endpointLoad
		Slots int `json:"slots"`
	}

	usageReport struct {
		LagMS int64       `json:"lag_ms"`
		Tasks []taskUsage `json:"tasks"`
	}

	taskUsage struct {
		SubmissionID string  `json:"submission_id"`
		Index        int     `json:"index"`
		Cores        float64 `json:"cores"`
		MemoryBytes  int64   `json:"memory_bytes"`
		Accelerators int     `json:"accelerators"`
	}
)

func (s startRef) ref() task.Ref { return task.Ref{Submission: s.SubmissionID, Index: s.Index} }

func (h homeRef) ref() instance.Ref {
	return instance.Ref{DataCentre: h.DataCentre, ID: h.ID, Incarnation: h.Incarnation}
}

func (q startRequest) needs() task.Needs {
	return task.Needs{Cores: q.Cores, MemoryBytes: q.MemoryBytes, Accelerators: q.Accelerators}
}

// handleStart answers POST /v1/tasks. A task that has started continues if its
// caller disconnects.
func (e *Endpoint) handleStart(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q startRequest
	if !readBody(w, r, &q) {
		return
	}
	f := e.faults.Load()
	if f.DropBeforeStart {
		panic(http.ErrAbortHandler)
	}
	t, refused := e.tryStart(time.Now(), q, *f)
	if refused != nil {
		writeReply(w, http.StatusConflict, refused)
		return
	}
	reply, reason := t.execute()
	reply = e.finish(q.ref(), t, reply)
	if f.DropAfterStart || reason == endCrashed || !pause(r, f.DelayReply) {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, http.StatusOK, reply)
}

// tryStart starts a task, or returns the reply that says why it was not started.
func (e *Endpoint) tryStart(now time.Time, q startRequest, f EndpointFaults) (*run, *startReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.findStart(q.ref())
	if s != nil && !s.fenced && s.runs > 0 && !f.RunRepeats {
		e.counts.Repeated++
		return nil, &startReply{Outcome: outcomeAlreadyStarted, Load: e.currentLoad()}
	}
	if reason := e.refusalReason(q, s, f); reason != "" {
		e.counts.Refused++
		return nil, &startReply{Outcome: outcomeNotRun, Reason: reason, Load: e.currentLoad()}
	}
	e.epochs[q.Home.ref()] = max(e.epochs[q.Home.ref()], q.Epoch)
	e.findOrAddStart(now, q.ref()).runs++
	t := newRun(now, q, f)
	e.running[q.ref()] = t
	e.counts.Starts++
	e.counts.MaxRunning = max(e.counts.MaxRunning, len(e.running))
	return t, nil
}

// refusalReason returns why a start must be refused, or "" if it may run.
func (e *Endpoint) refusalReason(q startRequest, s *startRecord, f EndpointFaults) string {
	size := e.info.Size
	switch {
	case s != nil && s.fenced:
		return reasonFenced
	case q.Epoch < e.epochs[q.Home.ref()]:
		return reasonStaleEpoch
	case f.Draining:
		return reasonDraining
	case f.Broken:
		return reasonBroken
	case q.Cores > size.Cores, q.MemoryBytes > size.MemoryBytes, q.Accelerators > size.Accelerators:
		return reasonTooLarge
	case f.Full, len(e.running) >= e.info.Slots:
		return reasonFull
	default:
		return ""
	}
}

// finish frees the slot, records the reply and returns it with the load after
// the task.
func (e *Endpoint) finish(ref task.Ref, t *run, reply startReply) startReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	// After Restart the run no longer occupies a slot, and another run of the
	// same task may be running.
	if e.running[ref] == t {
		delete(e.running, ref)
		recorded := reply
		e.findOrAddStart(time.Now(), ref).reply = &recorded
	}
	reply.Load = e.currentLoad()
	return reply
}

// handleOutcomeQuery answers POST /v1/tasks/fate.
func (e *Endpoint) handleOutcomeQuery(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q outcomeRequest
	if !readBody(w, r, &q) {
		return
	}
	if e.faults.Load().NoOutcomeQueries {
		writeReply(w, http.StatusNotFound, errorReply{Reason: "no such question"})
		return
	}
	writeReply(w, http.StatusOK, e.startOutcome(time.Now(), q.ref(), time.Duration(q.AgeMS*float64(time.Millisecond))))
}

// startOutcome returns the outcome of a start. A start that is not on record is
// fenced, so that it is refused if it arrives later, and has the outcome
// outcomeNotRun. If it may have been sent before Restart or NewEndpoint, it is
// not fenced and has the outcome outcomeForgotten.
func (e *Endpoint) startOutcome(now time.Time, ref task.Ref, age time.Duration) startReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[ref] != nil {
		return startReply{Outcome: outcomeRunning, Load: e.currentLoad()}
	}
	s := e.findStart(ref)
	if s == nil && (e.restarted || now.Sub(e.createdAt) < age) {
		return startReply{Outcome: outcomeForgotten, Load: e.currentLoad()}
	}
	if s == nil {
		s = e.findOrAddStart(now, ref)
		s.fenced = true
	}
	if s.fenced {
		return startReply{Outcome: outcomeNotRun, Reason: reasonFenced, Load: e.currentLoad()}
	}
	reply := *s.reply
	reply.Load = e.currentLoad()
	return reply
}
