// Package operator is the HTTP interface with which operators inspect an instance
// and change classes, targets and quotas. It has its own listener.
package operator
