package crash

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// lossTTL is how long the losses of a task are known after the last one. Callers
	// submit a lost job again after seconds, and an endpoint that crashed is back after
	// seconds.
	lossTTL = time.Minute
	// maxLosses bounds the losses that are known; the oldest one goes first.
	maxLosses = 1024
	// MaxRuns is the maximum number of runs of one loss.
	MaxRuns = 64
)

// The states of a loss.
const (
	// Suspected means that the endpoint does not answer.
	Suspected State = iota
	// Proved means that the endpoint has started again.
	Proved
	// Withdrawn means that the same boot of the endpoint has answered since.
	Withdrawn
)

type (
	// State is what is known of a loss.
	State uint8

	// Run is a run that may have been under way when its endpoint was lost.
	Run struct {
		// Task is the name of the task, and Queue that of its job's queue.
		Task, Queue string
		// Started reports that the endpoint has confirmed the start of the run. Another
		// one may have never reached it.
		Started bool
	}

	// Loss is the loss of one boot of an endpoint with the runs that it had.
	Loss struct {
		Endpoint string
		Address  netip.AddrPort
		// StartedAt is when the boot started; zero if unknown.
		StartedAt time.Time
		// At is when the endpoint was given up as lost, by this instance's clock.
		At    time.Time
		State State
		Runs  []Run
		// Own reports that this instance gave the endpoint up itself.
		Own bool
	}

	// key names one boot of an endpoint. startedAtMS is in Unix milliseconds, the
	// precision of messages.
	key struct {
		endpoint    string
		startedAtMS int64
	}

	// Ledger is the account of the lost endpoints. It is not safe for concurrent
	// use.
	Ledger struct {
		losses map[key]*Loss
		// order has the keys in the order in which they were recorded.
		order []key
		// unproved are the suspected losses, in the same order.
		unproved []*Loss
		// proved is the number of proved losses.
		proved int
		// byTask has the losses of each task that are not withdrawn, in the order
		// in which they were recorded.
		byTask map[string][]*Loss
		// blamed are the tasks that were lost with several endpoints, by name.
		blamed map[string]blame
	}
)

// NewLedger returns a ledger without losses.
func NewLedger() *Ledger {
	return &Ledger{losses: map[key]*Loss{}, byTask: map[string][]*Loss{}, blamed: map[string]blame{}}
}

// String returns the state's name in snake case.
func (s State) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Proved:
		return "proved"
	case Withdrawn:
		return "withdrawn"
	}
	return "unknown"
}

func keyOf(endpoint string, startedAt time.Time) key {
	if startedAt.IsZero() {
		return key{endpoint: endpoint}
	}
	return key{endpoint, startedAt.UnixMilli()}
}

// Record adds a loss, or merges it with what is known of the same loss, and reports
// whether that has changed anything. A loss that was withdrawn stays so unless the
// endpoint was lost again later.
func (l *Ledger) Record(loss Loss) (changed bool) {
	k := keyOf(loss.Endpoint, loss.StartedAt)
	known := l.losses[k]
	if known != nil && known.State == Withdrawn && loss.State != Withdrawn && loss.At.After(known.At) {
		l.remove(k)
		known = nil
	}
	if known == nil {
		l.add(k, loss)
		return true
	}
	return l.merge(known, loss)
}

func (l *Ledger) add(k key, loss Loss) {
	if len(l.order) >= maxLosses {
		l.remove(l.order[0])
	}
	runs := loss.Runs
	loss.Runs = nil
	added := &loss
	l.losses[k] = added
	l.order = append(l.order, k)
	switch loss.State {
	case Suspected:
		l.unproved = append(l.unproved, added)
	case Proved:
		l.proved++
	}
	l.addRuns(added, runs)
	l.blameTasks(added)
}

// merge adds what another instance knows of the same loss. It ignores a withdrawal of an
// earlier loss of the same boot.
func (l *Ledger) merge(known *Loss, loss Loss) (changed bool) {
	if loss.State == Withdrawn && known.State != Withdrawn && !loss.At.After(known.At) {
		return false
	}
	changed = l.addRuns(known, loss.Runs)
	known.Own = known.Own || loss.Own
	if loss.State > known.State {
		l.setState(known, loss.State)
		changed = true
	}
	if known.State == Withdrawn && loss.At.After(known.At) {
		known.At = loss.At
	}
	if changed {
		l.blameTasks(known)
	}
	return changed
}

func (l *Ledger) addRuns(loss *Loss, runs []Run) (changed bool) {
	for _, r := range runs {
		known := slices.IndexFunc(loss.Runs, func(o Run) bool { return o.Task == r.Task })
		if known >= 0 && r.Started && !loss.Runs[known].Started {
			loss.Runs = slices.Clone(loss.Runs) // the list may be in use
			loss.Runs[known].Started = true
			changed = true
		}
		if known >= 0 || len(loss.Runs) >= MaxRuns {
			continue
		}
		loss.Runs = append(loss.Runs, r)
		if loss.State != Withdrawn {
			l.byTask[r.Task] = append(l.byTask[r.Task], loss)
		}
		changed = true
	}
	return changed
}

