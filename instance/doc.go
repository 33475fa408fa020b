// Package instance tracks the other entry instances: which of them are live, in
// which incarnation, and which are draining.
package instance
