package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/capacity"
	"github.com/lovagecrank/lovagecrank/message"
)

const ms = time.Millisecond

func TestWait(t *testing.T) {
	tests := []struct {
		name string
		load Load
		want time.Duration // of a job with two tasks
	}{
		{"no slots are known", Load{Tasks: 9, Work: time.Second}, 0},
		{"enough are free", Load{Slots: 10, Free: 2, Work: 200 * ms}, 0},
		{"what waits takes the free ones", Load{Slots: 10, Free: 5, Tasks: 5, Work: 700 * ms}, 50 * ms},
		{"all are busy", Load{Slots: 10, Tasks: 8, Work: time.Second}, 173 * ms},
		{"more urgent jobs take half", Load{Slots: 10, Tasks: 8, Work: time.Second, UrgentSlots: 5}, 346 * ms},
		{"they leave a tenth in any case", Load{Slots: 10, Tasks: 8, Work: time.Second, UrgentSlots: 20}, 1732 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.load.Wait(2).Round(ms), tt.want)
		})
	}
}

// TestBacklog checks which tasks are served before a job: those of its priority and of
// more urgent ones, and for a late job all that are not late.
func TestBacklog(t *testing.T) {
	backlog := []message.WaitingTasks{
		{Priority: 0, Tasks: 1, Work: 10 * ms},
		{Priority: 1, Tasks: 2, Work: 20 * ms},
		{Priority: 2, Tasks: 4, Work: 40 * ms},
		{Priority: 0, Late: true, Tasks: 8, Work: 80 * ms},
		{Priority: 2, Late: true, Tasks: 16, Work: 160 * ms},
	}
	tests := []struct {
		rank  Rank
		tasks int
	}{
		{Rank{Priority: 0}, 1},
		{Rank{Priority: 1}, 3},
		{Rank{Priority: 2}, 7},
		{Rank{Priority: 1, Late: true}, 15},
		{Rank{Priority: 2, Late: true}, 31},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.rank), func(t *testing.T) {
			is := is.New(t)
			var l Load
			l.AddBacklog(backlog, tt.rank)
			is.Equal(l.Tasks, tt.tasks)
			is.Equal(l.Work, time.Duration(tt.tasks)*10*ms)
		})
	}
}

func TestArrivals(t *testing.T) {
	is := is.New(t)
	rates := []message.ArrivalRate{{Priority: 0, Slots: 1}, {Priority: 1, Slots: 2}, {Priority: 2, Slots: 4}}
	is.Equal(UrgentSlots(rates, 0), 0.0)
	is.Equal(UrgentSlots(rates, 2), 3.0)
	is.Equal(AllSlots(rates), 7.0)
	is.Equal(SlotsAhead(rates, Rank{Priority: 1}), 3.0)
	is.Equal(SlotsAhead(rates, Rank{Late: true}), 7.0)
}

// TestDrift checks that what has arrived and what has been done since a view was made
// change the load, but never below nothing.
func TestDrift(t *testing.T) {
	tests := []struct {
		name            string
		load            Load
		arrived, served time.Duration
		tasks           int
		work            time.Duration
	}{
		{"more has arrived", Load{Tasks: 10, Work: time.Second}, 500 * ms, 200 * ms, 13, 1300 * ms},
		{"more has been done", Load{Tasks: 10, Work: time.Second}, 200 * ms, 500 * ms, 7, 700 * ms},
		{"all has been done", Load{Tasks: 10, Work: time.Second}, 0, 2 * time.Second, 0, 0},
		{"nothing waited", Load{}, 0, time.Second, 0, 0},
		{"nothing waited and some has arrived", Load{}, time.Second, 0, 20, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := tt.load
			l.AddDrift(capacity.Drift{Arrived: tt.arrived, Served: tt.served, Uncertainty: ms}, 50*ms)
			is.Equal(l.Tasks, tt.tasks)
			is.Equal(l.Work, tt.work)
			is.Equal(l.Uncertainty, ms)
		})
	}
}

// TestDecisionNearBound checks that jobs whose wait is near their bound are
// admitted in proportion to the room: with the uncertainty of an old view neither
// all nor none, with a certain one all or none.
func TestDecisionNearBound(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		uncertainty time.Duration
		bound       time.Duration // relative to the wait
		least, most float64       // share admitted
	}{
		{"certain, above", 0, time.Millisecond, 1, 1},
		{"certain, below", 0, -time.Millisecond, 0, 0},
		{"uncertain, at the bound", 10 * time.Second, 0, 0.45, 0.55},
		{"uncertain, a little room", 10 * time.Second, 50 * time.Millisecond, 0.7, 0.8},
		{"uncertain, little missing", 10 * time.Second, -50 * time.Millisecond, 0.2, 0.3},
		{"uncertain, much room", 10 * time.Second, 110 * time.Millisecond, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := Load{Slots: 100, Tasks: 500, Work: 50 * time.Second, Uncertainty: tt.uncertainty}
			admitted := 0
			for i := range 1000 {
				if l.DecidingWait(fmt.Sprint("job", i), 1) <= l.Wait(1)+tt.bound {
					admitted++
				}
			}
			if share := float64(admitted) / 1000; share < tt.least || share > tt.most {
				t.Errorf("%.3f of the jobs are admitted", share)
			}
		})
	}
}
