package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/sharing"
)

// sharedTasks is an installation with busy slots in which an urgent job waits at
// the first instance and its tasks are shared with the others.
type sharedTasks struct {
	*simulation
	job  *callerJob
	goal time.Time
}

// startSharedTasks starts an installation of four instances and 32 slots. The slots
// become free one after another, two each 20 ms, from 9 ms after the shares
// are known.
func startSharedTasks(t testing.TB, change func(sim *simulation)) *sharedTasks {
	sim := newFleet(t, 1, 1, 4, 16)
	sim.advance(2 * time.Second)
	for i := range 16 {
		sim.after(time.Duration(i)*20*time.Millisecond, func() { sim.submit(i%4, routine, 4*time.Second, step(2, 330*time.Millisecond)) })
	}
	sim.advance(314 * time.Millisecond)
	if change != nil {
		change(sim)
	}
	s := &sharedTasks{simulation: sim, goal: sim.now.Add(urgent.Goal(60 * time.Millisecond))}
	s.job = sim.submit(0, urgent, 2*time.Second, step(6, 60*time.Millisecond))
	sim.advance(9 * time.Millisecond) // the shares are known
	return s
}

// holder returns an instance that has a share of the job's tasks.
func (s *sharedTasks) holder() int {
	for i, n := range s.instances {
		if s.instances[0].machine.shares.Of(sharing.Kind{Service: "s"}, n.self.Ref) > 0 {
			return i
		}
	}
	s.t.Fatal("no instance has a share")
	return 0
}

// knownShares returns the sum of the shares of the first instance's urgent tasks
// that the others know.
func (s *sharedTasks) knownShares() int {
	n := 0
	for _, o := range s.instances[1:] {
		if p := o.machine.peers[s.instances[0].self.Ref]; p != nil {
			if c := p.capacity("s"); c != nil {
				if w := waitingTasks(c.Backlog, sharing.Kind{Service: "s"}); w != nil {
					n += max(w.Share, 0)
				}
			}
		}
	}
	return n
}

// waiting returns how many of the job's tasks wait.
func (s *sharedTasks) waiting() int {
	n := 0
	for _, j := range s.instances[0].machine.queue {
		if j.ID == s.job.job.ID {
			n += len(j.waiting)
		}
	}
	return n
}

// checkInGoal checks that the job ends within its goal.
func (s *sharedTasks) checkInGoal() {
	s.t.Helper()
	s.advance(s.goal.Sub(s.now))
	if len(s.job.answers) != 1 || s.job.answers[0] != nil {
		s.t.Errorf("the job has the answers %v at its goal; %d tasks wait", s.job.answers, s.waiting())
	}
}

// checkNoOffers checks that no slot is reserved any more.
func (s *sharedTasks) checkNoOffers() {
	s.t.Helper()
	for _, n := range s.instances {
		if !n.alive {
			continue
		}
		reserved := 0
		for _, e := range n.machine.held {
			reserved += e.reserved
		}
		if len(n.machine.offers)+reserved > 0 {
			s.t.Errorf("%s has %d offers and %d reserved slots", n.self.ID, len(n.machine.offers), reserved)
		}
	}
}

// TestHolderFailsWithShare breaks a holder after it has got a share of an urgent
// job. The job must end within its goal, since its share goes to others.
func TestHolderFailsWithShare(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		fail func(s *sharedTasks, holder int)
	}{
		{"none", func(*sharedTasks, int) {}},
		{"lost", func(s *sharedTasks, holder int) { s.kill(holder, false) }},
		{"lost by power loss", func(s *sharedTasks, holder int) { s.kill(holder, true) }},
		{"suspended", func(s *sharedTasks, holder int) { s.suspend(holder, 400*time.Millisecond) }},
		{"cut off from the home", func(s *sharedTasks, holder int) { s.partitionInstances(0, holder, 2*time.Second) }},
		{"cut off from its endpoints", func(s *sharedTasks, holder int) {
			for i := range s.endpoints {
				s.partitionEndpoint(holder, i, 300*time.Millisecond)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSharedTasks(t, nil)
			tt.fail(s, s.holder())
			s.checkInGoal()
			if s.offerCounts().Taken == 0 {
				t.Error("no offer was of use")
			}
			s.advance(3 * time.Second)
			s.checkNoOffers()
		})
	}
}

// TestHomeLostAfterSharing kills a home whose tasks are shared. The holders must
// reserve nothing for it any more once its stream has ended.
func TestHomeLostAfterSharing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSharedTasks(t, nil)
	s.kill(0, false)
	s.advance(time.Millisecond)
	is.Equal(s.knownShares(), 0)
	before := s.offerCounts().Sent
	s.advance(time.Second)
	is.Equal(s.offerCounts().Sent, before) // nobody else's tasks wait
	s.checkNoOffers()
}

