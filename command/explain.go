package command

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/lovagecrank/lovagecrank/catalogue"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/metric"
)

func explainFlags(fs *flag.FlagSet) action {
	format := outputFlag(fs)
	logs := fs.String("logs", "", "comma-separated log files of all instances; tells a job's story from them, by its id")
	return func(_ context.Context, s streams, args []string) error {
		if *logs != "" {
			return writeStory(s.out, args[0], strings.Split(*logs, ","))
		}
		e, ok := findEntry(args[0])
		if !ok {
			return fmt.Errorf("no error, event or metric has the name %q; docs/ERRORS.md, docs/EVENTS.md and docs/METRICS.md list them", args[0])
		}
		return format.write(s.out, newEntryView(e), e.Explain())
	}
}

// findEntry looks a code or the wire name of an error kind up in all tables.
func findEntry(code string) (catalogue.Entry, bool) {
	if k, ok := fault.ParseKind(code); ok {
		return k.Row().Entry, true
	}
	if e, ok := catalogue.Find(fault.Entries(), code); ok {
		return e, true
	}
	if e, ok := catalogue.Find(event.Entries(), code); ok {
		return e, true
	}
	return catalogue.Find(metric.Entries(), code)
}

// entryView is the JSON form of a documented code.
type entryView struct {
	Code     string `json:"code"`
	Title    string `json:"title"`
	Text     string `json:"text"`
	Remedy   string `json:"remedy"`
	Severity string `json:"severity"`
	Since    string `json:"since"`
}

func newEntryView(e catalogue.Entry) entryView {
	return entryView{
		Code: e.Code, Title: e.Title, Text: e.Text, Remedy: e.Remedy,
		Severity: e.Severity.String(), Since: e.Since,
	}
}
