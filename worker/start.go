package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/internal/jsonappend"
	"github.com/lovagecrank/lovagecrank/task"
)

// The values of the field outcome in replies of an endpoint.
const (
	wireAnswered  = "answered"
	wireFailed    = "failed"
	wireNotRun    = "not_run"
	wireRunning   = "running"
	wireForgotten = "forgotten"
)

type (
	// Request is a request to start a task.
	Request struct {
		Ref task.Ref
		// Home is the instance that accepted the job and starts the task.
		Home instance.Ref
		// Epoch is the epoch of the home's lease on the endpoint.
		Epoch uint64
		// Lease is how long the endpoint may run the task; if it is
		// zero, Start waits without a limit.
		Lease time.Duration
		Task  task.Task
		// TraceParent is the trace context in the format of the W3C traceparent
		// header, or empty.
		TraceParent string
	}

	// Reply is the result of a request to start a task.
	Reply struct {
		Outcome endpoint.Outcome
		// Reason explains the outcome, unless it is Answered.
		Reason string
		// Answer is JSON. It is set if the outcome is Answered or Failed.
		Answer []byte
		// Load is the load that the endpoint reported. HasLoad is false if it
		// reported none.
		Load    endpoint.Load
		HasLoad bool
		// Ran is the run time as measured by the endpoint.
		Ran time.Duration
	}

	wireLoad struct {
		Running int  `json:"running"`
		Leaving bool `json:"leaving"`
	}

	wireReply struct {
		Outcome string          `json:"outcome"`
		Reason  string          `json:"reason"`
		RanMS   float64         `json:"ran_ms"`
		Load    *wireLoad       `json:"load"`
		Answer  json.RawMessage `json:"answer"`
	}
)

// envelopeCapacity is the initial capacity, in bytes, for all fields of a request
// except the payload.
const envelopeCapacity = 384

var contentType = []string{"application/json"}

// Start sends a task to an endpoint once and waits for its reply, for at most
// the lease plus leaseMargin. The outcome is Refused only if it is certain that
// the task did not start and that this request will never start it. It is Lost
// if the task may have started.
func (c *Client) Start(ctx context.Context, e endpoint.Info, r Request) Reply {
	if err := ctx.Err(); err != nil {
		return Reply{Outcome: endpoint.Refused, Reason: err.Error()}
	}
	h, err := c.acquire(e)
	if err != nil {
		return Reply{Outcome: endpoint.Refused, Reason: err.Error()}
	}
	defer h.release()
	if r.Lease > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Lease+leaseMargin)
		defer cancel()
	}
	res, err := c.send(ctx, h, "/v1/tasks", r.TraceParent, appendRequest(make([]byte, 0, envelopeCapacity+len(r.Task.Payload)), r))
	if err != nil {
		return replyOfSendError(err)
	}
	defer res.Body.Close()
	return c.readReply(res)
}

// replyOfSendError returns the reply for a request that failed with an error:
// Refused if no connection was made, Lost otherwise.
func replyOfSendError(err error) Reply {
	if isDialError(err) {
		return Reply{Outcome: endpoint.Refused, Reason: err.Error()}
	}
	return Reply{Outcome: endpoint.Lost, Reason: err.Error()}
}

// readReply converts a response to a reply. The outcome of a response that does
// not follow the protocol exactly is Lost, because it proves nothing.
func (c *Client) readReply(res *http.Response) Reply {
	data, err := readBody(res, c.maxReplyBytes)
	if err != nil {
		return Reply{Outcome: endpoint.Lost, Reason: err.Error()}
	}
	if int64(len(data)) > c.maxReplyBytes {
		return replyOfLargeAnswer(res, data, c.maxReplyBytes)
	}
	var w wireReply
	if err := json.Unmarshal(data, &w); err != nil {
		return Reply{Outcome: endpoint.Lost, Reason: "reply is not JSON: " + err.Error()}
	}
	reply := Reply{Reason: w.Reason, Answer: w.Answer, Ran: milliseconds(w.RanMS)}
	if w.Load != nil {
		reply.HasLoad = true
		reply.Load = endpoint.Load{Running: w.Load.Running, Draining: w.Load.Leaving}
	}
	reply.Outcome = outcome(res.StatusCode, w.Outcome)
	if reply.Outcome == endpoint.Lost && reply.Reason == "" {
		reply.Reason = "endpoint replied " + res.Status
	}
	if reply.Outcome == endpoint.Lost || reply.Outcome == endpoint.Refused {
		reply.Answer = nil
	}
	return reply
}