func (l *Ledger) setState(loss *Loss, s State) {
	if loss.State == Proved {
		l.proved--
	}
	if s == Proved {
		l.proved++
	}
	loss.State = s
	l.removeUnproved(loss)
	if s == Withdrawn {
		l.forgetRuns(loss)
	}
}

func (l *Ledger) forgetRuns(loss *Loss) {
	for _, r := range loss.Runs {
		rest := slices.DeleteFunc(l.byTask[r.Task], func(o *Loss) bool { return o == loss })
		if len(rest) == 0 {
			delete(l.byTask, r.Task)
			continue
		}
		l.byTask[r.Task] = rest
	}
}

// removeUnproved replaces the list, since it may be in use.
func (l *Ledger) removeUnproved(loss *Loss) {
	if i := slices.Index(l.unproved, loss); i >= 0 {
		l.unproved = slices.Concat(l.unproved[:i], l.unproved[i+1:])
	}
}

func (l *Ledger) remove(k key) {
	if l.losses[k].State == Proved {
		l.proved--
	}
	l.forgetRuns(l.losses[k])
	l.removeUnproved(l.losses[k])
	delete(l.losses, k)
	l.order = slices.DeleteFunc(l.order, func(o key) bool { return o == k })
}

// ObserveAnswer handles an answer of a boot of an endpoint to an order that was sent
// at the given time. It returns the losses whose state has changed.
func (l *Ledger) ObserveAnswer(now, sent time.Time, endpoint string, address netip.AddrPort, startedAt time.Time) []Loss {
	if len(l.losses) == 0 {
		return nil
	}
	changed := l.ObserveBoot(endpoint, address, startedAt)
	if loss := l.losses[keyOf(endpoint, startedAt)]; loss != nil && loss.State == Suspected && sent.After(loss.At) {
		l.setState(loss, Withdrawn)
		loss.At = now
		changed = append(changed, *loss)
	}
	return changed
}

// ObserveBoot handles the knowledge that an endpoint has a boot at an address, as
// listed or as it answers. A later boot of the same endpoint, or of another one at
// the same address, proves that the lost one is over. It returns the losses whose
// state has changed.
func (l *Ledger) ObserveBoot(endpoint string, address netip.AddrPort, startedAt time.Time) (changed []Loss) {
	if startedAt.IsZero() {
		return nil
	}
	for _, loss := range l.unproved {
		same := loss.Endpoint == endpoint || loss.Address == address
		if !same || loss.StartedAt.IsZero() || startedAt.UnixMilli() <= loss.StartedAt.UnixMilli() {
			continue
		}
		l.setState(loss, Proved)
		l.blameTasks(loss)
		changed = append(changed, *loss)
	}
	return changed
}

// ObserveLeaving handles the knowledge that a boot of an endpoint was announced to leave,
// which its holder did not know when it gave the endpoint up. Its end says nothing about
// its tasks. It returns the loss if that has changed it.
func (l *Ledger) ObserveLeaving(now time.Time, endpoint string, startedAt time.Time) (changed []Loss) {
	loss := l.losses[keyOf(endpoint, startedAt)]
	if loss == nil || loss.State == Withdrawn {
		return nil
	}
	l.setState(loss, Withdrawn)
	loss.At = now
	return []Loss{*loss}
}

// AwaitsProof reports whether there are losses that are neither proved nor withdrawn.
func (l *Ledger) AwaitsProof() bool { return len(l.unproved) > 0 }

// Expire forgets the losses that are older than lossTTL, with all of their tasks' others.
func (l *Ledger) Expire(now time.Time) {
	for _, k := range slices.Clone(l.order) {
		if loss := l.losses[k]; now.Sub(loss.At) > lossTTL && !l.hasLaterLoss(now, loss) {
			l.remove(k)
		}
	}
	maps.DeleteFunc(l.blamed, func(_ string, b blame) bool { return now.Sub(b.at) > blameTTL })
}

// hasLaterLoss reports whether a task of the loss has another one that is not older than
// lossTTL.
func (l *Ledger) hasLaterLoss(now time.Time, loss *Loss) bool {
	return slices.ContainsFunc(loss.Runs, func(r Run) bool {
		return slices.ContainsFunc(l.byTask[r.Task], func(o *Loss) bool { return now.Sub(o.At) <= lossTTL })
	})
}

// Losses returns the losses in the order in which they were recorded.
func (l *Ledger) Losses() []Loss {
	list := make([]Loss, 0, len(l.order))
	for _, k := range l.order {
		list = append(list, *l.losses[k])
	}
	return list
}
