// Package run holds the vocabulary of runs: the numbered starts of a task on
// leased endpoints, and how they end.
package run
