// Package footprint bounds the memory that callers' jobs take at an instance: the
// tasks of one job, and the sum over all bodies that are decoded and all open jobs.
// It estimates a job from its counts, before anything is made for each task.
package footprint
