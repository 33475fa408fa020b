// Package class defines classes of work, ranks them by urgency and selects the
// running tasks that a more urgent class preempts.
package class
