package pool

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
)

// heldAt returns an active endpoint of the given speed that the instance holds.
func (sim *simulation) heldAt(n *fakeInstance, speed float64) *endpointState {
	for _, e := range n.machine.held {
		if e.active && math.Abs(1/sim.byID[e.info.ID].slowdown-speed) < 0.01 {
			return e
		}
	}
	sim.t.Fatalf("%s holds no endpoint of speed %.1f", n.self.ID, speed)
	return nil
}

// TestHolderChangeKeepsProfile lets an instance lose its endpoints. Whoever holds
// the slow ones next must know that they are slow before it has run anything there.
func TestHolderChangeKeepsProfile(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		lose func(sim *simulation, n *fakeInstance)
	}{
		{"a planned stop", func(sim *simulation, n *fakeInstance) {
			sim.input(n, func(m *Machine, out *Output) { m.BeginStop(sim.now, sim.now.Add(5*time.Second), out) })
		}},
		{"a killed process", func(sim *simulation, n *fakeInstance) { sim.kill(n.index, false) }},
		{"a loss of power", func(sim *simulation, n *fakeInstance) { sim.kill(n.index, true) }},
		{"a quick restart", func(sim *simulation, n *fakeInstance) {
			sim.kill(n.index, false)
			sim.after(100*time.Millisecond, func() { sim.startInstance(n.index) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSpeedFleet(t, 1, 0)
			sim.generateMixedLoad(20*time.Second, 0.8)
			sim.advance(22 * time.Second)
			n := sim.instances[0]
			slow, fast := sim.heldAt(n, 0.6).info.ID, sim.heldAt(n, 1.6).info.ID
			tt.lose(sim, n)
			sim.advance(6 * time.Second)
			found := 0
			for _, o := range sim.instances {
				if !o.alive {
					continue
				}
				for _, e := range o.machine.held {
					switch e.info.ID {
					case slow:
						t.Logf("%s knows the speed %.2f of the slow one", o.self.ID, e.speed)
						is.True(e.speed < 0.8)
						found++
					case fast:
						t.Logf("%s knows the speed %.2f of the fast one", o.self.ID, e.speed)
						is.True(e.speed > 1.25)
						found++
					}
				}
			}
			is.Equal(found, 2)
		})
	}
}

// TestOddProfiles sends profiles that must change nothing: a peer may report
// another boot of an endpoint, one that is unknown here, or wrong numbers.
func TestOddProfiles(t *testing.T) {
	t.Parallel()
	sim := startSimulation(t, 1, 4, 8)
	var from, to *fakeInstance
	for _, n := range sim.instances {
		switch {
		case n.self.DataCentre != sim.dataCentre(0):
		case from == nil:
			from = n
		default:
			to = n
		}
	}
	e := from.machine.held[0]
	valid := message.EndpointProfile{ID: e.info.ID, StartedAt: e.info.StartedAt, Speed: 0.5, Samples: 32, FailedShare: 0.5, Outcomes: 16, EjectedFor: time.Second}
	with := func(change func(p *message.EndpointProfile)) message.EndpointProfile {
		p := valid
		change(&p)
		return p
	}
	tests := []struct {
		name    string
		profile message.EndpointProfile
		known   bool
	}{
		{"valid", valid, true},
		{"another boot", with(func(p *message.EndpointProfile) { p.StartedAt = p.StartedAt.Add(-time.Second) }), false},
		{"no boot", with(func(p *message.EndpointProfile) { p.StartedAt = time.Time{} }), false},
		{"a boot in the future", with(func(p *message.EndpointProfile) { p.StartedAt = sim.now.Add(time.Hour) }), false},
		{"an unknown endpoint", with(func(p *message.EndpointProfile) { p.ID = "unknown" }), false},
		{"no speed", with(func(p *message.EndpointProfile) { p.Speed = 0 }), false},
		{"an infinite speed", with(func(p *message.EndpointProfile) { p.Speed = math.Inf(1) }), false},
		{"not a number", with(func(p *message.EndpointProfile) { p.Speed = math.NaN() }), false},
		{"a negative number of samples", with(func(p *message.EndpointProfile) { p.Samples = -1 }), false},
		{"a share above one", with(func(p *message.EndpointProfile) { p.FailedShare = 1.5 }), false},
		{"a share that is not a number", with(func(p *message.EndpointProfile) { p.FailedShare = math.NaN() }), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := to.machine
			m.profiles = newProfilesState(sim.now)
			m.Receive(sim.now, message.Message{From: from.self.Ref, To: to.self.Ref, Body: message.Profiles{Endpoints: []message.EndpointProfile{tt.profile}}}, &Output{})
			p := m.profiles.of(sim.now, e.info)
			is.Equal(p.Samples > 0, tt.known)
			if tt.known {
				is.Equal(p.Speed, 0.5)
				is.Equal(p.EjectedFor, time.Second)
				later := m.profiles.of(sim.now.Add(11*time.Second), e.info)
				is.Equal(later.Outcomes, 0)                                                                     // failures are forgotten soon
				is.Equal(later.EjectedFor, time.Duration(0))                                                    // the ejection is over
				is.Equal(later.Speed, 0.5)                                                                      // the speed is not
				is.Equal(m.profiles.of(sim.now.Add(profileTTL+time.Second), e.info), message.EndpointProfile{}) // in the end it is
			}
		})
	}
}

