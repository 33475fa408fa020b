package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// maxRunTime limits the run time that a task may declare.
	maxRunTime = 24 * time.Hour
	// maxDeadline limits the time from now to a deadline. A later deadline is
	// moved to it.
	maxDeadline = 7 * 24 * time.Hour
	// maxCores and maxAccelerators limit what one task may declare.
	maxCores        = 1 << 20
	maxAccelerators = 1 << 16
)

type (
	wireTask struct {
		TaskID       string          `json:"task_id"`
		Kind         string          `json:"kind"`
		Payload      json.RawMessage `json:"payload"`
		Idempotent   bool            `json:"idempotent"`
		Cores        float64         `json:"cores"`
		MemoryBytes  int64           `json:"memory_bytes"`
		Accelerators int             `json:"accelerators"`
		RunTimeMS    float64         `json:"run_time_ms"`
	}

	// decoder decodes one job from a stream. It never holds more of the job in
	// memory than the limits allow.
	decoder struct {
		dec     *json.Decoder
		limits  Limits
		now     time.Time
		job     job.Job
		taskIDs map[string]struct{}
		fields  []string
	}
)

var errNoTasks = fault.New(fault.BadRequest, "tasks: is empty; a job has at least one task")

// decodeJob decodes and checks a job. Relative deadlines are relative to now. An
// error is a [fault.Error] of kind BadRequest or TooLarge.
func decodeJob(r io.Reader, limits Limits, now time.Time) (job.Job, error) {
	d := decoder{dec: json.NewDecoder(r), limits: limits, now: now}
	d.dec.DisallowUnknownFields()
	if err := d.decodeObject(); err != nil {
		return job.Job{}, httpapi.BodyFault(err, limits.BodyBytes)
	}
	if _, err := d.dec.Token(); !errors.Is(err, io.EOF) {
		if err != nil {
			return job.Job{}, httpapi.BodyFault(err, limits.BodyBytes)
		}
		return job.Job{}, httpapi.ErrTrailingData
	}
	if err := checkJob(d.job); err != nil {
		return job.Job{}, err
	}
	return d.job, nil
}

func (d *decoder) decodeObject() error {
	if err := d.expectDelim('{', "the body is not a JSON object; send {\"class\": ..., \"tasks\": [...]}"); err != nil {
		return err
	}
	for d.dec.More() {
		token, err := d.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if err := d.decodeField(name); err != nil {
			return err
		}
	}
	_, err := d.dec.Token()
	return err
}

func (d *decoder) decodeField(name string) error {
	for _, f := range d.fields {
		if f == name {
			return fault.New(fault.BadRequest, "%s: is given twice; send it once", httpapi.Truncate(name))
		}
	}
	d.fields = append(d.fields, name)
	switch name {
	case "submission_id":
		return d.decodeString(name, &d.job.SubmissionID)
	case "class":
		return d.decodeString(name, &d.job.Class)
	case "team":
		return d.decodeString(name, &d.job.Team)
	case "deadline":
		return d.decodeDeadline()
	case "tasks":
		return d.decodeTasks()
	}
	return fault.New(fault.BadRequest, "%s: is not a field of a job; remove it or correct its name", httpapi.Truncate(name))
}

func (d *decoder) decodeString(name string, dst *string) error {
	if err := d.dec.Decode(dst); err != nil {
		return httpapi.FieldFault(name, err)
	}
	return nil
}

func (d *decoder) decodeDeadline() error {
	var value string
	if err := d.dec.Decode(&value); err != nil {
		return httpapi.FieldFault("deadline", err)
	}
	if value == "" {
		return nil
	}
	deadline, err := time.Parse(time.RFC3339, value)
	if err != nil {
		duration, err := time.ParseDuration(value)
		if err != nil || duration <= 0 {
			return fault.New(fault.BadRequest, "deadline: %q is neither a time of RFC 3339 nor a duration above 0 such as 5s", httpapi.Truncate(value))
		}
		deadline = d.now.Add(min(duration, maxDeadline))
	}
	if !deadline.After(d.now) {
		return fault.New(fault.BadRequest, "deadline: %s has passed; send a later one", deadline.Format(time.RFC3339))
	}
	if latest := d.now.Add(maxDeadline); deadline.After(latest) {
		deadline = latest
	}
	d.job.Deadline = deadline
	return nil
}

