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
	logs := fs.String("logs", "", "read the logs of all instances from the comma-separated `FILES` and print the lines about the job whose id is CODE")
	return func(_ context.Context, s streams, args []string) error {
		if *logs != "" {
			return writeJobLog(s.out, args[0], strings.Split(*logs, ","))
		}
		e, ok := findEntry(args[0])
		if !ok {
			return fmt.Errorf("no error, event or metric is named %q; see docs/ERRORS.md, docs/EVENTS.md and docs/METRICS.md", args[0])
		}
		return format.write(s.out, newEntryView(e), e.Explain())
	}
}

// findEntry returns the catalogue entry with that code. The code may also be
// the wire name of an error kind or the name of a metric.
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

// entryView is the JSON form of a catalogue entry.
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
