package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
)

// The health states of an endpoint.
const (
	// Healthy means that the endpoint gets work.
	Healthy Health = iota
	// Suspect means that the endpoint fails too often, but is not ejected:
	// too few of the other endpoints of its data centre have answered meanwhile
	// to confirm that the fault is the endpoint's, or too many endpoints are
	// ejected. It gets no work during a short pause.
	Suspect
	// Trial means that the pause of a suspect endpoint has ended without an
	// ejection and the endpoint gets one task.
	Trial
	// Ejected means that the endpoint gets no work until its backoff ends.
	Ejected
	// Probation means that the backoff has ended and the endpoint gets one
	// task at a time until enough of them are answered.
	Probation
)

// The reasons why an endpoint was last paused or ejected. A healthy endpoint has
// noReason.
const (
	noReason reason = iota
	failing
	slow
)

const (
	// endpointSamples, rackSamples and dataCentreSamples are the window sizes
	// for the logarithms of run time ratios, in samples.
	endpointSamples   = 32
	rackSamples       = 256
	dataCentreSamples = 512
)

type (
	// Health is an instance's assessment of an endpoint.
	Health uint8

	reason uint8

	// Output collects the effects of a Tracker's methods. The caller clears it
	// before reusing it.
	Output struct {
		// Changed holds the IDs of the endpoints whose usable slots changed.
		Changed []string
		Events  []event.Record
	}

	// Tracker keeps one instance's view of the endpoints: which of them it may
	// use, how many tasks each may run concurrently, and how fast they are. It
	// is not safe for concurrent use.
	Tracker struct {
		cfg Settings
		rng *rand.Rand
		// byID indexes the entries; all holds them in the order of their IDs.
		byID map[string]*entry
		all  []*entry
		dcs  []*dataCentre
		// timed holds the suspect and ejected entries, whose state ends at
		// entry.until.
		timed []*entry
		// shortage reports that there is less room than work; see SetShortage.
		shortage bool
	}

	// entry is the state of one endpoint.
	entry struct {
		info   Info
		rack   *rack
		dc     *dataCentre
		listed bool
		// selfDrainingAt is when the endpoint last reported that it is
		// draining, and peerDrainingAt when a peer last reported it; zero if
		// never.
		selfDrainingAt, peerDrainingAt time.Time

		health Health
		reason reason
		// until is when the state of a suspect or ejected entry ends.
		until time.Time
		// firstFailureAt is the time of the first failure that counts in
		// evidence.
		firstFailureAt time.Time
		// evidence is the log-likelihood ratio of the recent outcomes: a failing
		// endpoint against a healthy one. It is never negative.
		evidence float64
		// failures and successes count the outcomes since evidence was zero.
		failures, successes int
		// failedShare is the moving average of the failures among the last
		// outcomes, of which there are outcomes. streak counts the failures in
		// a row, and shareBefore is failedShare before the first of them.
		// lastFailureShare is what the last failure added to it.
		failedShare, shareBefore, lastFailureShare float64
		outcomes, streak                           int
		// lastAnsweredSend is the latest send time of the answered tasks.
		lastAnsweredSend time.Time
		// pauses counts the pauses since the endpoint was last healthy.
		pauses int
		// ejections counts the ejections that lengthen the next backoff.
		ejections   int
		lastEjected time.Time
		// probationSuccesses counts the answers during probation.
		probationSuccesses int
		// peerEjectedUntil is until when failures count more because a peer has
		// ejected the endpoint. It is reset to zero when the endpoint answers.
		peerEjectedUntil time.Time

		// logRatios holds the logarithms of expected over observed run time.
		logRatios  window
		lastSample time.Time
		speed      float64
		usable     int
		inFlight   int
	}

	// rack is the state of one rack of one data centre.
	rack struct {
		name      string
		logRatios window
		reports   []report
		// capacityLost means that a loss of capacity was announced. crossedAt
		// is since when the speed has been past the threshold at which
		// capacityLost changes; zero if it is not.
		capacityLost bool
		crossedAt    time.Time
	}

	// report is the last report of another instance on a rack.
	report struct {
		from instance.Ref
		at   time.Time
		// logRatio is the logarithm of the reported speed.
		logRatio float64
		samples  int
	}

	// dataCentre is the group of endpoints that are compared with each other.
	dataCentre struct {
		name      string
		entries   []*entry
		racks     []*rack
		logRatios window
		// skippedSamples counts the samples that were skipped during warm-up.
		skippedSamples int
		// current and previous count the outcomes at healthy endpoints in the
		// rate window that began at windowStart and in the one before.
		current, previous outcomeCounts
		windowStart       time.Time
		// reported counts the outcomes at endpoints of other instances, at
		// reportedAt.
		reported   outcomeCounts
		reportedAt time.Time
		ejected    int
		// lastWithheldEvent is when event.EjectionWithheld was last emitted.
		lastWithheldEvent time.Time
	}

	outcomeCounts struct {
		failed, finished int
	}
)

// New returns a tracker without endpoints.
func New(cfg Settings, _ time.Time) *Tracker {
	return &Tracker{
		cfg:  cfg.withDefaults(),
		rng:  rand.New(rand.NewPCG(cfg.Seed, 0x656e64706f696e74)),
		byID: make(map[string]*entry),
	}
}

// String returns the state's name as shown in lists and logs.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "sound"
	case Suspect:
		return "suspect"
	case Trial:
		return "withheld"
	case Ejected:
		return "ejected"
	default:
		return "probation"
	}
}

// String returns the reason as shown in lists and logs.
func (r reason) String() string {
	switch r {
	case failing:
		return "failing"
	case slow:
		return "slow"
	default:
		return ""
	}
}
