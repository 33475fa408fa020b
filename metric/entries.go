package metric

import (
	"strings"

	"github.com/lovagecrank/lovagecrank/catalogue"
)

// Entries returns the documentation of all metrics in the order of
// docs/METRICS.md. The code of an entry is the name of the metric.
func Entries() []catalogue.Entry {
	entries := make([]catalogue.Entry, 0, numMetrics)
	for _, r := range table {
		title := "Metric, a " + string(r.kind) + " in " + r.unit
		if len(r.labels) > 0 {
			title += " by " + strings.Join(r.labels, ", ")
		}
		entries = append(entries, catalogue.Entry{
			Code: r.name, Title: title, Text: r.meaning, Remedy: r.action,
			Since: "0.1.0", Severity: catalogue.Info,
		})
	}
	return entries
}
