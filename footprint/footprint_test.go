package footprint

import (
	"math"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestSizeSaturates guards against sums of tasks that overflow and pass as a small or a
// negative number.
func TestSizeSaturates(t *testing.T) {
	tests := []struct {
		name  string
		steps []int
		want  int
	}{
		{"no step", nil, 0},
		{"a usual job", []int{4, 20}, 24},
		{"one large step", []int{2_000_000}, 2_000_000},
		{"two steps of the largest number", []int{math.MaxInt, math.MaxInt}, math.MaxInt},
		{"a large step and a small one", []int{math.MaxInt - 1, 1, 1}, math.MaxInt},
		{"a negative step", []int{-5, 3}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s Size
			for _, n := range tt.steps {
				s.AddStep(n, 0, 0)
			}
			is.Equal(s.Tasks, tt.want)
			is.True(s.Bytes >= int64(min(tt.want, math.MaxInt/taskBytes))*taskBytes)
		})
	}
}

// TestBudgetIsKept checks that no more is reserved than the limit, also by requests at
// the same moment and by numbers near the largest one, and that all can be used again.
func TestBudgetIsKept(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Limits{InstanceBytes: 4000})
	is.Equal(b.Limit(), int64(1000))
	var reservations sync.WaitGroup
	granted := make(chan int64, 100)
	for range 100 {
		reservations.Go(func() {
			if b.Reserve(30) {
				granted <- 30
			}
		})
	}
	reservations.Wait()
	is.Equal(len(granted), 33)
	is.Equal(b.Used(), int64(990))
	is.True(!b.Reserve(math.MaxInt64))
	is.True(b.Reserve(10))
	b.Release(1000)
	is.Equal(b.Used(), int64(0))
}

// TestArrivalLeavesRoomForSmallBodies checks that large bodies that arrive leave a quarter of
// the budget to small ones, and that all is free again when they are released.
func TestArrivalLeavesRoomForSmallBodies(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Limits{InstanceBytes: 160 << 10}) // 40 KiB, 30 for large bodies
	large, other, small := Arrival{Budget: b}, Arrival{Budget: b}, Arrival{Budget: b}
	is.True(large.Grow(8<<10, 8<<10))
	is.True(large.Grow(30<<10, 30<<10))
	is.True(large.Grow(20<<10, 20<<10)) // it has more already
	is.Equal(b.Used(), int64(30<<10))
	is.True(!other.Grow(5<<10, 5<<10))
	is.True(small.Grow(4<<10, SmallBodyBytes))
	for _, a := range []*Arrival{&large, &other, &small, {}} {
		a.Release()
		a.Release()
	}
	is.Equal(b.Used(), int64(0))
	is.True((&Arrival{}).Grow(1<<40, 1<<40)) // without a budget
}
