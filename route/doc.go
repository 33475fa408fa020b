// Package route holds the queues of the configuration in force and finds the
// queue that a request is for.
package route
