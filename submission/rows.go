package submission

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

type (
	// claimRow is the stored row that binds a caller-chosen id to its home.
	claimRow struct {
		DataCentre  string    `json:"data_centre"`
		Instance    string    `json:"instance"`
		Incarnation uint64    `json:"incarnation"`
		Claim       uint64    `json:"claim"`
		ClaimedAt   time.Time `json:"claimed_at"`
	}

	// resultRow is the stored row of a durable answer.
	resultRow struct {
		// Contents is the hash of the job, see jobHash.
		Contents   uint64       `json:"contents"`
		State      string       `json:"state"`
		Fault      string       `json:"fault,omitempty"`
		Detail     string       `json:"detail,omitempty"`
		Tasks      []outcomeRow `json:"tasks"`
		AcceptedAt time.Time    `json:"accepted_at"`
		FinishedAt time.Time    `json:"finished_at"`
	}

	outcomeRow struct {
		TaskID string          `json:"task_id"`
		State  string          `json:"state"`
		Answer json.RawMessage `json:"answer,omitempty"`
		// Text is the answer if it is not valid JSON; Answer is empty then.
		Text     []byte `json:"text,omitempty"`
		Failed   bool   `json:"failed,omitempty"`
		Endpoint string `json:"endpoint,omitempty"`
	}
)

func claimKey(id string) string  { return "claim/" + id }
func resultKey(id string) string { return "result/" + id }

func encodeClaim(home instance.Ref, claim uint64, at time.Time) []byte {
	row, err := json.Marshal(claimRow{home.DataCentre, home.ID, home.Incarnation, claim, at.UTC()})
	if err != nil {
		return nil // unreachable: strings, numbers and a current time always encode
	}
	return row
}

func decodeClaim(value []byte) (claimRow, error) {
	var row claimRow
	if err := json.Unmarshal(value, &row); err != nil {
		return claimRow{}, fmt.Errorf("decode claim: %w", err)
	}
	if row.Instance == "" || row.Incarnation == 0 {
		return claimRow{}, fmt.Errorf("decode claim: the row names no home")
	}
	return row, nil
}

func (r claimRow) home() instance.Ref {
	return instance.Ref{DataCentre: r.DataCentre, ID: r.Instance, Incarnation: r.Incarnation}
}

func encodeResult(r *job.Result, hash uint64) []byte {
	row := resultRow{Contents: hash, State: r.State.String(), AcceptedAt: r.Accepted.UTC(), FinishedAt: r.Finished.UTC()}
	if r.Fault != nil {
		row.Fault = r.Fault.Kind.String()
		row.Detail = r.Fault.Detail
	}
	row.Tasks = make([]outcomeRow, len(r.Tasks))
	for i, o := range r.Tasks {
		row.Tasks[i] = outcomeRow{TaskID: o.TaskID, State: o.State.String(), Failed: o.Failed, Endpoint: o.Endpoint}
		if json.Valid(o.Answer) {
			row.Tasks[i].Answer = o.Answer
		} else {
			row.Tasks[i].Text = o.Answer
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil // unreachable: the answers are valid JSON or encoded as bytes
	}
	return value
}

// decodeResult decodes the row of a durable answer. It returns the result and
// the hash of its job.
func decodeResult(id string, value []byte) (r job.Result, hash uint64, err error) {
	var row resultRow
	if err := json.Unmarshal(value, &row); err != nil {
		return job.Result{}, 0, fmt.Errorf("decode result: %w", err)
	}
	r, err = row.result(id)
	return r, row.Contents, err
}

func (row resultRow) result(id string) (job.Result, error) {
	r := job.Result{SubmissionID: id, Accepted: row.AcceptedAt, Finished: row.FinishedAt}
	switch row.State {
	case job.Complete.String():
		r.State = job.Complete
	case job.Failed.String():
		r.State = job.Failed
	default:
		return job.Result{}, fmt.Errorf("decode result: state %q is not final", row.State)
	}
	if r.State == job.Failed {
		kind, ok := fault.ParseKind(row.Fault)
		if !ok {
			return job.Result{}, fmt.Errorf("decode result: unknown fault %q", row.Fault)
		}
		r.Fault = &fault.Error{Kind: kind, Detail: row.Detail}
	}
	r.Tasks = make([]task.Outcome, len(row.Tasks))
	for i, o := range row.Tasks {
		state, err := parseState(o.State)
		if err != nil {
			return job.Result{}, err
		}
		answer := []byte(o.Answer)
		if len(answer) == 0 {
			answer = o.Text
		}
		r.Tasks[i] = task.Outcome{TaskID: o.TaskID, State: state, Answer: answer, Failed: o.Failed, Endpoint: o.Endpoint}
	}
	return r, nil
}

func parseState(name string) (task.State, error) {
	for _, s := range []task.State{task.Answered, task.NotRun, task.Unknown} {
		if s.String() == name {
			return s, nil
		}
	}
	return 0, fmt.Errorf("decode result: task state %q is not final", name)
}