// outcome returns the outcome for an HTTP status and the value of the field
// outcome, or Lost for a combination that the protocol does not have.
func outcome(status int, name string) endpoint.Outcome {
	switch {
	case status == http.StatusOK && name == wireAnswered:
		return endpoint.Answered
	case status == http.StatusOK && name == wireFailed:
		return endpoint.Failed
	case status == http.StatusConflict && name == wireNotRun:
		return endpoint.Refused
	}
	return endpoint.Lost
}

// replyOfLargeAnswer returns the reply for a response body larger than the
// limit and begins with data. If it says that the task ran, its answer cannot be
// returned, so the outcome is Failed; otherwise it is Lost.
func replyOfLargeAnswer(res *http.Response, data []byte, limit int64) Reply {
	switch outcome(res.StatusCode, firstOutcome(data)) {
	case endpoint.Answered, endpoint.Failed:
	default:
		return Reply{Outcome: endpoint.Lost, Reason: "endpoint replied " + res.Status}
	}
	answer := []byte(`{"error":"answer exceeds `)
	answer = jsonappend.Int(answer, limit)
	answer = append(answer, ` bytes; return a shorter one"}`...)
	return Reply{Outcome: endpoint.Failed, Reason: "answer is too large", Answer: answer}
}

// firstOutcome returns the value of the field outcome, which is the first one of a
// reply, or an empty string if there is none.
func firstOutcome(data []byte) string {
	d := json.NewDecoder(bytes.NewReader(data))
	var fields [3]json.Token
	for i := range fields {
		t, err := d.Token()
		if err != nil {
			return ""
		}
		fields[i] = t
	}
	if fields[0] != json.Delim('{') || fields[1] != "outcome" {
		return ""
	}
	name, _ := fields[2].(string)
	return name
}

// readBody reads the whole body, or the first limit+1 bytes if it is larger than
// the limit.
func readBody(res *http.Response, limit int64) ([]byte, error) {
	if n := res.ContentLength; n >= 0 && n <= limit {
		data := make([]byte, n)
		_, err := io.ReadFull(res.Body, data)
		return data, err
	}
	var buf bytes.Buffer
	_, err := buf.ReadFrom(io.LimitReader(res.Body, limit+1))
	return buf.Bytes(), err
}

// milliseconds converts a number of milliseconds to a duration of at most a day.
// A number that is not positive, or not a number, becomes 0.
func milliseconds(ms float64) time.Duration {
	const maxMilliseconds = float64(24 * time.Hour / time.Millisecond)
	if !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, maxMilliseconds) * float64(time.Millisecond))
}

// appendRequest appends the JSON encoding of a request.
func appendRequest(b []byte, r Request) []byte {
	b = append(b, '{')
	b = appendRef(b, r.Ref, r.Home, r.Epoch)
	b = append(b, `,"task_id":`...)
	b = jsonappend.String(b, r.Task.ID)
	b = append(b, `,"kind":`...)
	b = jsonappend.String(b, r.Task.Kind)
	b = append(b, `,"lease_ms":`...)
	b = jsonappend.Milliseconds(b, r.Lease)
	b = append(b, `,"idempotent":`...)
	b = jsonappend.Bool(b, r.Task.Idempotent)
	b = append(b, `,"cores":`...)
	b = jsonappend.Float(b, r.Task.Needs.Cores)
	b = append(b, `,"memory_bytes":`...)
	b = jsonappend.Int(b, r.Task.Needs.MemoryBytes)
	b = append(b, `,"accelerators":`...)
	b = jsonappend.Int(b, int64(r.Task.Needs.Accelerators))
	b = append(b, `,"payload":`...)
	b = jsonappend.Raw(b, r.Task.Payload)
	return append(b, '}')
}

// appendRef appends the JSON fields that identify a start of a task.
func appendRef(b []byte, ref task.Ref, home instance.Ref, epoch uint64) []byte {
	b = append(b, `"submission_id":`...)
	b = jsonappend.String(b, ref.Submission)
	b = append(b, `,"index":`...)
	b = jsonappend.Int(b, int64(ref.Index))
	b = append(b, `,"home":{"data_centre":`...)
	b = jsonappend.String(b, home.DataCentre)
	b = append(b, `,"id":`...)
	b = jsonappend.String(b, home.ID)
	b = append(b, `,"incarnation":`...)
	b = jsonappend.Uint(b, home.Incarnation)
	b = append(b, `},"epoch":`...)
	return jsonappend.Uint(b, epoch)
}
