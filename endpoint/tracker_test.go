package endpoint

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

func TestDraining(t *testing.T) {
	type step struct {
		after time.Duration
		do    func(tr *Tracker, now time.Time, out *Output)
		want  int
	}
	list := func(draining bool) func(*Tracker, time.Time, *Output) {
		return func(tr *Tracker, now time.Time, out *Output) {
			all := infos(2, 6)
			all[0].Draining = draining
			tr.Update(now, all, out)
		}
	}
	reply := func(draining bool) func(*Tracker, time.Time, *Output) {
		return func(tr *Tracker, now time.Time, out *Output) {
			tr.Sent(now, "e0000")
			tr.Finished(now, "e0000", Answered, time.Second, time.Second, Load{Draining: draining}, out)
		}
	}
	peerReport := func(tr *Tracker, now time.Time, out *Output) {
		from := instance.Ref{DataCentre: "sofia-1", ID: "i9", Incarnation: 4}
		tr.HandleSignals(now, from, []message.Signal{{Endpoint: "e0000", Draining: true}}, out)
	}
	unlisted := func(tr *Tracker, now time.Time, out *Output) { tr.Update(now, infos(2, 6)[1:], out) }
	empty := func(tr *Tracker, now time.Time, out *Output) { tr.Update(now, nil, out) }
	moved := func(tr *Tracker, now time.Time, out *Output) {
		all := infos(2, 6)
		all[0].Address = all[1].Address
		tr.Update(now, all, out)
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"listed as draining", []step{{0, list(true), 0}}},
		{"the list revokes it", []step{{0, list(true), 0}, {time.Second, list(false), 8}}},
		{"reported by the endpoint", []step{{0, reply(true), 0}}},
		{"a late earlier reply does not revoke it", []step{{0, reply(true), 0}, {0, reply(false), 0}}},
		{"a lagging list does not revoke it", []step{{0, reply(true), 0}, {30 * time.Second, list(false), 0}}},
		{"the list revokes it after its lag", []step{{0, reply(true), 0}, {2 * time.Minute, list(false), 8}}},
		{"reported by another instance", []step{{0, peerReport, 0}, {30 * time.Second, list(false), 0}, {2 * time.Minute, list(false), 8}}},
		{"removed from the list", []step{{0, unlisted, 0}}},
		{"an empty list is ignored", []step{{0, empty, 8}}},
		{"a new process at another address starts fresh", []step{{0, reply(true), 0}, {time.Second, moved, 8}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := epoch
			var out Output
			tr := New(Settings{DataCentre: "sofia-1"}, now)
			tr.Update(now, infos(2, 6), &out)
			for _, s := range tt.steps {
				now = now.Add(s.after)
				s.do(tr, now, &out)
				is.Equal(tr.Usable(now, "e0000"), s.want)
			}
		})
	}
}

// TestRefusalsOfFullEndpoints checks that refusals of an endpoint that reports
// that it is full do not count as failures.
func TestRefusalsOfFullEndpoints(t *testing.T) {
	is := is.New(t)
	var out Output
	tr := New(Settings{DataCentre: "sofia-1"}, epoch)
	tr.Update(epoch, infos(3, 6), &out)
	for range 100 {
		tr.Sent(epoch, "e0000")
		tr.Finished(epoch, "e0000", Refused, time.Millisecond, time.Second, Load{Running: 8}, &out)
	}
	is.Equal(tr.Usable(epoch, "e0000"), 8)
}

// TestStoppedTasksAreNoFailures checks that many cancellations on one endpoint
// do not eject it.
func TestStoppedTasksAreNoFailures(t *testing.T) {
	is := is.New(t)
	var out Output
	tr := New(Settings{DataCentre: "sofia-1"}, epoch)
	tr.Update(epoch, infos(3, 6), &out)
	for range 100 {
		tr.Sent(epoch, "e0000")
		tr.Stopped(epoch, "e0000", Load{Running: 1}, &out)
	}
	is.Equal(tr.Usable(epoch, "e0000"), 8)
	is.Equal(tr.Endpoints()[0].InFlight, 0)
	tr.Stopped(epoch, "e0000", Load{Draining: true}, &out)
	is.Equal(tr.Usable(epoch, "e0000"), 0)
}

