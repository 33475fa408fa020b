package message

import (
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

type (
	// Message is a message between two instances. A receiver whose
	// incarnation differs from To drops the message and answers with Stale.
	Message struct {
		From, To instance.Ref
		Body     Body
	}

	// Body is one of the types below.
	Body interface{ body() }

	// Submit forwards a job to its home.
	Submit struct {
		// Request is the sender's number for the request; the reply repeats
		// it.
		Request uint64
		Job     job.Job
		// Wait requests the final result; otherwise the reply is sent once the
		// job is accepted or refused.
		Wait bool
		// HandOver asks the receiver to become the home if there is none, since
		// the sender is about to stop. It is only for ids chosen by callers.
		HandOver bool
	}

	// Show requests a job's result from its home.
	Show struct {
		Request      uint64
		SubmissionID string
		// Wait requests the final result; otherwise the reply is sent
		// immediately.
		Wait bool
	}

	// Cancel asks the home to cancel a job.
	Cancel struct {
		Request      uint64
		SubmissionID string
	}

	// Result answers Submit, Show and Cancel.
	Result struct {
		Request uint64
		Result  job.Result
	}

	// Want reports the demand of the sender's waiting tasks to a holder of
	// endpoints. It replaces earlier Wants of the same sender.
	Want struct {
		Sequence uint64
		Demands  []Demand
		// Held lists the leases on the receiver's endpoints that the sender
		// has. It is sent from time to time to reconcile both sides after a
		// lost message; Full reports whether Held is set.
		Held []SlotLease
		Full bool
	}

	// Demand is the demand of the waiting tasks of one rank.
	Demand struct {
		Rank class.Rank
		// Slack is the least slack of these tasks at the time of sending.
		Slack time.Duration
		Tasks int
		// Needs is what the largest of these tasks needs.
		Needs task.Needs
	}

	// Grant lends slots of endpoints to the receiver.
	Grant struct {
		Leases []SlotLease
		// Want is the sequence number of the last Want that the sender of the
		// Grant received from the receiver.
		Want uint64
	}

	// SlotLease is the right to start tasks on one endpoint until it expires.
	SlotLease struct {
		Endpoint string
		// Epoch orders the leases of one holder on one endpoint.
		Epoch uint64
		Slots int
		// Length is the lifetime of the lease from the receipt of the message.
		Length time.Duration
		// To is set in a Return if the sender has transferred the slots to
		// that instance instead of returning them.
		To instance.Ref
	}

	// Return returns lent slots to their holder.
	Return struct {
		Leases []SlotLease
		// Unused is the number of these slots on which no task was started.
		Unused int
		// Want is as in Grant.
		Want uint64
	}

	// Heartbeat is the heartbeat between instances. It also carries the
	// sender's configuration version, endpoint signals and backlog.
	Heartbeat struct {
		Info                 instance.Info
		ConfigurationVersion uint64
		// Signals are the sender's observations of endpoints and racks. They
		// are set only for receivers in the sender's data centre.
		Signals []Signal
		// ExpectedWaits is the expected wait of a new task, by rank.
		ExpectedWaits []time.Duration
	}

	// Signal is an instance's observation of one endpoint or one rack in its
	// data centre.
	Signal struct {
		// Endpoint is the endpoint's id; empty in the signal of a rack.
		Endpoint string
		// Rack is empty in the signal of an endpoint.
		Rack string
		// Samples is the number of run times from which Speed was computed.
		Samples int
		// Speed is the observed speed divided by the expected speed; 1 is
		// normal.
		Speed float64
		// Ejected reports whether the sender has ejected the endpoint, so that
		// it gets no tasks.
		Ejected bool
		// Draining reports whether the endpoint itself reported that it is
		// draining.
		Draining bool
	}

	// ConfigurationRequest requests the receiver's current configuration.
	ConfigurationRequest struct{}

	// Configuration carries the sender's current configuration.
	Configuration struct {
		Document configuration.Document
	}

	// Stale answers a message that was addressed to another incarnation of the
	// instance. From in its Message is the current incarnation.
	Stale struct {
		// Request is the number of the dropped request; zero if the message
		// was no request.
		Request uint64
	}
)

func (Submit) body()               {}
func (Show) body()                 {}
func (Cancel) body()               {}
func (Result) body()               {}
func (Want) body()                 {}
func (Grant) body()                {}
func (Return) body()               {}
func (Heartbeat) body()            {}
func (ConfigurationRequest) body() {}
func (Configuration) body()        {}
func (Stale) body()                {}
