package configuration

import (
	"math/rand/v2"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/storage"
)

// How far a new version is to be announced by heartbeats sent at once.
const (
	// Nobody means that the next regular heartbeats are enough.
	Nobody Scope = iota
	// Near means the instances of the own data centre.
	Near
	// All means all instances.
	All
)

// The stages of a change.
const (
	reading stage = iota
	writing
	// resting means that the next call is made when the pause ends.
	resting
)

type (
	// Scope tells whom an announcement goes to.
	Scope uint8

	stage uint8

	// Output is what a method of a Tracker wants done. The driver empties it
	// before it passes it in again.
	Output struct {
		// Calls go to the platform's table.
		Calls []storage.Call
		// Requests are the instances to ask by message.ConfigurationRequest.
		Requests []instance.Ref
		// Deliveries go out as message.Configuration.
		Deliveries []Delivery
		// Answers are the ends of changes that were asked for here. One answer
		// is for all that asked under its change id.
		Answers []Answer
		// Announce asks for heartbeats at once.
		Announce Scope
		// InForce tells that another version is in force now.
		InForce bool
		Events  []event.Record
	}

	// Delivery is a document for an instance that asked for it.
	Delivery struct {
		To       instance.Ref
		Document Document
	}

	// Answer is the end of a change.
	Answer struct {
		ChangeID string
		// Version is the one that the change made, if Fault is nil.
		Version uint64
		Fault   *fault.Error
	}

	// Tracker keeps the version of the configuration that is in force at one
	// instance and carries out changes. The version never falls. It is not
	// safe for concurrent use.
	Tracker struct {
		cfg     Settings
		rng     *rand.Rand
		started time.Time
		current Document
		// read tells that the table has answered once, and empty that it had
		// no document then.
		read, empty bool
		// offered is the highest version that a peer spoke of, at offeredAt.
		offered   uint64
		offeredAt time.Time
		heard     bool
		ready     bool
		// settled tells that the settling time is over.
		settled bool
		// confirmed is when the table or a peer last had the version in force.
		confirmed time.Time
		stale     bool

		lastCall uint64
		polls    []poll
		nextPoll time.Time
		slow     bool
		// fetch is the peer to ask at fetchAt; zero time if none.
		fetch     instance.Ref
		fetchAt   time.Time
		requested time.Time
		// near are the instances of the own data centre heard of late.
		near    []neighbour
		pending []*pending
	}

	// poll is a read of the table under way.
	poll struct {
		number uint64
		sent   time.Time
	}

	neighbour struct {
		id    string
		heard time.Time
	}

	// pending is a change that waits its turn or is under way. Only the first
	// one is under way.
	pending struct {
		change   Change
		deadline time.Time
		stage    stage
		number   uint64
		sent     time.Time
		// resume is when the rest ends, and next the stage after it.
		resume  time.Time
		next    stage
		retries int
		// seen tells that base is the version that the change builds on.
		seen bool
		base uint64
		// doubtful tells that a write may have taken effect unseen.
		doubtful bool
		write    storage.Write
		document Document
	}
)

// New returns a tracker with no version in force. Its first Tick reads the
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
