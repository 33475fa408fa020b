// Package metric exposes the metrics of an instance in the Prometheus format.
// Every metric is a row of one table, from which docs/METRICS.md is generated.
// The values of labels are bounded: they are classes, teams, endpoint states
// and reply statuses, for example, but never submissions.
package metric
