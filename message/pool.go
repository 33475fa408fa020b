package message

import (
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

// The messages between instances that share leased endpoints; see package
// pool.
type (
	// Standing tells all peers what the sender holds. A later one replaces
	// its earlier ones.
	Standing struct {
		// Leaving tells that the sender has begun its planned stop.
		Leaving bool
		// Version is the configuration's in force at the sender.
		Version uint64
		// Endpoints are the IDs of those that the sender holds.
		Endpoints []string
	}

	// Vacancies tells some peers what the sender has free and waits for. A
	// later one replaces its earlier ones.
	Vacancies struct {
		Rooms []Room
	}

	// Room is what the sender's endpoints of one service have.
	Room struct {
		Service string
		// Places is how many tasks of the usual size fit in all, and Free
		// how many more fit now.
		Places, Free int
		// Largest is the largest task that fits on one endpoint now.
		Largest task.Needs
		// Waits are the tasks that wait at the sender, by priority.
		Waits []Wait
	}

	// Wait is the need of the waiting tasks of one priority.
	Wait struct {
		Priority int
		Tasks    int
		// Slack is how soon the first of them must start for its job to meet
		// its goal, from the message's sending.
		Slack time.Duration
		// Work is the expected run time of all of them together.
		Work time.Duration
		// Needs is what the largest of them needs.
		Needs task.Needs
	}

	// StartRun asks the holder to run a task.
	StartRun struct {
		Run     run.Ref
		Service string
		Spec    string
		Needs   task.Needs
		// Estimate is the expected run time.
		Estimate time.Duration
		// Requires is a label that the endpoint must have, or empty.
		Requires string
		// Rack is the rack to prefer, or empty.
		Rack string
		// Avoid are endpoints that must not be used.
		Avoid []string
		// TellStart asks for an update when the run has begun; other runs are
		// told of when they end.
		TellStart bool
		// Offer is the number of the offer that is taken up; zero if none.
		Offer uint64
	}

	// StopRun asks the holder to end a run whose answer is not wanted.
	StopRun struct {
		Run run.Ref
	}

	// Runs are all that the sender, as their home, waits for at the
	// receiver. It is sent on a new stream, as messages may be lost with the
	// one before.
	Runs struct {
		Runs []run.Ref
	}

	// RunUpdate tells the home how far its run has come.
	RunUpdate struct {
		Run    run.Ref
		Status run.Status
		// Endpoint is where it runs; empty if it never began.
		Endpoint string
		// Free is how many more tasks of the usual size fit at the holder.
		Free int
		// Ran is how long ago the run began; zero if that is not known.
		Ran time.Duration
	}

	// Offer reserves a place for the receiver.
	Offer struct {
		Number  uint64
		Service string
		// Needs is what fits there.
		Needs task.Needs
	}

	// Decline gives an offered place back.
	Decline struct {
		Number uint64
	}

	// Routes carries the configuration in force at the sender, as the
	// platform's adapter reads it.
	Routes struct {
		Document []byte
	}

	// RoutesRequest asks for Routes.
	RoutesRequest struct{}

	// Lists carries the platform's lists as the sender has them, for an
	// instance that has started while the store is away.
	Lists struct {
		Endpoints []ListedEndpoint
		Instances []instance.Info
	}

	// ListsRequest asks for Lists.
	ListsRequest struct{}

	// ListChange tells what the sender has read of the changes of the
	// platform's list of endpoints, from one cursor up to another, so that not
	// each instance need read them.
	ListChange struct {
		After, Cursor uint64
		Put           []ListedEndpoint
		// Gone are the IDs of entries that were removed.
		Gone []string
	}

	// ListedEndpoint is an endpoint as the platform's list gives it; see
	// package endpoint.
	ListedEndpoint struct {
		ID               string
		Address          netip.AddrPort
		DataCentre, Rack string
		Slots            int
		Size             task.Needs
		Leaving          bool
		Service          string
		Labels           []string
		// Born is when it started; zero if that is not known.
		Born time.Time
	}
)

func (Standing) body()      {}
func (Vacancies) body()     {}
func (StartRun) body()      {}
func (StopRun) body()       {}
func (Runs) body()          {}
func (RunUpdate) body()     {}
func (Offer) body()         {}
func (Decline) body()       {}
func (Routes) body()        {}
func (RoutesRequest) body() {}
func (Lists) body()         {}
func (ListsRequest) body()  {}
func (ListChange) body()    {}