// TestLongEjectionReported checks that a peer can't keep an endpoint from work for
// longer than an own ejection lasts.
func TestLongEjectionReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 28)
	n := sim.instances[0]
	e := n.machine.held[0]
	n.machine.profiles.store(sim.now, message.EndpointProfile{ID: e.info.ID, StartedAt: e.info.StartedAt, Speed: 1, Samples: 32, FailedShare: 1, Outcomes: 16, EjectedFor: time.Hour})
	sim.input(n, func(m *Machine, out *Output) { m.judgeActivated(sim.now, e, out) })
	is.Equal(e.usableSlots, 0)
	sim.advance(maxEjectionBackoff + tickPeriod)
	is.Equal(e.usableSlots, 1) // on probation
}

// TestAllEndpointsFailAtOnce lets all runs fail for a while, as when something that
// all endpoints need is lost. At most half of the endpoints may be without work at
// any time, and all of them must have it back soon after.
func TestAllEndpointsFailAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 4, 28)
	tallies := sim.generateMixedLoad(20*time.Second, 0.6)
	sim.advance(3 * time.Second)
	for _, e := range sim.endpoints {
		e.fails = true
	}
	without := func() (n int) {
		for _, i := range sim.instances {
			for _, e := range i.machine.held {
				if e.active && e.usableSlots == 0 {
					n++
				}
			}
		}
		return n
	}
	most := 0
	for range 300 {
		sim.advance(10 * time.Millisecond)
		most = max(most, without())
	}
	for _, e := range sim.endpoints {
		e.fails = false
	}
	sim.advance(maxEjectionBackoff + 2*time.Second)
	t.Logf("at most %d endpoints without work, %d in the end; %d ejections withheld", most, without(), len(sim.logged(event.EjectionWithheld, "")))
	is.True(most <= 14)
	is.Equal(without(), 0)
	sim.advance(12 * time.Second)
	logTallies(t, tallies)
}

// TestProfileMessages checks that messages with profiles take at most
// profileCPUShare of each instance's processor, at messageCost each, and that they
// are small.
func TestProfileMessages(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{8, 30} {
		sim := startSimulation(t, 1, instances, 8*instances)
		sim.generateMixedLoad(20*time.Second, 0.7)
		sim.advance(20 * time.Second)
		for _, n := range sim.instances {
			m := n.machine
			allowed := profileCPUShare * n.self.Size() * 22
			if used := time.Duration(m.profiles.sentMessages) * messageCost; used.Seconds() > allowed {
				t.Errorf("%s sent %d messages", n.self.ID, m.profiles.sentMessages)
			}
		}
		t.Logf("%d instances: %d messages each in 22 s", instances, sim.instances[0].machine.profiles.sentMessages)
	}
}

// TestQueueProfilesAreBounded checks that a message has few queues, and none whose
// name a peer would refuse.
func TestQueueProfilesAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := startSimulation(t, 1, 2, 8)
	m := sim.instances[0].machine
	id := m.held[0].info.ID
	for i := range 2 * maxQueueProfiles {
		for range 10 + i {
			m.judge.speeds.Observe(id, strings.Repeat("q", 3*i+1), time.Millisecond, time.Millisecond)
		}
	}
	list := m.queueProfiles()
	is.Equal(len(list), maxQueueProfiles)
	for _, q := range list {
		is.True(len(q.Queue) <= maxQueueName)
	}
}