// TestReportLostWithStream ends the stream with a holder while a report with its
// share is on the way. The holder knows no share until the next stream, and then
// the one that the home counts.
func TestReportLostWithStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSharedTasks(t, nil)
	h := s.instances[s.holder()]
	home := s.instances[0]
	is.Equal(s.knownShares(), s.waiting())
	s.disconnect(home, h)
	s.advance(2 * time.Millisecond)
	is.Equal(home.machine.shares.Of(sharing.Kind{Service: "s"}, h.self.Ref), 0)
	s.connect(home, h)
	p := h.machine.peers[home.self.Ref]
	for _, c := range p.capacities { // those of the earlier stream
		for _, w := range c.Backlog {
			is.Equal(w.Share, 0)
		}
	}
	s.checkInGoal()
	s.advance(3 * time.Second)
	s.checkNoOffers()
}

// TestOfferAnsweredAfterExpiry delays all answers to offers beyond their time. Each
// start still finds a free slot or is answered as not run, and no slot stays
// reserved. Offers expired only with the next tick, up to 50 ms late.
func TestOfferAnsweredAfterExpiry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSharedTasks(t, func(sim *simulation) {
		sim.onMessage = func(msg *message.Message) time.Duration {
			switch b := msg.Body.(type) {
			case message.StartRun:
				if b.Offer != 0 {
					return 2 * offerTTL
				}
			case message.Decline:
				return 2 * offerTTL
			}
			return 0
		}
	})
	s.advance(2 * time.Second)
	is.Equal(len(s.job.answers), 1)
	is.True(s.job.answers[0] == nil)
	is.True(s.offerCounts().Expired > 0)
	s.checkNoOffers()
}

// changeShares changes the shares in the reports that pass between two instances.
func changeShares(from, to int, change func(w *message.WaitingTasks)) func(sim *simulation) {
	return func(sim *simulation) {
		sim.onMessage = func(msg *message.Message) time.Duration {
			f, ok := msg.Body.(message.FreeSlots)
			if !ok || from >= 0 && msg.From != sim.instances[from].self.Ref || to >= 0 && msg.To != sim.instances[to].self.Ref {
				return 0
			}
			for _, c := range f.Capacities {
				for k := range c.Backlog {
					change(&c.Backlog[k])
				}
			}
			return 0
		}
	}
}

// TestPeerOfFormerRelease checks that tasks are served within their goal beside an
// instance that reports no shares, or that ignores them.
func TestPeerOfFormerRelease(t *testing.T) {
	t.Parallel()
	undivided := func(w *message.WaitingTasks) { w.Share = w.Tasks }
	tests := []struct {
		name     string
		from, to int // -1 for all
	}{
		{"the home", 0, -1},
		{"a holder", -1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSharedTasks(t, changeShares(tt.from, tt.to, undivided))
			s.checkInGoal()
			s.advance(3 * time.Second)
			s.checkNoOffers()
		})
	}
}

// TestShareLargerThanTasks checks that a share in a report that is larger than the
// number of tasks counts as that number.
func TestShareLargerThanTasks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSharedTasks(t, changeShares(0, -1, func(w *message.WaitingTasks) { w.Share = 1 << 30 }))
	shared := 0
	for _, o := range s.instances[1:] {
		for _, c := range o.machine.peers[s.instances[0].self.Ref].capacities {
			for _, w := range c.Backlog {
				is.True(w.Share <= w.Tasks)
				shared += w.Share
			}
		}
	}
	is.True(shared > 0)
	s.checkInGoal()
	s.advance(3 * time.Second)
	s.checkNoOffers()
}

// TestOfferForMoreUrgentTasks guards against a slot that a holder offers for urgent tasks
// and that a home uses for a long run, while the holder knows of urgent tasks elsewhere.
func TestOfferForMoreUrgentTasks(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		known    sharing.Kind // of which the holder knows a share
		declined bool
	}{
		{"offered for the waiting tasks", sharing.Kind{Service: "s", Priority: 0}, false},
		{"offered for less urgent ones", sharing.Kind{Service: "s", Priority: 1}, false},
		{"offered for more urgent ones", sharing.Kind{Service: "s", Priority: -1}, true},
		{"the holder knows no share", sharing.Kind{Service: "other"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startSharedTasks(t, nil)
			m, h := s.instances[0].machine, s.instances[s.holder()].self.Ref
			m.shares = sharing.New(m.cfg.Self.ID)
			m.shares.Divide(s.now, tt.known, 1, []sharing.Receiver{{Ref: h, Slots: 8}})
			m.shares.Sent(h)
			var out Output
			m.handleOffer(s.now, m.peers[h], message.Offer{Number: 1, Service: "s", Needs: needs(16)}, &out)
			is.Equal(len(out.Messages), 1)
			_, declined := out.Messages[0].Body.(message.Decline)
			is.Equal(declined, tt.declined)
		})
	}
}