// TestEjectedShareDuringProbation checks that the share of ejected endpoints
// stays within its limit when a task of an endpoint on probation fails after
// another endpoint was ejected in its place. It ejects half of the endpoints,
// starts the probation of the first, ejects another one and fails tasks of the
// first.
func TestEjectedShareDuringProbation(t *testing.T) {
	is := is.New(t)
	var out Output
	now := epoch
	list := infos(6, 6)
	tr := New(Settings{DataCentre: "sofia-1"}, now)
	tr.Update(now, list, &out)
	fail := func(index int) {
		for range 12 {
			now = now.Add(20 * time.Millisecond)
			tr.Finished(now, list[4].ID, Answered, time.Millisecond, 0, Load{}, &out)
			tr.Finished(now, list[5].ID, Answered, time.Millisecond, 0, Load{}, &out)
			tr.Finished(now, list[index].ID, Lost, time.Millisecond, 0, Load{}, &out)
		}
	}
	health := func(index int) Health { return tr.Endpoints()[index].Health }
	fail(0)
	is.Equal(health(0), Ejected)
	now = tr.Next().Add(-time.Second) // the others are ejected much later
	fail(1)
	fail(2)
	now = tr.Next()
	tr.Tick(now, &out)
	is.Equal(health(0), Probation)
	fail(3)
	is.Equal(health(3), Ejected)
	fail(0)
	is.Equal(health(0), Suspect) // three of six are ejected
	now = tr.Next()
	tr.Tick(now, &out)
	is.Equal(tr.Usable(now, list[0].ID), 1)
}

// TestTrackerProperties applies random steps to one tracker and checks its
// invariants against an independent record.
func TestTrackerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 10
		now := epoch
		var out Output
		tr := New(Settings{DataCentre: "sofia-1", Seed: rapid.Uint64().Draw(t, "seed")}, now)
		list := infos(n, 5)
		tr.Update(now, list, &out)
		reported := make([]bool, n)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, n-1).Draw(t, "endpoint")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				load := Load{Draining: rapid.IntRange(0, 30).Draw(t, "draining") == 0}
				reported[index] = reported[index] || load.Draining
				runTime := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ran")) * time.Millisecond
				outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
				tr.Sent(now, list[index].ID)
				tr.Finished(now, list[index].ID, outcome, runTime, 300*time.Millisecond, load, &out)
			case 2:
				list[index].Draining = rapid.Bool().Draw(t, "listed as draining")
				tr.Update(now, slices.Clone(list), &out)
				for i := range reported {
					reported[i] = reported[i] && list[i].Draining // the list's lag is not modelled
				}
			case 3:
				tr.Tick(now, &out)
			}
			checkTracker(t, tr, now, list, reported)
		}
	})
}

func checkTracker(t *rapid.T, tr *Tracker, now time.Time, list []Info, reported []bool) {
	ejected := 0
	for i, s := range tr.Endpoints() {
		usable := tr.Usable(now, s.Info.ID)
		if usable < 0 || usable > s.Info.Slots {
			t.Fatalf("%s: %d usable of %d slots", s.Info.ID, usable, s.Info.Slots)
		}
		if (list[i].Draining || reported[i]) && usable != 0 {
			t.Fatalf("%s is draining but usable", s.Info.ID)
		}
		if s.Health == Ejected {
			ejected++
			if usable != 0 || s.Until.IsZero() {
				t.Fatalf("%s is ejected, usable %d until %s", s.Info.ID, usable, s.Until)
			}
		}
		if s.Speed < minSpeed || s.Speed > maxSpeed {
			t.Fatalf("%s: speed %v", s.Info.ID, s.Speed)
		}
	}
	if 2*ejected > len(list) {
		t.Fatalf("%d of %d ejected", ejected, len(list))
	}
}

func TestEjectionNamesReason(t *testing.T) {
	is := is.New(t)
	var out Output
	tr := New(Settings{DataCentre: "sofia-1"}, epoch)
	tr.Update(epoch, infos(5, 6), &out)
	now := epoch
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, id := range []string{"e0001", "e0002", "e0003"} {
			tr.Sent(now, id)
			tr.Finished(now, id, Answered, 10*time.Millisecond, 10*time.Millisecond, Load{}, &out)
		}
		tr.Sent(now, "e0000")
		tr.Finished(now, "e0000", Lost, time.Second, 0, Load{}, &out)
	}
	i := slices.IndexFunc(out.Events, func(r event.Record) bool { return r.Kind == event.EndpointEjected })
	is.True(i >= 0)
	is.Equal(out.Events[i].Subject, "e0000")
	is.Equal(tr.Endpoints()[0].Reason, "failing")
	signals := tr.Signals(now)
	is.True(slices.ContainsFunc(signals, func(s message.Signal) bool { return s.Endpoint == "e0000" && s.Ejected }))
}
