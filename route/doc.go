// Package route defines the queues of the configuration and matches requests to
// them by host and path.
package route
