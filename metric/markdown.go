package metric

import (
	"fmt"
	"strings"
)

// intro is the start of docs/METRICS.md.
const intro = `An instance serves its metrics at ` + "`GET /metrics`" + ` on the callers' and on the
operators' listener, in the format of Prometheus. The values of labels are
bounded by the configuration: no label names submissions, tasks, endpoints or
callers. Metrics of the Go runtime and of the process (` + "`go_*`, `process_*`" + `) are
served as well.`

// alerts is the end of docs/METRICS.md.
const alerts = `## Alert rules

These are examples; adapt the thresholds to your needs.

    groups:
      - name: lovagecrank
        rules:
          - alert: UrgentAnswersLate
            expr: lovagecrank_class_response_seconds{quantile="0.99"} > on (instance, class) group_left lovagecrank_class_target_seconds
            for: 5m
          - alert: InstanceNotReady
            expr: lovagecrank_ready == 0
            for: 1m
          - alert: StoreUnreachable
            expr: lovagecrank_store_reachable == 0
            for: 1m
          - alert: ConfigurationsDiffer
            expr: max(lovagecrank_configuration_version) != min(lovagecrank_configuration_version)
            for: 30s
          - alert: ManyEndpointsEjected
            expr: lovagecrank_endpoints{state="ejected"} > 0.1 * on (instance) group_left sum by (instance) (lovagecrank_endpoints)
            for: 2m
          - alert: TaskOutcomesUnknown
            expr: increase(lovagecrank_events_total{code="LC2042"}[10m]) > 0
          - alert: ManyRefusedStarts
            expr: rate(lovagecrank_task_refusals_total[5m]) > 0.01 * rate(lovagecrank_task_starts_total[5m])
            for: 10m
`

// Markdown returns the content of docs/METRICS.md.
func Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Metrics\n\n%s\n\n", intro)
	b.WriteString("| name | type | unit | labels | meaning | what to do |\n|---|---|---|---|---|---|\n")
	for _, r := range table {
		labels := "none"
		if len(r.labels) > 0 {
			labels = "`" + strings.Join(r.labels, "`, `") + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", r.name, r.kind, r.unit, labels, r.meaning, r.action)
	}
	b.WriteString("\n" + alerts)
	return b.String()
}
