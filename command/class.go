package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"slices"
)

type (
	classList struct {
		Classes []classView `json:"classes"`
	}

	classView struct {
		Name           string  `json:"name"`
		TargetMS       float64 `json:"target_ms"`
		DurableAnswers bool    `json:"durable_answers"`
		Rank           int     `json:"rank"`
		Waiting        int     `json:"waiting"`
		Running        int     `json:"running"`
		Answered       uint64  `json:"answered"`
		Failed         uint64  `json:"failed"`
		NotRun         uint64  `json:"not_run"`
		WithinTarget   uint64  `json:"within_target"`
		P50MS          float64 `json:"p50_ms"`
		P99MS          float64 `json:"p99_ms"`
		RatioP50       float64 `json:"ratio_p50"`
		RatioP99       float64 `json:"ratio_p99"`
	}

	// classChange is the request body that creates or changes a class. Nil
	// fields leave the value unchanged.
	classChange struct {
		changeMetadata
		Target         *string `json:"target,omitempty"`
		DurableAnswers *bool   `json:"durable_answers,omitempty"`
	}
)

const (
	classesPath  = "/v1/classes"
	classHeading = "NAME\tRANK\tTARGET\tDURABLE\tWAITING\tRUNNING\tCOMPLETE\tFAILED\tNOT RUN\tWITHIN TARGET\tP50\tP99\tP99 AGAINST IDEAL"
)

// writeClasses writes one tab-separated row per class, in the columns of
// classHeading.
func writeClasses(l classList, w io.Writer) {
	for _, c := range l.Classes {
		fmt.Fprintf(w, "%s\t%d\t%v\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%v\t%v\t%.2f\n",
			c.Name, c.Rank, fromMS(c.TargetMS), yesNo(c.DurableAnswers), c.Waiting, c.Running,
			c.Answered, c.Failed, c.NotRun, c.withinTarget(), fromMS(c.P50MS), fromMS(c.P99MS), c.RatioP99)
	}
}

// withinTarget returns the share of answered jobs that met the target, as a
// percentage, or a dash if no job was answered.
func (c classView) withinTarget() string {
	if c.Answered == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(c.WithinTarget)/float64(c.Answered))
}

func classSetFlags(fs *flag.FlagSet) action {
	c := newChangeFlags(fs)
	target := fs.Duration("target", 0, "set the target response time to `DURATION`; required for a new class")
	durable := fs.Bool("durable-answers", false, "store each answer before it is returned")
	return func(ctx context.Context, s streams, args []string) error {
		q := classChange{changeMetadata: c.metadata()}
		if isSet(fs, "target") {
			text := target.String()
			q.Target = &text
		}
		if isSet(fs, "durable-answers") {
			q.DurableAnswers = durable
		}
		return c.put(ctx, s, classPath(args[0]), q)
	}
}

func classDeleteFlags(fs *flag.FlagSet) action {
	c := newChangeFlags(fs)
	return func(ctx context.Context, s streams, args []string) error {
		return c.delete(ctx, s, classPath(args[0]))
	}
}

func classPath(name string) string { return classesPath + "/" + url.PathEscape(name) }

func classShowFlags(fs *flag.FlagSet) action {
	t, format := operatorFlags(fs), outputFlag(fs)
	return func(ctx context.Context, s streams, args []string) error {
		var list classList
		if _, err := t.query(ctx, classesPath, &list); err != nil {
			return err
		}
		i := slices.IndexFunc(list.Classes, func(c classView) bool { return c.Name == args[0] })
		if i < 0 {
			return fmt.Errorf("no class is named %q; \"lovagecrank class list\" lists all classes", args[0])
		}
		c := list.Classes[i]
		if *format == jsonFormat {
			return writeJSON(s.out, c)
		}
		return c.writeText(s.out)
	}
}

func (c classView) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "class %s, rank %d\ntarget %v, durable answers %s\nwaiting %d, running %d tasks\n"+
		"complete %d jobs, within target %s; failed %d, not run %d\n"+
		"response time p50 %v, p99 %v; against ideal p50 %.2f, p99 %.2f\n",
		c.Name, c.Rank, fromMS(c.TargetMS), yesNo(c.DurableAnswers), c.Waiting, c.Running,
		c.Answered, c.withinTarget(), c.Failed, c.NotRun,
		fromMS(c.P50MS), fromMS(c.P99MS), c.RatioP50, c.RatioP99)
	return err
}
