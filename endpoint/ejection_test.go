package endpoint

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// TestFailingEndpointIsEjected checks that an endpoint that fails every task
// receives at most 24 tasks of its data centre before it is ejected.
func TestFailingEndpointIsEjected(t *testing.T) {
	const mostTasks = 24
	faults := []struct {
		name    string
		outcome Outcome
		after   time.Duration
	}{
		{"fails at once", Failed, time.Millisecond},
		{"no connection", Refused, 100 * time.Microsecond},
		{"never answers", Lost, 5 * time.Second},
	}
	for _, fault := range faults {
		for _, load := range []float64{0.1, 0.7, 0.9} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprintf("%s/%v/%d", fault.name, load, seed), func(t *testing.T) {
					is := is.New(t)
					bad := func(f *fleet, index int, run time.Duration) (Outcome, time.Duration) {
						if index == 3 && f.now.After(epoch.Add(20*time.Second)) {
							return fault.outcome, fault.after
						}
						return healthy(f, index, run)
					}
					f := newFleet(seed, 13, 2, load, bad)
					f.run(20 * time.Second)
					before := f.started[3]
					f.onEvent = func(_ int, r event.Record) {
						if r.Kind == event.EndpointEjected {
							is.Equal(r.Subject, "e0003") // only the bad one
						}
					}
					for i := 0; i < 300 && f.count(event.EndpointEjected) < 2; i++ {
						f.run(100 * time.Millisecond)
					}
					tasks := f.started[3] - before
					t.Logf("%d tasks, ejected %d times", tasks, f.count(event.EndpointEjected))
					is.True(tasks <= mostTasks)
					// At low load the suspect endpoint gets no further tasks,
					// because the others have enough capacity.
					is.True(load < 0.5 || f.count(event.EndpointEjected) == 2)
				})
			}
		}
	}
}

// TestHealthyEndpointsAreKept checks that none of 50 healthy endpoints is
// ejected within an hour at 90 % load with 1 % random failures.
func TestHealthyEndpointsAreKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(7, 50, 2, 0.9, healthy)
	f.runTime.median, f.runTime.sigma = 0.4, 0.9
	f.maxCandidates = 2
	f.run(time.Hour)
	is.Equal(f.count(event.EndpointEjected), 0)
	is.Equal(f.count(event.CapacityLost), 0)
}

func TestFaultyEndpoints(t *testing.T) {
	slowBy := func(by float64, indexes ...int) behaviour {
		return func(f *fleet, index int, run time.Duration) (Outcome, time.Duration) {
			outcome, runTime := healthy(f, index, run)
			for _, faulty := range indexes {
				if index == faulty {
					runTime = time.Duration(by * float64(runTime))
				}
			}
			return outcome, runTime
		}
	}
	flapping := func(f *fleet, index int, run time.Duration) (Outcome, time.Duration) {
		if index == 3 && f.now.Sub(epoch)%(10*time.Second) > 5*time.Second {
			return Failed, time.Millisecond
		}
		return healthy(f, index, run)
	}
	rackDown := func(f *fleet, index int, run time.Duration) (Outcome, time.Duration) {
		if index < 6 && f.now.After(epoch.Add(10*time.Second)) {
			return Lost, time.Second
		}
		return healthy(f, index, run)
	}
	tests := []struct {
		name   string
		behave behaviour
		faulty []int
	}{
		{"ten times slower", slowBy(10, 3), []int{3}},
		{"flapping", flapping, []int{3}},
		{"a rack down", rackDown, []int{0, 1, 2, 3, 4, 5}},
		{"a rack at 60 % speed is not ejected", slowBy(1/0.6, 0, 1, 2, 3, 4, 5), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(11, 13, 2, 0.7, tt.behave)
			ejected := map[string]int{}
			f.onEvent = func(_ int, r event.Record) {
				if r.Kind == event.EndpointEjected {
					ejected[r.Subject]++
				}
			}
			f.run(time.Minute)
			is.Equal(len(ejected), len(tt.faulty))
			for _, index := range tt.faulty {
				is.True(ejected[f.infos[index].ID] >= 2) // at both instances
			}
		})
	}
}

// TestLocalNetworkFailureEjectsNone cuts all connections of the instances and
// restores them. No endpoint may be ejected for a fault on this side.
func TestLocalNetworkFailureEjectsNone(t *testing.T) {
	failures := []struct {
		name    string
		outcome Outcome
		after   time.Duration
	}{
		{"connections refused", Refused, time.Millisecond},
		{"answers lost", Lost, 3 * time.Second},
		{"everything fails", Failed, 10 * time.Millisecond},
	}
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			is := is.New(t)
			from, to := epoch.Add(20*time.Second), epoch.Add(50*time.Second)
			f := newFleet(3, 13, 2, 0.7, func(f *fleet, index int, run time.Duration) (Outcome, time.Duration) {
				if f.now.After(from) && f.now.Before(to) {
					return failure.outcome, failure.after
				}
				return healthy(f, index, run)
			})
			f.run(60 * time.Second)
			is.Equal(f.count(event.EndpointEjected), 0)
			is.True(f.count(event.EjectionWithheld) > 0)
			for _, m := range f.members {
				for _, s := range m.tracker.Endpoints() {
					is.Equal(s.Health, Healthy) // all are healthy ten seconds after the failure
				}
			}
		})
	}
}

// TestReadmission checks that a recovered endpoint is readmitted, and that the
// backoff of one that keeps failing grows.
func TestReadmission(t *testing.T) {
	is := is.New(t)
	recovers := epoch.Add(40 * time.Second)
	f := newFleet(5, 13, 2, 0.7, func(f *fleet, index int, run time.Duration) (Outcome, time.Duration) {
		if index == 3 && f.now.Before(recovers) {
			return Failed, time.Millisecond
		}
		return healthy(f, index, run)
	})
	f.run(40 * time.Second)
	ejections := f.count(event.EndpointEjected)
	is.True(ejections >= 4 && ejections <= 8) // 5 s, 10 s and 20 s apart
	f.run(60 * time.Second)
	is.Equal(f.health(0, 3), Healthy)
	is.Equal(f.health(1, 3), Healthy)
	is.Equal(f.members[0].tracker.Usable(f.now, "e0003"), 8)
}

// TestSlowRackSpeedIsLearned checks the estimated speeds of a rack slowed down
// by heat and of a normal one.
func TestSlowRackSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 12, 2, 0.6, func(f *fleet, index int, run time.Duration) (Outcome, time.Duration) {
		if index < 6 && f.now.After(epoch.Add(30*time.Second)) {
			run = time.Duration(float64(run) / 0.6)
		}
		return healthy(f, index, run)
	})
	f.run(60 * time.Second)
	is.Equal(f.count(event.CapacityLost), 2) // at both instances
	for _, s := range f.members[0].tracker.Endpoints() {
		is.Equal(s.Usable, 8)
		want := 1.0
		if s.Info.Rack == "r0" {
			want = 0.6
		}
		t.Logf("%s speed %.2f", s.Info.ID, s.Speed)
		is.True(math.Abs(math.Log(s.Speed/want)) < 0.25)
	}
}
