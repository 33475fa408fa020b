package endpoint

import (
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/task"
)

// The outcomes of sending a task to an endpoint.
const (
	// Answered means that the endpoint ran the task and its answer arrived.
	Answered Outcome = iota
	// Failed means that the endpoint ran the task and it failed.
	Failed
	// Refused means that the endpoint certainly did not start the task and
	// never will: no connection was made, or the endpoint refused the task.
	Refused
	// Lost means that the task may have started but no answer arrived.
	Lost
)

type (
	// Outcome is the outcome of sending a task to an endpoint.
	Outcome uint8

	// Info describes an endpoint as it appears in the platform's list.
	Info struct {
		ID         string
		Address    netip.AddrPort
		DataCentre string
		Rack       string
		// Slots is the number of tasks that the endpoint runs concurrently.
		Slots int
		// Connections is the number of connections that the endpoint accepts
		// from one instance.
		Connections int
		// Size is the total of the endpoint's resources.
		Size task.Needs
		// Draining means that the endpoint is draining: it must get no new
		// work.
		Draining bool
		// Service names the pool that the endpoint belongs to; empty where all
		// endpoints are alike.
		Service string
		// Labels are the properties that a step of a pool job can require.
		Labels []string
		// StartedAt is when the endpoint started; zero if unknown. A different
		// time under the same ID means that it restarted and lost its state.
		StartedAt time.Time
		// ColdUntil is until when the endpoint is slow after its start; zero if
		// it is not known to be.
		ColdUntil time.Time
	}

	// Load is the state that an endpoint reports with each reply.
	Load struct {
		// Running is the number of tasks that the endpoint is running.
		Running int
		// Draining means that the endpoint is draining: it must get no new
		// work.
		Draining bool
	}
)

// ColdUntil returns the time until which an endpoint is cold that has reported how
// long that lasts; zero if it is not cold.
func ColdUntil(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}
