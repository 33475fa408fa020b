package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

// The outcomes of an order to an endpoint.
const (
	// Accepted means that the order was carried out.
	Accepted Outcome = iota
	// Full means that the run does not fit next to the other runs.
	Full
	// Late means that the order's Until had passed on the endpoint's clock.
	Late
	// Old means that this run or a later run of the task has already ended
	// there.
	Old
	// Fenced means that the endpoint has seen a higher token.
	Fenced
	// Unhealthy means that the endpoint does not accept orders now.
	Unhealthy
	// Restarted means that another boot of the endpoint answered.
	Restarted
	// ConnectionRefused means that the connection was refused, so this order
	// had no effect. It proves nothing about earlier orders.
	ConnectionRefused
	// Invalid means that the endpoint could not parse the order.
	Invalid
	// Unanswered means that the order may be carried out, now or later.
	Unanswered
)

type (
	// Outcome is the result of an order to an endpoint. All but Accepted and
	// Unanswered prove that the order had no effect.
	Outcome uint8

	// Order is the part that all orders have: the endpoint and the holder's
	// fencing token.
	Order struct {
		Endpoint endpoint.Info
		Token    int64
		// Timeout is how long to wait for the reply before it counts as
		// unanswered and the connection is closed.
		Timeout time.Duration
	}

	// Start starts a run.
	Start struct {
		Order
		Run  run.Ref
		Spec string
		// Until is when the run's lease ends, on the endpoint's clock. The
		// endpoint refuses an order that arrives later.
		Until time.Duration
	}

	// Stop stops a run.
	Stop struct {
		Order
		Run run.Ref
	}

	// Poll renews the lease and asks which runs are running and which have
	// ended.
	Poll struct {
		Order
		// LastEnd is the number of the last end that the holder has handled. It
		// acknowledges all ends up to it.
		LastEnd int64
		// Until is as in Start; zero means that the lease is not renewed.
		Until time.Duration
		// Wait is how long the endpoint may wait for a run to end before it
		// answers.
		Wait time.Duration
		// Immediate reports that the poll is sent next to a pending one, without
		// waiting for a run to end.
		Immediate bool
	}

	// Reply is the part that all replies to orders have.
	Reply struct {
		Endpoint string
		Token    int64
		Outcome  Outcome
		// Clock is the endpoint's clock; zero if it was not reported.
		Clock time.Duration
		// Sent is when the order was sent.
		Sent time.Time
		// Detail is the status or the error received instead of an acceptance, for
		// logs.
		Detail string
	}

	// StartReply is the reply to a Start.
	StartReply struct {
		Reply
		Run run.Ref
	}

	// StopReply is the reply to a Stop.
	StopReply struct {
		Reply
		Run run.Ref
	}

	// PollReply is the reply to a Poll.
	PollReply struct {
		Reply
		// LastEnd and Immediate are copied from the poll.
		LastEnd   int64
		Immediate bool
		// StartedAt is when the endpoint started; zero if it was not reported.
		StartedAt time.Time
		Running   []Running
		Ended     []End
		// Draining reports that the endpoint is draining, and Remaining is the least
		// time until it leaves; negative if what it reported is no such time.
		Draining  bool
		Remaining time.Duration
		// Size is the endpoint's size; zero if it was not reported.
		Size task.Needs
	}

	// Running is a run that the endpoint lists as running.
	Running struct {
		Run run.Ref
		// Percent is the completed share of the work, from 0 to 100.
		Percent float64
	}

	// End is a run that the endpoint lists as ended.
	End struct {
		// Number counts the endpoint's ended runs from 1.
		Number int64
		Run    run.Ref
		Status run.Status
	}

	// Answer is the final answer to a caller.
	Answer struct {
		Call uint64
		// Fault is nil if the job is complete.
		Fault *fault.Error
	}

	// Output has the actions that a method requests from the driver. The driver
	// resets it before it passes it to another method.
	Output struct {
		Starts   []Start
		Stops    []Stop
		Polls    []Poll
		Messages []message.Message
		Answers  []Answer
		Events   []event.Record
		// Neighbours are the peers to keep a stream with, if NeighboursChanged
		// is set.
		Neighbours        []instance.Info
		NeighboursChanged bool
		// Wake is when Tick should be called.
		Wake time.Time
	}
)

// Reset empties the output and keeps its memory.
func (o *Output) Reset() {
	clear(o.Starts)
	clear(o.Messages)
	*o = Output{
		Starts:   o.Starts[:0],
		Stops:    o.Stops[:0],
		Polls:    o.Polls[:0],
		Messages: o.Messages[:0],
		Answers:  o.Answers[:0],
		Events:   o.Events[:0],
	}
}

func (o *Output) log(k event.Kind, subject, detail string) {
	o.Events = append(o.Events, event.Record{Kind: k, Subject: subject, Detail: detail})
}

// wakeAt requests a Tick at t, unless an earlier one is already requested.
func (o *Output) wakeAt(t time.Time) {
	if o.Wake.IsZero() || t.Before(o.Wake) {
		o.Wake = t
	}
}
