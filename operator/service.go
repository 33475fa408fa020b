package operator

import (
	"context"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/team"
)

type (
	// Service is the part of an instance that serves operators. An error is
	// either a [fault.Error] or the context's error.
	Service interface {
		// Configuration returns the configuration in force on this instance.
		Configuration(ctx context.Context) (configuration.Document, error)
		// Change applies a change to the configuration and returns the
		// configuration in force after it. Repeating a change with the same ID
		// has no further effect.
		Change(ctx context.Context, c configuration.Change) (configuration.Document, error)
		// Classes returns the state and the performance of each class on this
		// instance.
		Classes(ctx context.Context) ([]ClassStatus, error)
		// Teams returns the usage of each team on this instance.
		Teams(ctx context.Context) ([]TeamStatus, error)
		// Instances returns the entry instances that this instance knows.
		Instances(ctx context.Context) ([]InstanceStatus, error)
		// Endpoints returns the endpoints that this instance knows.
		Endpoints(ctx context.Context) ([]EndpointStatus, error)
		// Explain returns the history of a submission whose home is this
		// instance.
		Explain(ctx context.Context, submissionID string) (Explanation, error)
	}

	// ClassStatus is the state and the performance of a class on this instance.
	ClassStatus struct {
		class.Class
		Rank class.Rank
		// Waiting and Running are numbers of tasks.
		Waiting, Running int
		// Answered, Failed and NotRun are numbers of jobs that completed, failed
		// and were refused. WithinTarget is the number of completed jobs that
		// were answered within the class's target.
		Answered, Failed, NotRun, WithinTarget uint64
		// P50 and P99 are quantiles of the response time of completed jobs.
		P50, P99 time.Duration
		// RatioP50 and RatioP99 are quantiles of the ratio of the response time
		// to that on an idle system.
		RatioP50, RatioP99 float64
	}

	// TeamStatus is the usage of a team on this instance.
	TeamStatus struct {
		team.Team
		// Waiting and Running are numbers of tasks.
		Waiting, Running int
	}

	// InstanceStatus is what this instance knows about an entry instance.
	InstanceStatus struct {
		instance.Info
		// Self reports whether this is the instance that answers the query.
		Self bool
		// Live reports whether messages from the instance arrive, and Listed
		// whether it is in the platform's list.
		Live, Listed bool
		// LastReceived is when the last message from the instance arrived; zero
		// means never.
		LastReceived time.Time
		// ConfigurationVersion is the version in force on the instance.
		ConfigurationVersion uint64
		// StoreReachable and Ready are set only if Self is true.
		StoreReachable, Ready bool
	}

	// EndpointStatus is what this instance knows about an endpoint.
	EndpointStatus struct {
		endpoint.Info
		// State is "sound", "suspect", "withheld", "ejected" or "probation".
		State string
		// Reason is why the endpoint is suspect or ejected. It may be empty.
		Reason string
		// Until is when the state of a suspect or ejected endpoint is next
		// reviewed. In other states it is zero.
		Until time.Time
		// Usable is the number of tasks that the endpoint may run at once for
		// all instances together.
		Usable int
		// Speed is the ratio of the observed to the expected speed; 1 is normal.
		Speed float64
		// Running is the number of tasks that this instance has sent to the
		// endpoint and that have not ended.
		Running int
	}

	// Explanation is the history of a submission.
	Explanation struct {
		// Home is the instance that accepted the submission.
		Home instance.Ref
		// Steps are in chronological order.
		Steps []Step
	}

	// Step is one event in the history of a submission.
	Step struct {
		Time time.Time
		// TaskID is empty if the step concerns the whole job.
		TaskID string
		// Kind is the kind of the step, for example "accepted", "waits", "sent"
		// or "refused".
		Kind string
		// Reason is the reason for the step. It may be empty.
		Reason string
		// Endpoint is the id of the endpoint that the step concerns. It may be
		// empty.
		Endpoint string
		// Waited is the time from acceptance to the start if Kind is "sent",
		// and the time waited so far if Kind is "waits".
		Waited time.Duration
	}
)
