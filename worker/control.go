package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/internal/jsonappend"
	"github.com/lovagecrank/lovagecrank/task"
)

// The states of a start of a task, as reported by its endpoint.
const (
	// StartUnknown means that the endpoint's reply is missing, not valid or
	// inconclusive.
	StartUnknown StartState = iota
	// StartRunning means that the task has started and not ended.
	StartRunning
	// StartEnded means that the task has ended; StartStateReply.Reply has the
	// result.
	StartEnded
	// StartNotRun means that the task certainly did not start and that this
	// request will never start it.
	StartNotRun
)

type (
	// StartState is the state of a start of a task.
	StartState uint8

	// StartRef identifies one start of a task at an endpoint.
	StartRef struct {
		Ref   task.Ref
		Home  instance.Ref
		Epoch uint64
	}

	// StartStateReply is the result of a query about a start.
	StartStateReply struct {
		State StartState
		// Reply is set if State is StartEnded.
		Reply Reply
	}

	// Usage is the platform's report of the resources that tasks use.
	Usage struct {
		// Lag is the age of the report.
		Lag   time.Duration
		Tasks []TaskUsage
	}

	// TaskUsage is the resource usage of one running task.
	TaskUsage struct {
		Ref  task.Ref
		Uses task.Needs
	}

	wireDone struct {
		Done   bool   `json:"done"`
		Reason string `json:"reason"`
	}

	wireStatus struct {
		Running *int `json:"running"`
		Leaving bool `json:"leaving"`
	}

	wireTaskUsage struct {
		SubmissionID string  `json:"submission_id"`
		Index        int     `json:"index"`
		Cores        float64 `json:"cores"`
		MemoryBytes  int64   `json:"memory_bytes"`
		Accelerators int     `json:"accelerators"`
	}

	wireUsage struct {
		LagMS float64         `json:"lag_ms"`
		Tasks []wireTaskUsage `json:"tasks"`
	}
)

// ErrNotDone means that the endpoint replied that it did not perform the request.
var ErrNotDone = errors.New("endpoint did not perform the request")

// QueryStart asks an endpoint for the state of a start whose reply was lost. It
// has no effect on a task that has started, and prevents one that has not from
// starting later. It may be repeated. The age is an upper bound of the time
// between sending the start and the arrival of this query: an endpoint process
// that is younger cannot know whether an earlier process ran the task.
func (c *Client) QueryStart(ctx context.Context, e endpoint.Info, s StartRef, age time.Duration) StartStateReply {
	b := appendStart(nil, s)
	b = append(b[:len(b)-1], `,"age_ms":`...)
	b = jsonappend.Float(b, age.Seconds()*1e3)
	data, status, err := c.post(ctx, e, "/v1/tasks/fate", append(b, '}'))
	if err != nil || status != http.StatusOK {
		return StartStateReply{}
	}
	var w wireReply
	if json.Unmarshal(data, &w) != nil {
		return StartStateReply{}
	}
	switch w.Outcome {
	case wireRunning:
		return StartStateReply{State: StartRunning}
	case wireNotRun:
		return StartStateReply{State: StartNotRun}
	case wireAnswered, wireFailed:
		ended := Reply{Outcome: outcome(status, w.Outcome), Reason: w.Reason, Answer: w.Answer, Ran: milliseconds(w.RanMS)}
		return StartStateReply{State: StartEnded, Reply: ended}
	}
	return StartStateReply{}
}

// Throttle limits a running task to a share of its full speed, greater than 0 and
// at most 1. The error wraps [ErrNotDone] if the endpoint did not do so.
func (c *Client) Throttle(ctx context.Context, e endpoint.Info, s StartRef, share float64) error {
	b := appendStart(nil, s)
	b = append(b[:len(b)-1], `,"share":`...)
	b = jsonappend.Float(b, share)
	return c.do(ctx, e, "/v1/tasks/throttle", append(b, '}'))
}

