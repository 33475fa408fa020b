package endpoint

import (
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/task"
)

// The outcomes of one send of a task to an endpoint.
const (
	// Answered means that the endpoint ran the task and its answer is here.
	Answered Outcome = iota
	// Failed means that the endpoint ran the task and it failed.
	Failed
	// Refused means proof that the endpoint did not start the task and never
	// will: no connection was made, or it said so itself.
	Refused
	// Lost means that the task may have started and no answer came.
	Lost
)

type (
	// Outcome is how one send of a task ended.
	Outcome uint8

	// Info describes an endpoint, as the platform's list gives it.
	Info struct {
		ID         string
		Address    netip.AddrPort
		DataCentre string
		Rack       string
		// Slots is how many tasks it runs at once.
		Slots int
		// Connections is how many connections it accepts from one instance.
		Connections int
		// Size is what the endpoint has in all.
		Size task.Needs
		// Leaving tells that it must get no new work.
		Leaving bool
		// Service names the pool of endpoints that it belongs to; empty where
		// all endpoints are alike.
		Service string
		// Labels are what a step may require of it.
		Labels []string
		// Born is when it started; zero if it does not tell. Another time
		// under the same ID means that it knows nothing of before.
		Born time.Time
	}

	// Load is what an endpoint tells of itself with each reply.
	Load struct {
		// Running is how many tasks it runs now.
		Running int
		// Leaving tells that it must get no new work.
		Leaving bool
	}
)
