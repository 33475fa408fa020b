// Package logline writes events as structured lines. Writing never blocks the
// caller: lines wait in bounded buffers, of which refusals and failures have
// their own, and go out in batches. What does not fit is counted and reported
// in a line of its own.
package logline
