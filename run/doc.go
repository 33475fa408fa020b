// Package run defines references to runs and their statuses. A run is one
// numbered start of a task on a leased endpoint.
package run
