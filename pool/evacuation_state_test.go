package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// TestAdoptEvacuations tests which set of evacuations is in force after a read or
// a peer's report.
func TestAdoptEvacuations(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name            string
		known, reported message.Evacuations
		want            message.Evacuations
		changed         bool
	}{
		{"the first", message.Evacuations{}, message.Evacuations{Version: 3}, message.Evacuations{Version: 3}, true},
		{"unknown to a peer", message.Evacuations{Version: 3, DataCentres: []string{"a"}}, message.Evacuations{}, message.Evacuations{Version: 3, DataCentres: []string{"a"}}, false},
		{"a later one", message.Evacuations{Version: 3, DataCentres: []string{"a"}}, message.Evacuations{Version: 4}, message.Evacuations{Version: 4}, true},
		{"a later version without a change", message.Evacuations{Version: 3, DataCentres: []string{"a"}}, message.Evacuations{Version: 4, DataCentres: []string{"a"}}, message.Evacuations{Version: 4, DataCentres: []string{"a"}}, false},
		{"an earlier one", message.Evacuations{Version: 3}, message.Evacuations{Version: 2, DataCentres: []string{"a"}}, message.Evacuations{Version: 3}, false},
		{"without order", message.Evacuations{Version: 3}, message.Evacuations{Version: 4, DataCentres: []string{"b", "", "a", "b"}}, message.Evacuations{Version: 4, DataCentres: []string{"a", "b"}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := evacuations{inForce: tt.known}
			is.Equal(v.adopt(tt.reported), tt.changed)
			is.Equal(v.inForce.Version, tt.want.Version)
			is.Equal(len(v.inForce.DataCentres), len(tt.want.DataCentres))
			for i, dc := range tt.want.DataCentres {
				is.Equal(v.inForce.DataCentres[i], dc)
			}
		})
	}
}

// TestOldEvacuationsAreAnswered sends a peer that reports an older set the one in
// force, once, and nothing to a peer that has the same set or knows none.
func TestOldEvacuationsAreAnswered(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		reported message.Evacuations
		answered bool
	}{
		{"an older set", message.Evacuations{Version: 1, DataCentres: []string{"dc1"}}, true},
		{"an older version of the set", message.Evacuations{Version: 1, DataCentres: []string{"dc0"}}, false},
		{"no set", message.Evacuations{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, 1, 2, 4)
			var out Output
			m, from := sim.instances[0].machine, sim.instances[1].self.Ref
			m.SetEvacuations(sim.now, message.Evacuations{Version: 5, DataCentres: []string{"dc0"}}, &out)
			out = Output{}
			status := message.Status{Evacuations: tt.reported}
			m.Receive(sim.now, message.Message{From: from, To: m.cfg.Self.Ref, Body: status}, &out)
			is.Equal(countStatus(out, from) > 0, tt.answered)
		})
	}
}

func countStatus(out Output, to instance.Ref) int {
	n := 0
	for _, msg := range out.Messages {
		if s, ok := msg.Body.(message.Status); ok && msg.To == to && s.Evacuations.Version == 5 {
			n++
		}
	}
	return n
}

// TestEvacuationsConverge stores and takes back requests at random while half of
// the instances read nothing and streams are reset. In the end all know the last
// state, also those that heard of one that was taken back at once.
func TestEvacuationsConverge(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(t, seed, 4, 12)
			sim.evacuations.blind[sim.rng.IntN(4)], sim.evacuations.blind[sim.rng.IntN(4)] = true, true
			for range 30 {
				sim.after(randomTime(sim.rng, 2*time.Second), func() { sim.setEvacuated(sim.dataCentre(sim.rng.IntN(2)), sim.rng.IntN(2) == 0) })
			}
			for range 6 {
				a, b := sim.instances[sim.rng.IntN(4)], sim.instances[sim.rng.IntN(4)]
				sim.after(randomTime(sim.rng, 2*time.Second), func() { sim.disconnect(a, b) })
				sim.after(2*time.Second+randomTime(sim.rng, 300*time.Millisecond), func() { sim.connect(a, b) })
			}
			sim.advance(2*time.Second + maxReadDelay + 100*time.Millisecond)
			for _, n := range sim.instances {
				is.Equal(n.machine.evacuations.inForce.DataCentres, sim.evacuations.stored.DataCentres)
			}
		})
	}
}
