// Package assignment decides which of the instances of a data centre holds an
// endpoint.
//
// The load balancer sends as many jobs to a small instance as to a large one, and
// each job takes processor time where it is accepted. So endpoints are held in
// proportion to the processor that is left beside the jobs.
package assignment