// Checkpoint asks an endpoint to save the state of a running task. The error
// wraps [ErrNotDone] if the endpoint did not do so.
func (c *Client) Checkpoint(ctx context.Context, e endpoint.Info, s StartRef) error {
	return c.do(ctx, e, "/v1/tasks/checkpoint", appendStart(nil, s))
}

// Stop asks an endpoint to end a running task. The endpoint then replies to the
// task's start that it failed. The error wraps [ErrNotDone] if the endpoint did
// not stop the task.
func (c *Client) Stop(ctx context.Context, e endpoint.Info, s StartRef) error {
	return c.do(ctx, e, "/v1/tasks/stop", appendStart(nil, s))
}

// Status asks an endpoint for its current load.
func (c *Client) Status(ctx context.Context, e endpoint.Info) (endpoint.Load, error) {
	var w wireStatus
	if err := c.get(ctx, e, "/v1/status", &w); err != nil {
		return endpoint.Load{}, err
	}
	if w.Running == nil {
		return endpoint.Load{}, errors.New("endpoint's status lacks the field running")
	}
	return endpoint.Load{Running: *w.Running, Draining: w.Leaving}, nil
}

// Usage asks an endpoint for the platform's usage report.
func (c *Client) Usage(ctx context.Context, e endpoint.Info) (Usage, error) {
	var w wireUsage
	if err := c.get(ctx, e, "/v1/usage", &w); err != nil {
		return Usage{}, err
	}
	u := Usage{Lag: milliseconds(w.LagMS), Tasks: make([]TaskUsage, 0, len(w.Tasks))}
	for _, t := range w.Tasks {
		u.Tasks = append(u.Tasks, TaskUsage{
			Ref:  task.Ref{Submission: t.SubmissionID, Index: t.Index},
			Uses: task.Needs{Cores: t.Cores, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators},
		})
	}
	return u, nil
}

// do sends a control request. The error wraps [ErrNotDone] if the endpoint replied
// that it did not perform the request.
func (c *Client) do(ctx context.Context, e endpoint.Info, path string, body []byte) error {
	data, status, err := c.post(ctx, e, path, body)
	if err != nil {
		return err
	}
	var w wireDone
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("endpoint %s replied %d without JSON: %w", e.ID, status, err)
	}
	if status != http.StatusOK || !w.Done {
		return fmt.Errorf("%w: endpoint %s: %s", ErrNotDone, e.ID, w.Reason)
	}
	return nil
}

// post sends a POST request and returns the body and the status of the response.
func (c *Client) post(ctx context.Context, e endpoint.Info, path string, body []byte) ([]byte, int, error) {
	h, err := c.acquire(e)
	if err != nil {
		return nil, 0, err
	}
	defer h.release()
	res, err := c.send(ctx, h, path, "", body)
	if err != nil {
		return nil, 0, err
	}
	return c.readAll(res)
}

// get sends a GET request and decodes the JSON of the response into v. A status
// other than 200 is an error.
func (c *Client) get(ctx context.Context, e endpoint.Info, path string, v any) error {
	h, err := c.acquire(e)
	if err != nil {
		return err
	}
	defer h.release()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.name+path, nil)
	if err != nil {
		return err
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	data, status, err := c.readAll(res)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("endpoint %s replied %d to %s", e.ID, status, path)
	}
	return json.Unmarshal(data, v)
}

// readAll reads and closes the body of a response and returns it with the status.
// It is an error if the body is larger than the limit of the client.
func (c *Client) readAll(res *http.Response) ([]byte, int, error) {
	defer res.Body.Close()
	data, err := readBody(res, c.maxReplyBytes)
	if err != nil {
		return nil, 0, err
	}
	if int64(len(data)) > c.maxReplyBytes {
		return nil, 0, fmt.Errorf("reply exceeds %d bytes", c.maxReplyBytes)
	}
	return data, res.StatusCode, nil
}

// appendStart appends the JSON object that identifies a start.
func appendStart(b []byte, s StartRef) []byte {
	b = append(b, '{')
	b = appendRef(b, s.Ref, s.Home, s.Epoch)
	return append(b, '}')
}
