// Package logline writes events as structured log lines. Writing an event never
// blocks: lines are buffered and written in batches. The buffers are bounded,
// and refusals and failures have a separate one. Lines that do not fit are
// dropped, and a line of its own reports their number.
package logline
