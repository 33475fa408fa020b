// Package footprint bounds the memory that clients take at an instance: the tasks of one
// job, the sum over all bodies that arrive or are decoded and all open jobs, and what
// headers and connections take together. It estimates a job or a header from its counts,
// before anything is made for each task or line.
package footprint
