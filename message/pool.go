package message

import (
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

// The messages between instances that share leased endpoints; see packages pool
// and runner.
type (
	// Status is the sender's status, sent to all peers. It replaces earlier
	// ones of the same sender.
	Status struct {
		// Draining reports whether the sender has begun its planned stop.
		Draining bool
		// Version is the version of the sender's current configuration.
		Version uint64
		// Endpoints are the IDs of the endpoints whose leases the sender
		// holds.
		Endpoints []string
		// DataCentres are the other data centres in which the sender is
		// connected to an instance that can hold endpoints.
		DataCentres []string
		// Evacuations are the evacuations that the sender knows.
		Evacuations Evacuations
	}

	// Evacuations are the data centres whose endpoints get no work at an
	// operator's request. They replace those of a lower version.
	Evacuations struct {
		// Version is the store's version at which the set was read; zero if it
		// is not known.
		Version uint64
		// DataCentres are in ascending order.
		DataCentres []string
	}

	// FreeSlots reports the sender's free slots and waiting tasks to some
	// peers. It replaces earlier ones of the same sender.
	FreeSlots struct {
		// Capacities has one entry for each service.
		Capacities []Capacity
	}

	// Capacity is the capacity and the demand of one service at the sender, or
	// in a data centre.
	Capacity struct {
		Service string
		// Slots is the number of slots, counted in tasks with the service's
		// typical needs, and Free the number of free ones. Free is zero while
		// the sender's own tasks wait.
		Slots, Free int
		// Largest is the free resources of the held endpoint that has the most
		// free cores, among those with a free slot.
		Largest task.Needs
		// Backlog has one entry for each priority with waiting tasks.
		Backlog []WaitingTasks
		// Arrivals has one entry for each priority with recent jobs.
		Arrivals []ArrivalRate
		// Leaving is how many of the slots are about to be lost, and Joining how
		// many more will be usable soon.
		Leaving, Joining float64
	}

	// ArrivalRate is the rate at which work of one priority arrives.
	ArrivalRate struct {
		Priority int
		// Slots is how many slots the work keeps busy.
		Slots float64
	}

	// WaitingTasks is the demand of the waiting tasks of one priority.
	WaitingTasks struct {
		Priority int
		// Late reports that the callers of their jobs had waited for too long
		// before they sent them here. They are less urgent than all other tasks.
		Late  bool
		Tasks int
		// Slack is the time from the sending of the message until the first of
		// them must start for its job to meet its goal or, if late, to be answered
		// in time to be useful.
		Slack time.Duration
		// Work is the sum of their expected run times.
		Work time.Duration
		// Needs is the most of each resource that any one of them needs, and
		// Smallest the least.
		Needs, Smallest task.Needs
		// Share is how many of the tasks the receiver may offer slots for. The
		// shares of all receivers add up to Tasks. From a sender that does not
		// divide its tasks, it equals Tasks.
		Share int
	}

	// DataCentreViews carries what the sender knows of whole data centres.
	DataCentreViews struct {
		Views []DataCentreView
	}

	// DataCentreView is the capacity and the demand of one data centre, added up
	// by one of its instances.
	DataCentreView struct {
		DataCentre string
		// Merger is the instance that added them up, and Sequence increases with
		// each of its views.
		Merger   instance.Ref
		Sequence uint64
		// Age is the time since then, at the time of sending.
		Age time.Duration
		// Instances is how many instances are included.
		Instances  int
		Capacities []Capacity
	}

	// Profiles carries what the sender has learnt of endpoints and queues. The
	// receiver merges it with its own observations.
	Profiles struct {
		Endpoints []EndpointProfile
		Queues    []QueueProfile
	}

	// EndpointProfile is what is known of one boot of an endpoint.
	EndpointProfile struct {
		ID string
		// StartedAt is when the endpoint started; zero if unknown.
		StartedAt time.Time
		// Speed is the expected run time divided by the observed one, from the
		// number Samples of runs.
		Speed   float64
		Samples int
		// FailedShare is the share of failures among the number Outcomes of
		// recent runs.
		FailedShare float64
		Outcomes    int
		// EjectedFor is how much longer the endpoint gets no work; zero if it is
		// not ejected.
		EjectedFor time.Duration
	}

	// QueueProfile is how the run times of a queue's tasks compare to their
	// estimates at an endpoint of speed 1.
	QueueProfile struct {
		Queue   string
		Samples int
		// MedianRatio and TailRatio are the median and the 95th percentile of the
		// run time divided by the estimate.
		MedianRatio, TailRatio float64
	}

	// EndpointLosses carries what the sender knows of endpoints that were lost with
	// runs. The receiver merges it with what it knows itself.
	EndpointLosses struct {
		Losses []EndpointLoss
	}

	// EndpointLoss is the loss of one boot of an endpoint; see package crash.
	EndpointLoss struct {
		Endpoint string
		Address  netip.AddrPort
		// StartedAt is when the boot started; zero if unknown.
		StartedAt time.Time
		// Age is the time since the loss, or since it was withdrawn, at the time of
		// sending.
		Age   time.Duration
		State crash.State
		Runs  []crash.Run
	}

	// StartRun asks the holder to run a task.
	StartRun struct {
		Run run.Ref
		// Queue is the name of the queue of the task's job; empty from an instance of
		// an earlier release.
		Queue   string
		Service string
		// Spec is the job's Spec, passed to the endpoint unchanged.
		Spec  string
		Needs task.Needs
		// Estimate is the expected run time.
		Estimate time.Duration
		// Requires is a label that the endpoint must have; empty for none.
		Requires string
		// Rack is the preferred rack; empty for none.
		Rack string
		// Avoid are the IDs of endpoints that must not be used.
		Avoid []string
		// NotifyStart requests an update when the run starts; otherwise an
		// update is sent only when it ends.
		NotifyStart bool
		// Offer is the number of the accepted Offer; zero if none.
		Offer uint64
	}

	// StopRun asks the holder to stop a run whose answer is not needed.
	StopRun struct {
		Run run.Ref
	}

	// Runs lists all runs whose home is the sender and which it expects at the
	// receiver. It is sent when a new stream opens, since messages may have
	// been lost with the previous stream.
	Runs struct {
		Runs []run.Ref
	}

	// RunUpdate reports the status of a run to its home.
	RunUpdate struct {
		Run    run.Ref
		Status run.Status
		// Endpoint is the ID of the endpoint to which the run was sent; empty
		// if there is none or the holder does not know it.
		Endpoint string
		// Free is the number of free slots at the holder, counted in tasks with
		// the service's typical needs.
		Free int
		// Ran is the time since the run started; zero if unknown.
		Ran time.Duration
	}

	// Offer reserves a slot for the receiver.
	Offer struct {
		Number  uint64
		Service string
		// Needs is the size of the slot.
		Needs task.Needs
	}

	// Decline releases an offered slot.
	Decline struct {
		Number uint64
	}

	// PlatformConfiguration carries the sender's current configuration for
	// package route, as the operator wrote it.
	PlatformConfiguration struct {
		Document []byte
	}

	// PlatformConfigurationRequest requests PlatformConfiguration.
	PlatformConfigurationRequest struct{}

	// Lists carries the sender's copy of the platform's lists of endpoints and
	// instances, for an instance that starts while the store is unavailable.
	Lists struct {
		Endpoints []ListedEndpoint
		Instances []instance.Info
	}

	// ListsRequest requests Lists.
	ListsRequest struct{}

	// ListChange carries changes of the platform's list of endpoints that the
	// sender has read, so that not every instance has to read them.
	ListChange struct {
		// After and Cursor are the positions in the list's changes before and
		// after these changes.
		After, Cursor uint64
		// Put are the entries that were added or replaced.
		Put []ListedEndpoint
		// Removed are the IDs of removed entries.
		Removed []string
	}

	// ListedEndpoint is an entry of the platform's list of endpoints; see
	// package endpoint.
	ListedEndpoint struct {
		ID               string
		Address          netip.AddrPort
		DataCentre, Rack string
		Slots            int
		Size             task.Needs
		// Draining reports whether the endpoint is draining.
		Draining bool
		Service  string
		Labels   []string
		// StartedAt is when the endpoint started; zero if unknown.
		StartedAt time.Time
		// ColdFor is how much longer the endpoint is slow after its start, at the
		// time of sending.
		ColdFor time.Duration
	}
)

func (Status) body()                       {}
func (FreeSlots) body()                    {}
func (StartRun) body()                     {}
func (StopRun) body()                      {}
func (Runs) body()                         {}
func (RunUpdate) body()                    {}
func (Offer) body()                        {}
func (Decline) body()                      {}
func (PlatformConfiguration) body()        {}
func (PlatformConfigurationRequest) body() {}
func (Lists) body()                        {}
func (ListsRequest) body()                 {}
func (ListChange) body()                   {}
func (DataCentreViews) body()              {}
func (Profiles) body()                     {}
func (EndpointLosses) body()               {}
