package sharing

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
	"github.com/lovagecrank/lovagecrank/instance"
)

const (
	// Timeout is how long a holder keeps a share of which it serves nothing before
	// others get it. A holder of a few slots may have none free for that long.
	Timeout = 100 * time.Millisecond
	// passOverTime is how long others come before a holder that served nothing in
	// Timeout, or whose offer was of no use: several round trips.
	passOverTime = 25 * time.Millisecond
	// slotsPerTask is how many slots the holders that share a task should have
	// together, so that one of them becomes free within a few milliseconds.
	slotsPerTask = 40
	// shareSteps is in how many steps the shares of a holder are compared with
	// its slots. Within a step, holders take turns.
	shareSteps = 4
)

type (
	// Kind is a kind of waiting tasks.
	Kind struct {
		Service string
		// Priority is that of the tasks' queue; 0 is the most urgent.
		Priority int
		// Late means that the tasks are less urgent than all that are not.
		Late bool
	}

	// Receiver is a holder that may get shares.
	Receiver struct {
		Ref instance.Ref
		// Slots is the number of its slots, at least one.
		Slots int
	}

	// Shares divides the waiting tasks of one home among the holders, so that
	// the holders' offers add up to what waits.
	Shares struct {
		home string
		// open are the shares that holders have and have not offered for, and
		// turns whose turn it is to get one.
		open  map[Kind]map[instance.Ref]*share
		turns map[turnKey]*turn
	}

	share struct {
		tasks int
		// since is when the holder got the share or last served a part of it.
		since time.Time
		// known is the share that the holder knows.
		known int
	}

	turnKey struct {
		service string
		ref     instance.Ref
	}

	// turn is a holder's place in the order in which holders get shares.
	turn struct {
		// next rises with each task shared with the holder, by one over its
		// slots; the holder with the lowest one is next.
		next float64
		// passedOverUntil is until when the others come first.
		passedOverUntil time.Time
	}
)

// Compare orders the kinds of one service by urgency, the most urgent first.
func (k Kind) Compare(o Kind) int {
	return cmp.Or(cmp.Compare(ordinal(k.Late), ordinal(o.Late)), cmp.Compare(k.Priority, o.Priority))
}

// ordinal orders false before true.
func ordinal(b bool) int {
	if b {
		return 1
	}
	return 0
}

// New returns the shares of the home with that ID, which has no waiting tasks.
func New(home string) *Shares {
	return &Shares{home: home, open: map[Kind]map[instance.Ref]*share{}, turns: map[turnKey]*turn{}}
}

// HoldersPerTask returns with how many of the receivers each task should be shared. If
// it were one, tasks would wait for the slots of a few holders while others start less
// urgent ones. Each further one costs offers that are of no use.
func HoldersPerTask(receivers []Receiver) int {
	slots := 0
	for _, r := range receivers {
		slots += r.Slots
	}
	if slots == 0 {
		return 1
	}
	mean := float64(slots) / float64(len(receivers))
	return min(max(int(math.Round(slotsPerTask/mean)), 1), len(receivers))
}

// Divide makes the shares of a kind of waiting tasks add up to a number of tasks, as
// far as there are receivers. A task that several holders share counts once for each.
func (s *Shares) Divide(now time.Time, k Kind, tasks int, receivers []Receiver) {
	open := s.open[k]
	if open == nil {
		if tasks == 0 || len(receivers) == 0 {
			return
		}
		open = map[instance.Ref]*share{}
		s.open[k] = open
	}
	s.addTurns(k.Service, receivers)
	s.removeMissing(k, receivers)
	s.expire(now, k, receivers)
	sum := 0
	for _, o := range open {
		sum += o.tasks
	}
	for ; sum > tasks; sum-- {
		s.take(k, receivers)
	}
	for ; sum < tasks && len(receivers) > 0; sum++ {
		s.give(now, k, receivers)
	}
}

// removeMissing takes back the shares of holders that are no longer Receivers.
func (s *Shares) removeMissing(k Kind, receivers []Receiver) {
	for ref, o := range s.open[k] {
		if !slices.ContainsFunc(receivers, func(r Receiver) bool { return r.Ref == ref }) {
			o.tasks = 0
		}
	}
}

// expire takes back the shares of which nothing was served for too long, if
// another Receiver can get them.
func (s *Shares) expire(now time.Time, k Kind, receivers []Receiver) {
	if len(receivers) < 2 {
		return
	}
	for _, r := range receivers {
		o := s.open[k][r.Ref]
		if o == nil || o.tasks == 0 || now.Sub(o.since) < Timeout {
			continue
		}
		o.tasks = 0
		s.turn(k.Service, r).passedOverUntil = now.Add(passOverTime)
	}
}

// give shares one more task with the receiver that is next.
func (s *Shares) give(now time.Time, k Kind, receivers []Receiver) {
	best := slices.MinFunc(receivers, func(a, b Receiver) int {
		x, y := s.turn(k.Service, a), s.turn(k.Service, b)
		return cmp.Or(
			cmp.Compare(ordinal(now.Before(x.passedOverUntil)), ordinal(now.Before(y.passedOverUntil))),
			cmp.Compare(s.level(k, a), s.level(k, b)),
			cmp.Compare(x.next, y.next),
			cmp.Compare(a.Ref.ID, b.Ref.ID),
		)
	})
	s.turn(k.Service, best).next += 1 / float64(best.Slots)
	o := s.open[k][best.Ref]
	if o == nil {
		o = &share{}
		s.open[k][best.Ref] = o
	}
	if o.tasks == 0 {
		o.since = now
	}
	o.tasks++
}

