package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
)

// What an endpoint answered to an order.
const (
	// Accepted means that the order is carried out.
	Accepted Verdict = iota
	// Full means that the run does not fit beside the others.
	Full
	// Late means that the order's time had passed on the endpoint's clock.
	Late
	// Old means that this run or a later one has ended there already.
	Old
	// Fenced means that the endpoint has seen a higher token.
	Fenced
	// Unhealthy means that the endpoint takes no orders now.
	Unhealthy
	// Reborn means that another boot of the endpoint answered.
	Reborn
	// Gone means that the connection was refused, so that this order had no
	// effect. It tells nothing of earlier ones.
	Gone
	// Invalid means that the endpoint could not read the order.
	Invalid
	// Unanswered means that the order may be carried out, now or later.
	Unanswered
)

type (
	// Verdict is what became of an order to an endpoint. All but Accepted and
	// Unanswered prove that it had no effect.
	Verdict uint8

	// Order names the endpoint and the holder's token on it.
	Order struct {
		Endpoint endpoint.Info
		Token    int64
	}

	// Start orders a run.
	Start struct {
		Order
		Run  run.Ref
		Spec string
		// Until is when the run's lease ends, on the endpoint's clock. An
		// order that arrives later is refused.
		Until time.Duration
	}

	// Stop orders the end of a run.
	Stop struct {
		Order
		Run run.Ref
	}

	// Look renews the lease and asks what runs and what has ended.
	Look struct {
		Order
		// Seen is the number of the last end that was taken note of.
		Seen int64
		// Until is as in Start; zero renews nothing.
		Until time.Duration
		// Wait is how long the endpoint may wait for an end.
		Wait time.Duration
		// Peek tells that the look goes beside one that waits.
		Peek bool
	}

	// Reply is what came back of an order.
	Reply struct {
		Endpoint string
		Token    int64
		Verdict  Verdict
		// Clock is the endpoint's clock; zero if it was not told.
		Clock time.Duration
		// Sent is when the order was sent.
		Sent time.Time
	}

	// StartReply answers a Start.
	StartReply struct {
		Reply
		Run run.Ref
	}

	// StopReply answers a Stop.
	StopReply struct {
		Reply
		Run run.Ref
	}

	// LookReply answers a Look.
	LookReply struct {
		Reply
		// Seen and Peek are those of the Look.
		Seen int64
		Peek bool
		// Born is when the endpoint started; zero if it was not told.
		Born    time.Time
		Running []Running
		Ended   []End
		// Leaving tells that the endpoint is about to leave.
		Leaving bool
	}

	// Running is a run that the endpoint lists as running.
	Running struct {
		Run run.Ref
		// Percent is how much of the work is done.
		Percent float64
	}

	// End is a run that the endpoint lists as ended.
	End struct {
		// Number counts the endpoint's ends from 1.
		Number int64
		Run    run.Ref
		Status run.Status
	}

	// Answer is the one answer to a caller.
	Answer struct {
		Call uint64
		// Fault is nil if the job is complete.
		Fault *fault.Error
	}

	// Output is what a method wants done. The driver empties it before it
	// passes it in again.
	Output struct {
		Starts   []Start
		Stops    []Stop
		Looks    []Look
		Messages []message.Message
		Answers  []Answer
		Events   []event.Record
		// Wake is when Tick is wanted.
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
		Looks:    o.Looks[:0],
		Messages: o.Messages[:0],
		Answers:  o.Answers[:0],
		Events:   o.Events[:0],
	}
}

func (o *Output) log(k event.Kind, subject, detail string) {
	o.Events = append(o.Events, event.Record{Kind: k, Subject: subject, Detail: detail})
}

// wakeAt asks for a Tick at t, or earlier if that was asked for before.
func (o *Output) wakeAt(t time.Time) {
	if o.Wake.IsZero() || t.Before(o.Wake) {
		o.Wake = t
	}
}
