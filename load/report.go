package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

type (
	// Report is the result of an experiment.
	Report struct {
		Seed            uint64        `json:"seed"`
		DurationSeconds float64       `json:"duration_seconds"`
		Classes         []ClassReport `json:"classes"`
	}

	// ClassReport is the result for one class. Quantiles cover complete jobs
	// only.
	ClassReport struct {
		Class string `json:"class"`
		Jobs  int    `json:"jobs"`
		Tasks int    `json:"tasks"`
		// Outcomes counts jobs by state, or by error kind if they were refused
		// or failed.
		Outcomes []Outcome `json:"outcomes"`
		// AgainstIdeal holds quantiles of the ratio of the response time to the
		// ideal, which is that of an idle system.
		AgainstIdeal Quantiles `json:"against_ideal"`
		// ResponseMS holds quantiles of the response time in milliseconds.
		ResponseMS Quantiles `json:"response_ms"`
		TargetMS   float64   `json:"target_ms"`
		// WithinTarget is the fraction of all jobs that completed within the
		// target.
		WithinTarget float64 `json:"within_target"`
		Resubmitted  int     `json:"resubmitted"`
		// DifferentAnswers counts resubmitted jobs whose two complete answers
		// differ.
		DifferentAnswers int     `json:"different_answers"`
		Points           []Point `json:"points"`
	}

	// Outcome is the number of jobs with one state or error kind.
	Outcome struct {
		Name string `json:"name"`
		Jobs int    `json:"jobs"`
	}

	// Point summarizes the complete jobs that arrived in one interval of the
	// experiment. P50 and P99 are ratios of the response time to the ideal.
	Point struct {
		AtSeconds float64 `json:"at_seconds"`
		Jobs      int64   `json:"jobs"`
		P50       float64 `json:"p50"`
		P99       float64 `json:"p99"`
	}
)

func (r *recorder) report(c Config, elapsed time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Seed: c.Seed, DurationSeconds: elapsed.Seconds()}
	for _, name := range r.classNames() {
		report.Classes = append(report.Classes, r.classes[name].report(name, r.interval))
	}
	return report
}

func (c *classRecord) report(name string, interval time.Duration) ClassReport {
	report := ClassReport{
		Class: name, Jobs: c.jobs, Tasks: c.tasks,
		AgainstIdeal:     c.ratios.Quantiles(),
		ResponseMS:       quantiles(c.responseTimes, 1000),
		TargetMS:         toMS(c.target),
		Resubmitted:      c.resubmitted,
		DifferentAnswers: c.differentAnswers,
	}
	if c.jobs > 0 {
		report.WithinTarget = float64(c.withinTarget) / float64(c.jobs)
	}
	for _, state := range slices.Sorted(maps.Keys(c.outcomes)) {
		report.Outcomes = append(report.Outcomes, Outcome{Name: state, Jobs: c.outcomes[state]})
	}
	for i, ratios := range c.points {
		if ratios.Count() == 0 {
			continue
		}
		q := ratios.Quantiles()
		report.Points = append(report.Points, Point{
			AtSeconds: (time.Duration(i) * interval).Seconds(), Jobs: ratios.Count(), P50: q.P50, P99: q.P99,
		})
	}
	return report
}

// WriteTable writes a table with one row for each class, followed by the outcome
// counts of each class.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tjobs\ttasks\tp50\tp90\tp99\tmax\tp99 ms\twithin target\ttwo answers\t")
	for _, c := range r.Classes {
		q := c.AgainstIdeal
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%s\t%d\t\n",
			c.Class, c.Jobs, c.Tasks, q.P50, q.P90, q.P99, q.Max, c.ResponseMS.P99, c.within(), c.DifferentAnswers)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "p50 to max: response time against ideal, complete jobs\n%s", r.outcomes())
	return err
}

func (c ClassReport) within() string {
	if c.TargetMS == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f %%", c.WithinTarget*100)
}

// outcomes returns one line of outcome counts for each class.
func (r Report) outcomes() string {
	var b strings.Builder
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%s:", c.Class)
		for _, o := range c.Outcomes {
			fmt.Fprintf(&b, " %s %d", o.Name, o.Jobs)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}
