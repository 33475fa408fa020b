package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/conc/pool"

	"github.com/lovagecrank/lovagecrank/examples/jobs"
	"github.com/lovagecrank/lovagecrank/standin"
)

const (
	// DefaultRounds is the default of Options.Rounds.
	DefaultRounds = 50
	// concurrency is the maximum number of jobs in flight.
	concurrency = 4
	// progressRounds is the number of rounds between progress lines.
	progressRounds = 10
)

type (
	// Options describes a trial.
	Options struct {
		// Rounds is the number of times that each example job is submitted;
		// zero means [DefaultRounds].
		Rounds int
		// Logger receives the logs of the instances; nil discards them.
		Logger log.Logger
	}

	// exampleJob is one of the example jobs with its expected answers.
	exampleJob struct {
		name        string
		class       string
		body        []byte
		wantAnswers []json.RawMessage
		// ideal is the response time on an idle system: the longest run
		// time plus networkTime.
		ideal time.Duration
	}

	jobRequest struct {
		Class string `json:"class"`
		Tasks []struct {
			Payload json.RawMessage `json:"payload"`
		} `json:"tasks"`
	}

	jobReply struct {
		SubmissionID string      `json:"submission_id"`
		State        string      `json:"state"`
		Tasks        []taskReply `json:"tasks"`
	}

	taskReply struct {
		TaskID string          `json:"task_id"`
		Answer json.RawMessage `json:"answer"`
	}

	// runner submits the example jobs to a cluster and reports the results.
	runner struct {
		cluster *cluster
		rounds  int
		w       io.Writer

		mu       sync.Mutex
		report   *report
		answered int
	}
)

// Run starts the system, submits the example jobs, prints progress and a report
// to w and stops the system. It returns an error if an answer is missing or
// wrong, or if a task was started more than once.
func Run(ctx context.Context, o Options, w io.Writer) error {
	if o.Rounds == 0 {
		o.Rounds = DefaultRounds
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	examples, err := readJobs()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "starting a platform, %d endpoints in 2 racks and %d instances in 2 data centres\n", endpointCount, len(instanceLocations))
	c, err := startCluster(ctx, o.Logger)
	if err != nil {
		return err
	}
	r := &runner{cluster: c, rounds: o.Rounds, w: w, report: newReport()}
	err = r.run(ctx, examples)
	return errors.Join(err, c.stop())
}

func (r *runner) run(ctx context.Context, examples []exampleJob) error {
	if err := r.cluster.configure(ctx); err != nil {
		return err
	}
	for i, e := range examples {
		reply, err := r.submit(ctx, i, e)
		if err != nil {
			return err
		}
		reply.write(r.w, e)
	}
	fmt.Fprintf(r.w, "\nsubmitting each job %d times, %d at once\n", r.rounds, concurrency)
	if err := r.submitRounds(ctx, examples); err != nil {
		return err
	}
	if n := r.cluster.startedTwice(); n > 0 {
		return fmt.Errorf("%d tasks were started more than once", n)
	}
	wasted, err := r.cluster.wastedMessages(ctx)
	if err != nil {
		return err
	}
	return r.report.write(r.w, wasted)
}

// submitRounds submits every example job in every round. It stops at the first
// error.
func (r *runner) submitRounds(ctx context.Context, examples []exampleJob) error {
	p := pool.New().WithErrors().WithMaxGoroutines(concurrency).WithContext(ctx).WithCancelOnError().WithFirstError()
	for round := range r.rounds {
		for i, e := range examples {
			p.Go(func(ctx context.Context) error {
				_, err := r.submit(ctx, round+i, e)
				return err
			})
		}
	}
	return p.Wait()
}

// submit submits one job to instance n, modulo the number of instances, and
// checks its answers.
func (r *runner) submit(ctx context.Context, n int, e exampleJob) (jobReply, error) {
	c := r.cluster.callers[n%len(r.cluster.callers)]
	started := time.Now()
	reply, err := c.Call(ctx, http.MethodPost, "/v1/jobs", nil, e.body)
	responseTime := time.Since(started)
	if err := check(reply, err); err != nil {
		return jobReply{}, fmt.Errorf("%s: %w", e.name, err)
	}
	var answer jobReply
	if err := json.Unmarshal(reply.Body, &answer); err != nil {
		return jobReply{}, fmt.Errorf("%s: cannot decode the reply: %w", e.name, err)
	}
	if err := answer.check(e); err != nil {
		return jobReply{}, fmt.Errorf("%s, submission %s: %w", e.name, answer.SubmissionID, err)
	}
	r.record(e, responseTime)
	return answer, nil
}

// record adds an answered job to the report and prints progress lines.
func (r *runner) record(e exampleJob, responseTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.record(e, responseTime)
	r.answered++
	if n := r.answered; n%(progressRounds*len(jobs.Names())) == 0 {
		fmt.Fprintf(r.w, "  %d jobs answered\n", n)
	}
}

// check returns an error unless the job is complete with the expected answers,
// in order and byte for byte.
func (a jobReply) check(e exampleJob) error {
	if a.State != "complete" {
		return fmt.Errorf("state is %s", a.State)
	}
	if len(a.Tasks) != len(e.wantAnswers) {
		return fmt.Errorf("got %d tasks, want %d", len(a.Tasks), len(e.wantAnswers))
	}
	for i, t := range a.Tasks {
		if !bytes.Equal(t.Answer, e.wantAnswers[i]) {
			return fmt.Errorf("task %s: got answer %s, want %s", t.TaskID, t.Answer, e.wantAnswers[i])
		}
	}
	return nil
}

// write prints the job's state and all answers.
func (a jobReply) write(w io.Writer, e exampleJob) {
	fmt.Fprintf(w, "\n%s, class %s, submission %s: %s\n", e.name, e.class, a.SubmissionID, a.State)
	for _, t := range a.Tasks {
		fmt.Fprintf(w, "  %s %s\n", t.TaskID, t.Answer)
	}
}

// readJobs reads the example jobs and computes their expected answers.
func readJobs() ([]exampleJob, error) {
	var examples []exampleJob
	for _, name := range jobs.Names() {
		body, err := jobs.Read(name)
		if err != nil {
			return nil, err
		}
		e, err := newExampleJob(name, body)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		examples = append(examples, e)
	}
	return examples, nil
}

func newExampleJob(name string, body []byte) (exampleJob, error) {
	var q jobRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return exampleJob{}, err
	}
	e := exampleJob{name: name, class: q.Class, body: body}
	var longest time.Duration
	for _, t := range q.Tasks {
		answer, failed := standin.Work(t.Payload)
		if failed {
			return exampleJob{}, fmt.Errorf("cannot compute the answer of a task: %s", answer)
		}
		e.wantAnswers = append(e.wantAnswers, answer)
		longest = max(longest, standin.RunTime(t.Payload))
	}
	e.ideal = networkTime + longest
	return e, nil
}
