package pool

import (
	"fmt"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

const (
	// holdingsPeriod is the minimum time between two lines about claims and
	// releases, so that an instance with hundreds of endpoints writes few lines
	// when it starts or stops.
	holdingsPeriod = 500 * time.Millisecond
	// maxLoggedIDs is the maximum number of endpoints that such a line names.
	maxLoggedIDs = 16
	// minLoggedBackoffs is the number of backoffs in a row for which an endpoint
	// is logged as ejected. A single one is frequent under load.
	minLoggedBackoffs = 3
	// minLoggedRefusals is the corresponding number of refused starts.
	minLoggedRefusals = 5
)

// holdings are the endpoints claimed and released since the last lines about
// them, by ID.
type holdings struct {
	claimed, claimedRemote, released []string
	loggedAt                         time.Time
}

// addClaim records a claim by an instance of a data centre. While an endpoint is
// unresponsive, only its first claim is logged.
func (h *holdings) addClaim(e *endpointState, dataCentre string) {
	switch {
	case !e.unresponsiveSince.IsZero():
	case e.info.DataCentre == dataCentre:
		h.claimed = append(h.claimed, e.info.ID)
	default:
		h.claimedRemote = append(h.claimedRemote, e.info.ID)
	}
}

// addRelease records the release of an endpoint to another instance.
func (h *holdings) addRelease(e *endpointState) { h.released = append(h.released, e.info.ID) }

// logHoldings logs the claims and releases since the last time, at most once in
// holdingsPeriod unless a planned stop has released everything.
func (m *Machine) logHoldings(now time.Time, out *Output) {
	h := &m.holdings
	if len(h.claimed)+len(h.claimedRemote)+len(h.released) == 0 {
		return
	}
	if now.Sub(h.loggedAt) < holdingsPeriod && !(m.draining && len(m.held) == 0) {
		return
	}
	members := fmt.Sprintf("; %d peers connected", len(m.sortedPeers))
	logEndpoints(event.EndpointsClaimed, h.claimed, "of this data centre"+members, out)
	logEndpoints(event.EndpointsClaimed, h.claimedRemote, "no instance of their data centre is reachable"+members, out)
	reason := "another instance should hold them"
	if m.draining {
		reason = "this instance stops"
	}
	logEndpoints(event.EndpointsReleased, h.released, reason+members, out)
	*h = holdings{loggedAt: now}
}

// logEndpoints logs an event about several endpoints in one line, if there are
// any.
func logEndpoints(k event.Kind, ids []string, reason string, out *Output) {
	switch {
	case len(ids) == 0:
	case len(ids) == 1:
		out.log(k, ids[0], reason)
	case len(ids) <= maxLoggedIDs:
		out.log(k, fmt.Sprintf("%d endpoints", len(ids)), strings.Join(ids, ",")+"; "+reason)
	default:
		out.log(k, fmt.Sprintf("%d endpoints", len(ids)), strings.Join(ids[:maxLoggedIDs], ",")+",...; "+reason)
	}
}

// logListedChange logs that a held endpoint is released because its entry in the
// platform's list has changed.
func (e *endpointState) logListedChange(reason string, out *Output) {
	if e.isHeld() {
		out.log(event.EndpointsReleased, e.info.ID, reason)
	}
}

// logUnresponsive logs that an endpoint does not answer, unless that was logged
// and it has not answered since.
func (m *Machine) logUnresponsive(now time.Time, e *endpointState, out *Output) {
	if !e.unresponsiveSince.IsZero() {
		return
	}
	e.unresponsiveSince = e.unansweredSince
	if e.info.Draining {
		e.logLeft(out)
		return
	}
	out.log(event.EndpointUnresponsive, e.info.ID, fmt.Sprintf("no answer for %s, longer than its lease; %d runs count as ended", milliseconds(now.Sub(e.unansweredSince)), len(e.runs)))
}

// logAnswersAgain logs that an unresponsive endpoint answers again.
func (e *endpointState) logAnswersAgain(now time.Time, out *Output) {
	if e.unresponsiveSince.IsZero() {
		return
	}
	out.log(event.EndpointAnswers, e.info.ID, "last answer "+milliseconds(now.Sub(e.unresponsiveSince)).String()+" ago")
	e.unresponsiveSince = time.Time{}
}

// logHealth logs that an endpoint got several backoffs or refused several starts in
// a row without a successful run, and the first successful run after that.
func (e *endpointState) logHealth(now time.Time, out *Output) {
	h := &e.health
	switch {
	case !e.loggedEjection && (h.backoffs >= minLoggedBackoffs || h.refusals >= minLoggedRefusals):
		e.loggedEjection = true
		out.log(event.EndpointEjected, e.info.ID, fmt.Sprintf("no work for %s after %d backoffs in a row; %d refused and %d unanswered starts in a row, speed %.2f",
			milliseconds(max(h.backoffUntil.Sub(now), 0)), h.backoffs, h.refusals, h.unanswered, e.speed))
	case e.loggedEjection && h.backoffs == 0 && h.refusals == 0:
		e.loggedEjection = false
		out.log(event.EndpointReadmitted, e.info.ID, "a run was successful")
	}
}

// describeProgress returns what decided that a run counts as stalled.
func (r *heldRun) describeProgress(now time.Time, endpoint string) string {
	return fmt.Sprintf("run %d on endpoint %s: %.0f %% after %s of an estimated %s, no progress for %s", r.ref.Number, endpoint, r.progress.percent,
		milliseconds(now.Sub(r.startedAt)), milliseconds(r.estimate), milliseconds(now.Sub(later(r.startedAt, r.progress.increasedAt))))
}
