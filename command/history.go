package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"
)

type (
	// explanationView is the recorded history of a submission.
	explanationView struct {
		SubmissionID string     `json:"submission_id"`
		Home         homeView   `json:"home"`
		Steps        []stepView `json:"steps"`
	}

	homeView struct {
		DataCentre  string `json:"data_centre"`
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
	}

	stepView struct {
		Time     time.Time `json:"time"`
		TaskID   string    `json:"task_id"`
		What     string    `json:"what"`
		Why      string    `json:"why"`
		Endpoint string    `json:"endpoint"`
		WaitedMS float64   `json:"waited_ms"`
	}
)

func jobExplainFlags(fs *flag.FlagSet) action {
	t, format := operatorFlags(fs), outputFlag(fs)
	return func(ctx context.Context, s streams, args []string) error {
		var v explanationView
		body, err := t.query(ctx, "/v1/submissions/"+url.PathEscape(args[0]), &v)
		if err != nil {
			return err
		}
		if *format == jsonFormat {
			return writeBody(s.out, body)
		}
		return v.writeText(s.out)
	}
}

func (v explanationView) writeText(w io.Writer) error {
	fmt.Fprintf(w, "submission %s, home %s in %s, incarnation %d\n", v.SubmissionID, v.Home.ID, v.Home.DataCentre, v.Home.Incarnation)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TIME\tTASK\tWHAT\tENDPOINT\tWAITED\tWHY")
	for _, step := range v.Steps {
		waited := "-"
		if step.WaitedMS > 0 {
			waited = fromMS(step.WaitedMS).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", step.Time.Format("15:04:05.000"),
			orDash(step.TaskID), step.What, orDash(step.Endpoint), waited, orDash(step.Why))
	}
	return t.Flush()
}
