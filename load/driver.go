package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lovagecrank/lovagecrank/client"
	"github.com/sourcegraph/conc"
)

// The states of a job that the driver distinguishes. A refused or failed job is
// counted under the error kind in its reply.
const (
	stateComplete = "complete"
	// stateNoReply means that the request failed or the reply was not valid.
	stateNoReply = "no_reply"
	// stateCutOff means that the experiment ended before the job was
	// answered.
	stateCutOff = "cut_off"
)

const (
	// drainTimeout limits the wait for answers after the last arrival.
	drainTimeout = 30 * time.Second
	// progressInterval is the time between two progress lines.
	progressInterval = 2 * time.Second
	// idBatchSize is the number of submission IDs requested at once.
	idBatchSize = 100
)

type (
	// driver submits the jobs of one experiment.
	driver struct {
		config   Config
		clients  []client.Client
		recorder *recorder
		// inFlight is a semaphore that limits the jobs in flight.
		inFlight  chan struct{}
		startedAt time.Time
		// turn selects the client of the next job, round-robin.
		turn      atomic.Uint64
		submitted atomic.Int64
		ids       idSource
	}

	jobRequest struct {
		SubmissionID string        `json:"submission_id,omitempty"`
		Class        string        `json:"class"`
		Team         string        `json:"team"`
		Tasks        []taskRequest `json:"tasks"`
	}

	taskRequest struct {
		TaskID     string  `json:"task_id"`
		Kind       string  `json:"kind,omitempty"`
		Idempotent bool    `json:"idempotent"`
		RunTimeMS  float64 `json:"run_time_ms,omitempty"`
		Payload    payload `json:"payload"`
	}

	payload struct {
		HoldMS float64 `json:"hold_ms"`
	}

	jobReply struct {
		State string          `json:"state"`
		Error errorReply      `json:"error"`
		Tasks json.RawMessage `json:"tasks"`
	}

	errorReply struct {
		Kind string `json:"kind"`
	}
)

// Run runs the experiment and writes progress lines to w. It returns once every
// job is answered, or when the wait for answers times out.
func Run(ctx context.Context, c Config, w io.Writer) (Report, error) {
	d := newDriver(c)
	limit := c.Duration + drainTimeout
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := d.checkReady(ctx); err != nil {
		return Report{}, err
	}
	d.startedAt = time.Now()
	reporting, stop := context.WithCancel(ctx)
	var reporter conc.WaitGroup
	reporter.Go(func() { d.reportProgress(reporting, w) })
	var streams conc.WaitGroup
	for n := range c.Streams {
		streams.Go(func() { d.runStream(ctx, newGenerator(c, n)) })
	}
	streams.Wait()
	stop()
	reporter.Wait()
	return d.recorder.report(c, time.Since(d.startedAt)), nil
}

func newDriver(c Config) *driver {
	d := &driver{config: c, recorder: newRecorder(c), inFlight: make(chan struct{}, c.InFlight)}
	transport := &http.Transport{MaxIdleConnsPerHost: c.InFlight, IdleConnTimeout: time.Minute}
	for _, a := range c.Addresses {
		d.clients = append(d.clients, client.Client{Base: "http://" + a.String(), HTTP: &http.Client{Transport: transport}})
	}
	return d
}

// checkReady returns an error unless every instance is ready.
func (d *driver) checkReady(ctx context.Context) error {
	for _, c := range d.clients {
		reply, err := c.Call(ctx, http.MethodGet, "/readyz", nil, nil)
		if err == nil {
			err = reply.Err()
		}
		if err != nil {
			return fmt.Errorf("%s is not ready: %w", c.Base, err)
		}
	}
	return nil
}

// runStream submits the jobs of one stream for the duration of the experiment,
// and waits for their answers.
func (d *driver) runStream(ctx context.Context, g *generator) {
	var jobs conc.WaitGroup
	defer jobs.Wait()
	for a := g.next(); a.at < d.config.Duration; a = g.next() {
		if !sleep(ctx, time.Until(d.startedAt.Add(a.at))) {
			return
		}
		d.submitted.Add(1)
		select {
		case d.inFlight <- struct{}{}:
		case <-ctx.Done():
			d.recorder.record(outcome{arrival: a, state: stateCutOff})
			return
		}
		jobs.Go(func() {
			defer func() { <-d.inFlight }()
			d.recorder.record(d.submit(ctx, a))
		})
	}
}

// sleep waits for the given time. It returns false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// submit sends one job and waits for its answer, or for both answers if the job
// is submitted twice.
func (d *driver) submit(ctx context.Context, a arrival) outcome {
	turn := d.turn.Add(1)
	o := outcome{arrival: a, ideal: a.ideal(d.config.NetworkTime)}
	var id string
	if a.resubmit {
		id = d.ids.next(ctx, d.client(turn))
	}
	body, err := json.Marshal(newJobRequest(a, id))
	if err != nil {
		o.state = stateNoReply
		return o
	}
	var second jobReply
	var wg conc.WaitGroup
	if id != "" {
		wg.Go(func() {
			sleep(ctx, o.ideal/2)
			second = d.post(ctx, turn+1, body)
		})
	}
	first := d.post(ctx, turn, body)
	o.responseTime = time.Since(d.startedAt.Add(a.at))
	wg.Wait()
	o.state = first.outcome()
	o.resubmitted = id != ""
	bothComplete := first.State == stateComplete && second.State == stateComplete
	o.differentAnswers = bothComplete && !bytes.Equal(first.Tasks, second.Tasks)
	return o
}

func (d *driver) client(turn uint64) client.Client {
	return d.clients[turn%uint64(len(d.clients))]
}

// post submits a job to the instance that turn selects. If the connection fails
// it tries the next instance, as a load balancer does.
func (d *driver) post(ctx context.Context, turn uint64, body []byte) jobReply {
	var reply client.Reply
	var err error
	for range d.clients {
		reply, err = d.client(turn).Call(ctx, http.MethodPost, "/v1/jobs", nil, body)
		if !isDialError(err) {
			break
		}
		turn++
	}
	if ctx.Err() != nil {
		return jobReply{State: stateCutOff}
	}
	var r jobReply
	if err != nil || json.Unmarshal(reply.Body, &r) != nil || r.State == "" {
		return jobReply{State: stateNoReply}
	}
	return r
}

// isDialError reports whether err is a failure to connect, which means that the
// request was never sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// outcome returns the error kind of a refusal or failure, or else the state.
func (r jobReply) outcome() string {
	if r.Error.Kind != "" {
		return r.Error.Kind
	}
	return r.State
}

func newJobRequest(a arrival, id string) jobRequest {
	q := jobRequest{SubmissionID: id, Class: a.class, Team: a.team}
	for i, d := range a.runTimes {
		q.Tasks = append(q.Tasks, taskRequest{
			TaskID:     fmt.Sprintf("t%d", i),
			Kind:       a.kind,
			Idempotent: a.idempotent,
			RunTimeMS:  toMS(d) * a.declaredFactor,
			Payload:    payload{HoldMS: toMS(d)},
		})
	}
	return q
}

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reportProgress writes a line to w every progressInterval until ctx ends.
func (d *driver) reportProgress(ctx context.Context, w io.Writer) {
	for sleep(ctx, progressInterval) {
		fmt.Fprintf(w, "%4.0f s of %.0f: %d jobs submitted, %d answered\n",
			time.Since(d.startedAt).Seconds(), d.config.Duration.Seconds(), d.submitted.Load(), d.recorder.recorded())
	}
}
