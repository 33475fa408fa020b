// Package task defines tasks, their states and their outcomes, and estimates
// their run times.
package task