// take takes back one task from the receiver with the highest level, the one that
// got the last share first.
func (s *Shares) take(k Kind, receivers []Receiver) {
	var worst *share
	var of Receiver
	for _, r := range receivers {
		o := s.open[k][r.Ref]
		if o == nil || o.tasks == 0 {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(s.level(k, r), s.level(k, of)), o.since.Compare(worst.since)) > 0 {
			worst, of = o, r
		}
	}
	worst.tasks--
}

// level returns in steps how much of a receiver's slots its shares take up.
func (s *Shares) level(k Kind, r Receiver) int {
	o := s.open[k][r.Ref]
	if o == nil {
		return 0
	}
	return shareSteps * o.tasks / r.Slots
}

// unsent reports whether the holder must hear of its share: it may offer for more tasks
// than it knows, or for none. A smaller share saves it at most one offer of no use.
func (o *share) unsent() bool { return o.tasks > o.known || o.tasks == 0 && o.known > 0 }

func (s *Shares) turn(service string, r Receiver) *turn { return s.turns[turnKey{service, r.Ref}] }

// addTurns adds the turns of new receivers. The first turns depend on the home, so
// that homes with few tasks ask different holders; a receiver that comes later is
// among the next.
func (s *Shares) addTurns(service string, receivers []Receiver) {
	lowest, missing := math.Inf(1), false
	for _, r := range receivers {
		if t := s.turn(service, r); t != nil {
			lowest = min(lowest, t.next)
		} else {
			missing = true
		}
	}
	if !missing {
		return
	}
	if math.IsInf(lowest, 1) {
		lowest = 0
	}
	for _, r := range receivers {
		if k := (turnKey{service, r.Ref}); s.turns[k] == nil {
			s.turns[k] = &turn{next: lowest + admission.HashFraction(s.home+"\x00"+r.Ref.ID)/float64(r.Slots)}
		}
	}
}

// OfferedKind returns the kind of tasks for which a holder makes its next offer: the most
// urgent of which it knows a share. ok is false if it knows none.
func (s *Shares) OfferedKind(service string, ref instance.Ref) (k Kind, ok bool) {
	k, o := s.mostUrgent(service, ref, func(o *share) int { return o.known })
	return k, o != nil
}

// mostUrgent returns the most urgent share of a holder that has tasks, as counted by the
// given function; nil if there is none.
func (s *Shares) mostUrgent(service string, ref instance.Ref, tasks func(*share) int) (of Kind, at *share) {
	for k, shares := range s.open {
		if o := shares[ref]; k.Service == service && o != nil && tasks(o) > 0 && (at == nil || k.Compare(of) < 0) {
			of, at = k, o
		}
	}
	return of, at
}

// Offered counts an offer of a holder, which may have been of use or not. It
// stands for the most urgent task that the holder has a share of.
func (s *Shares) Offered(now time.Time, service string, ref instance.Ref, useful bool) {
	t := s.turns[turnKey{service, ref}]
	if t != nil && useful {
		t.passedOverUntil = time.Time{}
	}
	_, at := s.mostUrgent(service, ref, func(o *share) int { return o.tasks })
	if at == nil {
		return
	}
	at.since = now
	if useful {
		at.tasks--
		at.known = max(at.known-1, 0) // the holder has counted it too
		return
	}
	at.tasks, at.known = 0, 0 // the holder forgets it with the answer
	if t != nil {
		t.passedOverUntil = now.Add(passOverTime) // its slots do not fit what waits
	}
}

// Remove forgets a lost holder.
func (s *Shares) Remove(ref instance.Ref) {
	for _, shares := range s.open {
		delete(shares, ref)
	}
	for k := range s.turns {
		if k.ref == ref {
			delete(s.turns, k)
		}
	}
}

// Of returns a holder's share of a kind of waiting tasks.
func (s *Shares) Of(k Kind, ref instance.Ref) int {
	if o := s.open[k][ref]; o != nil {
		return o.tasks
	}
	return 0
}

// Unsent reports whether a holder has a share that it does not know.
func (s *Shares) Unsent(ref instance.Ref) bool {
	for _, shares := range s.open {
		if o := shares[ref]; o != nil && o.unsent() {
			return true
		}
	}
	return false
}

// Sent records that a holder has been sent its shares.
func (s *Shares) Sent(ref instance.Ref) {
	for _, shares := range s.open {
		if o := shares[ref]; o != nil {
			o.known = o.tasks
		}
	}
}

// NextTimeout returns when the next share expires; zero if there is none. Shares
// that have expired already stay while there is nobody else to get them.
func (s *Shares) NextTimeout(now time.Time) time.Time {
	var next time.Time
	for _, shares := range s.open {
		for _, o := range shares {
			if due := o.since.Add(Timeout); o.tasks > 0 && due.After(now) && (next.IsZero() || due.Before(next)) {
				next = due
			}
		}
	}
	return next
}

// Kinds returns the kinds of which holders may have shares, in no particular order.
func (s *Shares) Kinds() iter.Seq[Kind] { return maps.Keys(s.open) }
