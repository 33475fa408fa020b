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
	// Message is a message between two instances. To names one incarnation; in
	// a heartbeat, an incarnation of zero means any. Package entry drops a
	// message for another incarnation and answers with Stale, except to a
	// Stale. Package pool drops it silently. Package runner does not check To
	// in the messages about its configuration and lists.
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
		// Held lists the sender's leases on lent slots of endpoints that the
		// receiver holds. It is sent from time to time to reconcile both sides
		// after a lost message.
		Held []SlotLease
		// Full reports whether the message carries Held; Held is then complete,
		// and empty if the sender has no leases.
		Full bool
	}

	// Demand is the demand of the waiting tasks of one rank.
	Demand struct {
		Rank class.Rank
		// Slack is the least slack of these tasks at the time of sending.
		Slack time.Duration
		Tasks int
		// Needs is what the most urgent of these tasks needs.
		Needs task.Needs
	}

	// Grant gives slots of endpoints to the receiver; the sender is their
	// holder or a borrower that transfers them. A lease with no slots ends the
	// receiver's lease on that endpoint.
	Grant struct {
		Leases []SlotLease
		// Want is the sequence number of the last Want that the sender of the
		// Grant received from the receiver.
		Want uint64
	}

	// SlotLease is a borrower's right to start tasks on lent slots of one
	// endpoint until it expires. It is not the lease of package pool, by which
	// an instance holds an endpoint.
	SlotLease struct {
		Endpoint string
		// Epoch orders the leases of one holder on one endpoint.
		Epoch uint64
		Slots int
		// Length is the sender's lease length; set only when slots are lent.
		// Receivers use their own setting: a lease ends at the borrower if the
		// holder sends nothing for that long, and at the holder if the borrower
		// sends nothing for a quarter longer.
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
	// sender's configuration version, signals and expected waits.
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

	// Stale answers a message that was not addressed to the receiving
	// incarnation, or a request for a job whose home is not that incarnation.
	// From in its Message is that incarnation.
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
