package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/lovagecrank/lovagecrank/client"
)

type (
	jobView struct {
		SubmissionID string     `json:"submission_id"`
		State        string     `json:"state"`
		Accepted     time.Time  `json:"accepted"`
		Finished     time.Time  `json:"finished"`
		Tasks        []taskView `json:"tasks"`
	}

	taskView struct {
		TaskID   string          `json:"task_id"`
		State    string          `json:"state"`
		Failed   bool            `json:"failed"`
		Endpoint string          `json:"endpoint"`
		Answer   json.RawMessage `json:"answer"`
	}
)

func jobSubmitFlags(fs *flag.FlagSet) action {
	t, format := callerFlags(fs), outputFlag(fs)
	async := fs.Bool("async", false, "return as soon as the job is accepted")
	return func(ctx context.Context, s streams, args []string) error {
		body, err := readInput(s, args[0])
		if err != nil {
			return err
		}
		header := http.Header{}
		if *async {
			header.Set("Prefer", "respond-async")
		}
		reply, err := t.call(ctx, http.MethodPost, "/v1/jobs", header, body)
		if err != nil {
			return err
		}
		return writeJob(s.out, reply, format)
	}
}

func jobShowFlags(fs *flag.FlagSet) action {
	t, format := callerFlags(fs), outputFlag(fs)
	wait := fs.Duration("wait", 0, "wait up to `DURATION` for the final result")
	return func(ctx context.Context, s streams, args []string) error {
		path := jobPath(args[0])
		if *wait > 0 {
			path += "?wait=" + wait.String()
		}
		reply, err := t.call(ctx, http.MethodGet, path, nil, nil)
		if err != nil {
			return err
		}
		return writeJob(s.out, reply, format)
	}
}

func jobCancelFlags(fs *flag.FlagSet) action {
	t, format := callerFlags(fs), outputFlag(fs)
	return func(ctx context.Context, s streams, args []string) error {
		reply, err := t.call(ctx, http.MethodDelete, jobPath(args[0]), nil, nil)
		if err != nil {
			return err
		}
		if err := writeJob(s.out, reply, format); err != nil && !isCancelled(err) {
			return err
		}
		return nil
	}
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// isCancelled reports whether the error is that of a cancelled job, the
// expected result of job cancel.
func isCancelled(err error) bool {
	e, ok := err.(*client.Error)
	return ok && e.Kind == "cancelled"
}

// writeJob prints a job's result. If the job was refused or failed, it returns
// that error.
func writeJob(w io.Writer, reply client.Reply, f *format) error {
	replyErr := reply.Err()
	var v jobView
	if err := decode(reply.Body, &v); err != nil {
		if replyErr != nil {
			return replyErr
		}
		return err
	}
	write := func() error { return v.writeText(w) }
	if *f == jsonFormat {
		write = func() error { return writeBody(w, reply.Body) }
	}
	if err := write(); err != nil {
		return err
	}
	return replyErr
}

// writeText prints the job and one row per task.
func (v jobView) writeText(w io.Writer) error {
	if v.SubmissionID != "" {
		fmt.Fprintf(w, "submission %s: ", v.SubmissionID)
	}
	fmt.Fprint(w, v.State)
	if !v.Finished.IsZero() && !v.Accepted.IsZero() {
		fmt.Fprintf(w, " after %v", v.Finished.Sub(v.Accepted).Round(100*time.Microsecond))
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, task := range v.Tasks {
		state := task.State
		if task.Failed {
			state = "failed"
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", task.TaskID, state, orDash(task.Endpoint), task.Answer)
	}
	return t.Flush()
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
