// Package worker sends tasks to endpoints over HTTP. It distinguishes tasks that
// certainly did not start from those whose outcome is unknown, and it never
// sends a request to start a task twice. docs/PROTOCOLS.md describes the
// protocol.
package worker