func (d *decoder) decodeTasks() error {
	if err := d.expectDelim('[', "tasks: is not a list; send [{\"task_id\": ..., \"payload\": ...}]"); err != nil {
		return err
	}
	d.taskIDs = make(map[string]struct{})
	for d.dec.More() {
		i := len(d.job.Tasks)
		if i == d.limits.TasksPerJob {
			return fault.New(fault.TooLarge, "tasks: a job has at most %d; split the job", d.limits.TasksPerJob)
		}
		var w wireTask
		if err := d.dec.Decode(&w); err != nil {
			return httpapi.FieldFault(fmt.Sprintf("tasks[%d]", i), err)
		}
		if err := d.addTask(i, &w); err != nil {
			return err
		}
	}
	_, err := d.dec.Token()
	return err
}

// addTask checks the i-th task and appends it to the job.
func (d *decoder) addTask(i int, w *wireTask) error {
	if err := d.checkTask(w); err != nil {
		return fault.New(fault.KindOf(err), "tasks[%d].%s", i, err.Detail)
	}
	if _, duplicate := d.taskIDs[w.TaskID]; duplicate {
		return fault.New(fault.BadRequest, "tasks[%d].task_id: %q names an earlier task of the job; give each task its own", i, w.TaskID)
	}
	d.taskIDs[w.TaskID] = struct{}{}
	d.job.Tasks = append(d.job.Tasks, task.Task{
		ID:         w.TaskID,
		Kind:       w.Kind,
		Payload:    w.Payload,
		Idempotent: w.Idempotent,
		Needs:      task.Needs{Cores: w.Cores, MemoryBytes: w.MemoryBytes, Accelerators: w.Accelerators},
		RunTime:    time.Duration(w.RunTimeMS * float64(time.Millisecond)),
	})
	return nil
}

func (d *decoder) checkTask(w *wireTask) *fault.Error {
	if err := httpapi.CheckID("task_id", w.TaskID); err != nil {
		return err
	}
	if w.Kind != "" {
		if err := httpapi.CheckID("kind", w.Kind); err != nil {
			return err
		}
	}
	if int64(len(w.Payload)) > d.limits.PayloadBytes {
		return fault.New(fault.TooLarge, "payload: has %d bytes and the limit is %d; shorten it", len(w.Payload), d.limits.PayloadBytes)
	}
	return checkNeeds(w)
}

func checkNeeds(w *wireTask) *fault.Error {
	switch {
	case !(w.Cores >= 0 && w.Cores <= maxCores):
		return fault.New(fault.BadRequest, "cores: is not a number from 0 to %d", maxCores)
	case w.MemoryBytes < 0:
		return fault.New(fault.BadRequest, "memory_bytes: is below 0; send 0 if it is not known")
	case w.Accelerators < 0 || w.Accelerators > maxAccelerators:
		return fault.New(fault.BadRequest, "accelerators: is not a whole number from 0 to %d", maxAccelerators)
	case !(w.RunTimeMS >= 0 && w.RunTimeMS <= float64(maxRunTime/time.Millisecond)) || math.IsNaN(w.RunTimeMS):
		return fault.New(fault.BadRequest, "run_time_ms: is not a number from 0 to %d", maxRunTime/time.Millisecond)
	}
	return nil
}

func checkJob(j job.Job) error {
	if j.SubmissionID != "" {
		if err := httpapi.CheckID("submission_id", j.SubmissionID); err != nil {
			return err
		}
	}
	if err := httpapi.CheckID("class", j.Class); err != nil {
		return err
	}
	if err := httpapi.CheckID("team", j.Team); err != nil {
		return err
	}
	if len(j.Tasks) == 0 {
		return errNoTasks
	}
	return nil
}

// expectDelim reads the next token and returns a fault with the detail if it is
// not the wanted delimiter.
func (d *decoder) expectDelim(want json.Delim, detail string) error {
	token, err := d.dec.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fault.New(fault.BadRequest, "%s", detail)
	}
	return nil
}
