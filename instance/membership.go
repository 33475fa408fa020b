package instance

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

type (
	// Output collects the effects of a Membership's methods. The caller clears
	// it before reusing it.
	Output struct {
		// Joined holds the incarnations that have become live, for the first
		// time or again.
		Joined []Info
		// Lost holds the incarnations that are no longer live. A lost one that
		// was only suspended or cut off joins again.
		Lost []Ref
		// Draining holds the live incarnations that have begun their planned
		// shutdown.
		Draining []Info
		// Heartbeats are to be sent now. An incarnation of zero means that the
		// receiver's incarnation is not known yet; any incarnation accepts such
		// a heartbeat.
		Heartbeats []Heartbeat
		Events     []event.Record
	}

	// Heartbeat is one message.Heartbeat to send.
	Heartbeat struct {
		To Info
		// SameDataCentre means that the receiver is in the sender's data
		// centre, where signals about endpoints are useful.
		SameDataCentre bool
	}

	// Membership is one instance's view of the other instances. It merges the
	// platform's lagging list with the messages received from them. It is not
	// safe for concurrent use.
	Membership struct {
		cfg  Settings
		rng  *rand.Rand
		byID map[string]*member
		// all holds the members in the order of their IDs.
		all []*member
		// farPeriod is the time between heartbeats to a member of another data
		// centre.
		farPeriod time.Duration
	}

	// member is the state of one other instance.
	member struct {
		// info is the last description that the instance sent. Before the first
		// one, and for the location of a silent member, it comes from the list.
		info Info
		// addresses are the listed addresses. They are tried in turn while the
		// member is not live. attempt counts the heartbeats sent to them.
		addresses []netip.AddrPort
		attempt   int
		listed    bool
		// lastReceived is when the last message of the incarnation in info
		// arrived; zero if none did.
		lastReceived time.Time
		live         bool
		// nextHeartbeat is when the next heartbeat is due.
		nextHeartbeat time.Time
		// addedAt is when the member was first listed or sent a message.
		addedAt time.Time
	}
)

// New returns a membership that knows only this instance.
func New(cfg Settings, _ time.Time) *Membership {
	cfg = cfg.withDefaults()
	return &Membership{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0x696e7374616e6365)),
		byID:      make(map[string]*member),
		farPeriod: cfg.FarPeriod,
	}
}
