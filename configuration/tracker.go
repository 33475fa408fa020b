package configuration

import (
	"math/rand/v2"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/storage"
)

// The scopes of an announcement: the instances that get a heartbeat at once when
// a new version is in force.
const (
	// NoScope means that the regular heartbeats are enough.
	NoScope Scope = iota
	// Near means the instances of the same data centre.
	Near
	// All means all instances.
	All
)

// The stages of a change.
const (
	reading stage = iota
	writing
	// waiting means that the next call is made when the backoff ends.
	waiting
)

type (
	// Scope is the set of instances that an announcement goes to.
	Scope uint8

	stage uint8

	// Output collects the effects of a Tracker's methods. The caller clears it
	// before reusing it.
	Output struct {
		// Calls are the calls to make to the platform's table.
		Calls []storage.Call
		// Requests are the instances to send a message.ConfigurationRequest to.
		Requests []instance.Ref
		// Deliveries are the documents to send as message.Configuration.
		Deliveries []Delivery
		// Answers are the results of changes requested at this instance. One
		// answer serves all requests with its change ID.
		Answers []ChangeResult
		// Announce selects the instances to send a heartbeat to at once.
		Announce Scope
		// NewVersion means that a new version is in force.
		NewVersion bool
		Events     []event.Record
	}

	// Delivery is a document to send to an instance that requested it.
	Delivery struct {
		To       instance.Ref
		Document Document
	}

	// ChangeResult is the result of a change.
	ChangeResult struct {
		ChangeID string
		// Version is the version that the change made, if Fault is nil.
		Version uint64
		Fault   *fault.Error
	}

	// Tracker keeps the version of the configuration that is in force at one
	// instance, and carries out changes. The version never decreases. A Tracker
	// is not safe for concurrent use.
	Tracker struct {
		cfg     Settings
		rng     *rand.Rand
		started time.Time
		current Document
		// tableRead means that the table has returned a valid row. tableEmpty
		// means that the last such row held no document.
		tableRead, tableEmpty bool
		// offered is the highest version that a peer has offered, last at
		// offeredAt.
		offered   uint64
		offeredAt time.Time
		// peerContacted means that a peer has sent its version or a document.
		peerContacted bool
		ready         bool
		// startupWaitOver means that the startup wait has ended.
		startupWaitOver bool
		// confirmed is when the table or a peer last confirmed the version in
		// force.
		confirmed time.Time
		stale     bool

		lastCall uint64
		polls    []poll
		nextPoll time.Time
		// slow means that the last reply to a poll was slow.
		slow bool
		// fetchFrom is the peer to request the document from at fetchAt.
		// fetchAt is zero if no request is scheduled.
		fetchFrom   instance.Ref
		fetchAt     time.Time
		lastRequest time.Time
		// neighbours are the instances of the same data centre that sent a
		// heartbeat recently.
		neighbours []neighbour
		pending    []*pending
	}

	// poll is a pending read of the table.
	poll struct {
		number uint64
		sentAt time.Time
	}

	// neighbour is another instance of the same data centre.
	neighbour struct {
		id            string
		lastHeartbeat time.Time
	}

	// pending is a change that is active or queued. Only the first one is
	// active.
	pending struct {
		change   Change
		deadline time.Time
		stage    stage
		number   uint64
		sentAt   time.Time
		// resumeAt is when the next call is made, and next is the stage of that
		// call.
		resumeAt time.Time
		next     stage
		retries  int
		// baseSet means that base holds the version that the change builds on.
		baseSet bool
		base    uint64
		// unconfirmed means that a write may have taken effect although no
		// reply confirmed it.
		unconfirmed bool
		write       storage.Write
		document    Document
	}
)

// New returns a tracker without a version in force. Its first Tick reads the
// table.
func New(cfg Settings, now time.Time) *Tracker {
	return &Tracker{
		cfg:       cfg.withDefaults(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0x636f6e666967)),
		started:   now,
		confirmed: now,
		nextPoll:  now,
	}
}
