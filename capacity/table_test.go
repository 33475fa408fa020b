package capacity

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

var start = time.Unix(1_800_000_000, 0)

// view returns a valid view of dc0 by the merger with the given name.
func view(merger string, incarnation, sequence uint64, slots int) message.DataCentreView {
	return message.DataCentreView{
		DataCentre: "dc0", Merger: instance.Ref{DataCentre: "dc0", ID: merger, Incarnation: incarnation}, Sequence: sequence, Instances: 3,
		Capacities: []message.Capacity{{Service: "s", Slots: slots}},
	}
}

// byName prefers the merger with the lower name.
func byName(a, b instance.Ref) bool { return a.ID < b.ID }

// TestLatest checks which view is used after several have arrived.
func TestLatest(t *testing.T) {
	aged := func(v message.DataCentreView, age time.Duration) message.DataCentreView {
		v.Age = age
		return v
	}
	covering := func(v message.DataCentreView, instances int) message.DataCentreView {
		v.Instances = instances
		return v
	}
	tests := []struct {
		name string
		put  []message.DataCentreView
		want int // slots; -1 means none
	}{
		{"none", nil, -1},
		{"one", []message.DataCentreView{view("a", 1, 1, 10)}, 10},
		{"never added up", []message.DataCentreView{view("b", 1, 1, 20), view("a", 1, 1, 10)}, 10},
		{"later sequence", []message.DataCentreView{view("a", 1, 1, 10), view("a", 1, 2, 11)}, 11},
		{"overtaken on its way", []message.DataCentreView{view("a", 1, 2, 11), view("a", 1, 1, 10)}, 11},
		{"earlier incarnation", []message.DataCentreView{view("a", 2, 1, 11), view("a", 1, 9, 10)}, 11},
		{"later incarnation", []message.DataCentreView{view("a", 1, 9, 10), view("a", 2, 1, 11)}, 11},
		{"preferred one is a little older", []message.DataCentreView{aged(view("a", 1, 1, 10), preferenceMargin/2), view("b", 1, 1, 20)}, 10},
		{"preferred one is much older", []message.DataCentreView{aged(view("a", 1, 1, 10), 2*preferenceMargin), view("b", 1, 1, 20)}, 20},
		{"preferred one covers less", []message.DataCentreView{covering(view("a", 1, 1, 10), 2), view("b", 1, 1, 20)}, 20},
		{"preferred one covers more", []message.DataCentreView{view("a", 1, 1, 10), covering(view("b", 1, 1, 20), 2)}, 10},
		{"delayed too long", []message.DataCentreView{aged(view("a", 1, 1, 10), MaxViewAge+1)}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			for _, v := range tt.put {
				if err := table.Put(start, v); err != nil {
					is.True(errors.Is(err, ErrOld))
				}
			}
			v, ok := table.Latest(start, "dc0", byName)
			is.Equal(ok, tt.want >= 0)
			if ok {
				is.Equal(v.Capacity("s").Slots, tt.want)
			}
			_, ok = table.Latest(start.Add(MaxViewAge+time.Millisecond), "dc0", byName)
			is.True(!ok)
		})
	}
}

// TestManyMergers checks that the views of instances that no longer merge are not
// kept without limit.
func TestManyMergers(t *testing.T) {
	is := is.New(t)
	var table Table
	for i := range 100 {
		is.NoErr(table.Put(start, view(string(rune('a'+i)), 1, 1, i)))
	}
	is.Equal(len(table.views["dc0"]), maxMergers)
}

// TestInvalidViews checks that views that can't be true are not used.
func TestInvalidViews(t *testing.T) {
	tests := []struct {
		name   string
		change func(*message.DataCentreView)
	}{
		{"no data centre", func(v *message.DataCentreView) { v.DataCentre = "" }},
		{"no merger", func(v *message.DataCentreView) { v.Merger = instance.Ref{} }},
		{"no instances", func(v *message.DataCentreView) { v.Instances = 0 }},
		{"from the future", func(v *message.DataCentreView) { v.Age = -1 }},
		{"service without a name", func(v *message.DataCentreView) { v.Capacities[0].Service = "" }},
		{"service twice", func(v *message.DataCentreView) { v.Capacities = append(v.Capacities, v.Capacities[0]) }},
		{"negative slots", func(v *message.DataCentreView) { v.Capacities[0].Slots = -1 }},
		{"more free than there are", func(v *message.DataCentreView) { v.Capacities[0].Free = 1000 }},
		{"negative backlog", func(v *message.DataCentreView) { v.Capacities[0].Backlog = []message.WaitingTasks{{Tasks: -1}} }},
		{"negative work", func(v *message.DataCentreView) {
			v.Capacities[0].Backlog = []message.WaitingTasks{{Tasks: 1, Work: -1}}
		}},
		{"arrivals that are no number", func(v *message.DataCentreView) {
			v.Capacities[0].Arrivals = []message.ArrivalRate{{Slots: math.NaN()}}
		}},
		{"leaving slots without bound", func(v *message.DataCentreView) { v.Capacities[0].Leaving = math.Inf(1) }},
		{"too many services", func(v *message.DataCentreView) { v.Capacities = make([]message.Capacity, maxCapacities+1) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			v := view("a", 1, 2, 10)
			tt.change(&v)
			is.True(errors.Is(table.Put(start, v), ErrInvalid))
			_, ok := table.Latest(start, "dc0", byName)
			is.True(!ok)
		})
	}
}
