package sharing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
)

var (
	sharesStart = time.Unix(1_800_000_000, 0)
	testKey     = Kind{Service: "s", Priority: 1}
)

func holderRef(id string) instance.Ref { return instance.Ref{ID: id, Incarnation: 1} }

func receiversWith(slots ...int) []Receiver {
	var list []Receiver
	for i, n := range slots {
		list = append(list, Receiver{holderRef(string(rune('a' + i))), n})
	}
	return list
}

// sharesOf returns the shares of the receivers in their order.
func (s *Shares) sharesOf(k Kind, receivers []Receiver) []int {
	var list []int
	for _, r := range receivers {
		list = append(list, s.Of(k, r.Ref))
	}
	return list
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

// TestSharesAddUp checks that shares add up to the tasks, in proportion to the
// slots of the receivers.
func TestSharesAddUp(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		slots []int
		tasks int
		want  []int // nil if only the sum counts
	}{
		{"no task", []int{10, 10}, 0, []int{0, 0}},
		{"no receiver", nil, 5, nil},
		{"one receiver", []int{3}, 5, []int{5}},
		{"one task", []int{10, 10, 10}, 1, nil},
		{"fewer tasks than receivers", []int{4, 4, 4, 4}, 3, nil},
		{"in proportion", []int{10, 20, 40}, 70, []int{10, 20, 40}},
		{"many tasks", []int{1, 1, 2}, 400, []int{100, 100, 200}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New("home")
			receivers := receiversWith(tt.slots...)
			s.Divide(sharesStart, testKey, tt.tasks, receivers)
			got := s.sharesOf(testKey, receivers)
			if len(receivers) > 0 {
				is.Equal(sum(got), tt.tasks)
			}
			if tt.want != nil {
				for i := range got { // within one step of the slots
					is.True(max(got[i]-tt.want[i], tt.want[i]-got[i]) <= tt.slots[i]/shareSteps+1)
				}
			}
		})
	}
}

// TestSharesTakeTurns checks that single tasks ask each receiver in proportion to
// its slots, and that different homes ask different ones first.
func TestSharesTakeTurns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	receivers := receiversWith(4, 8, 4, 8)
	asked := map[instance.Ref]int{}
	s := New("home")
	for i := range 120 {
		now := sharesStart.Add(time.Duration(i) * time.Millisecond)
		s.Divide(now, testKey, 1, receivers)
		for _, r := range receivers {
			if s.Of(testKey, r.Ref) > 0 {
				asked[r.Ref]++
				s.Offered(now, "s", r.Ref, true)
			}
		}
	}
	for _, r := range receivers {
		is.True(asked[r.Ref] >= 5*r.Slots-1 && asked[r.Ref] <= 5*r.Slots+1)
	}
	first := map[instance.Ref]bool{}
	for _, home := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"} {
		s := New(home)
		s.Divide(sharesStart, testKey, 1, receivers)
		for _, r := range receivers {
			if s.Of(testKey, r.Ref) > 0 {
				first[r.Ref] = true
			}
		}
	}
	is.True(len(first) >= 3)
}

// TestSharesFollowTasks checks the account as tasks come, end and are offered for.
func TestSharesFollowTasks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := New("home")
	receivers := receiversWith(10, 10, 10)
	s.Divide(sharesStart, testKey, 9, receivers)
	is.Equal(s.sharesOf(testKey, receivers), []int{3, 3, 3})
	for _, r := range receivers {
		is.True(s.Unsent(r.Ref))
		s.Sent(r.Ref)
	}
	s.Divide(sharesStart, testKey, 9, receivers)
	is.True(!s.Unsent(receivers[0].Ref)) // nothing to send again

	s.Offered(sharesStart, "s", receivers[0].Ref, true) // the holder has counted it too
	s.Divide(sharesStart, testKey, 8, receivers)
	is.Equal(s.sharesOf(testKey, receivers), []int{2, 3, 3})
	is.True(!s.Unsent(receivers[0].Ref))

	s.Divide(sharesStart, testKey, 2, receivers) // others were served elsewhere
	is.Equal(sum(s.sharesOf(testKey, receivers)), 2)
	s.Divide(sharesStart, testKey, 0, receivers)
	is.Equal(s.sharesOf(testKey, receivers), []int{0, 0, 0})
	is.True(s.NextTimeout(sharesStart).IsZero())
}

// TestOfferCountsForMostUrgentShare checks that an offer counts against the most
// urgent share of the holder.
func TestOfferCountsForMostUrgentShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := New("home")
	receivers := receiversWith(10)
	keys := []Kind{{"s", 0, true}, {"s", 2, false}, {"s", 1, false}, {"other", 0, false}}
	for _, k := range keys {
		s.Divide(sharesStart, k, 1, receivers)
	}
	var got []Kind
	for range 4 {
		before := map[Kind]int{}
		for _, k := range keys {
			before[k] = s.Of(k, receivers[0].Ref)
		}
		s.Offered(sharesStart, "s", receivers[0].Ref, true)
		for _, k := range keys {
			if s.Of(k, receivers[0].Ref) < before[k] {
				got = append(got, k)
			}
		}
	}
	is.Equal(got, []Kind{keys[2], keys[1], keys[0]}) // the fourth offer has no share
}

// TestSharesOfSilentHolder checks that a holder which serves nothing, being slow, cut off
// or suspended, holds a task up for one Timeout only, and then comes after the others.
func TestSharesOfSilentHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := New("home")
	receivers := receiversWith(10, 10, 10)
	silent := receivers[1].Ref
	for ms := range 124 {
		now := sharesStart.Add(time.Duration(ms) * time.Millisecond)
		s.Divide(now, testKey, 6, receivers)
		is.Equal(sum(s.sharesOf(testKey, receivers)), 6)
		is.Equal(s.Of(testKey, silent) > 0, ms < 100)
		if ms%10 == 0 {
			s.Offered(now, "s", receivers[0].Ref, true)
			s.Offered(now, "s", receivers[2].Ref, true)
		}
	}
}

// TestBusyHolderKeepsShare guards against shares that change hands while holders are only
// busy: a holder without a free slot for 25 ms lost them and was passed over for up to
// 200 ms, while it started less urgent tasks.
func TestBusyHolderKeepsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := New("home")
	receivers := receiversWith(10, 10)
	for ms := range 400 {
		now := sharesStart.Add(time.Duration(ms) * time.Millisecond)
		s.Divide(now, testKey, 2, receivers)
		is.Equal(s.sharesOf(testKey, receivers), []int{1, 1})
		if ms%80 == 79 { // one run in eight ends later
			s.Offered(now, "s", receivers[0].Ref, true)
			s.Offered(now, "s", receivers[1].Ref, true)
		}
	}
}

// TestSmallerShareIsNotSent checks that a holder is told of a share that grows or ends,
// and not of one that shrinks, which costs a message for each start elsewhere.
func TestSmallerShareIsNotSent(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		tasks int
		want  bool
	}{
		{"the same", 4, false},
		{"more", 5, true},
		{"fewer", 3, false},
		{"none", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New("home")
			receivers := receiversWith(10)
			s.Divide(sharesStart, testKey, 4, receivers)
			s.Sent(receivers[0].Ref)
			s.Divide(sharesStart, testKey, tt.tasks, receivers)
			is.New(t).Equal(s.Unsent(receivers[0].Ref), tt.want)
		})
	}
}

// TestOfferOfNoUseEndsShare checks that a holder whose offer was of no use has no share
// until it is told of one, and that the others come first.
func TestOfferOfNoUseEndsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := New("home")
	receivers := receiversWith(10, 10)
	s.Divide(sharesStart, testKey, 4, receivers)
	s.Sent(receivers[0].Ref)
	k, ok := s.OfferedKind("s", receivers[0].Ref)
	is.True(ok)
	is.Equal(k, testKey)
	s.Offered(sharesStart, "s", receivers[0].Ref, false)
	_, ok = s.OfferedKind("s", receivers[0].Ref)
	is.True(!ok)
	s.Divide(sharesStart, testKey, 4, receivers)
	is.Equal(s.sharesOf(testKey, receivers), []int{0, 4})
}

// TestSharesWithoutAnotherHolder checks that an expired share stays if nobody else
// can get it, and asks for no further tick. That tick was due at once, for ever.
func TestSharesWithoutAnotherHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := New("home")
	receivers := receiversWith(10)
	s.Divide(sharesStart, testKey, 2, receivers)
	is.Equal(s.NextTimeout(sharesStart), sharesStart.Add(Timeout))
	now := sharesStart.Add(Timeout)
	s.Divide(now, testKey, 2, receivers)
	is.Equal(s.Of(testKey, receivers[0].Ref), 2)
	is.True(s.NextTimeout(now).IsZero())
}

// TestSharesOfLostHolder checks that the shares of a holder that is lost, or no
// longer a receiver, go to others at once, and that it is among the next when it
// comes back.
func TestSharesOfLostHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := New("home")
	receivers := receiversWith(10, 10, 10)
	s.Divide(sharesStart, testKey, 6, receivers)
	s.Remove(receivers[0].Ref)
	s.Divide(sharesStart, testKey, 6, receivers[1:])
	is.Equal(s.sharesOf(testKey, receivers), []int{0, 3, 3})
	s.Divide(sharesStart, testKey, 6, receivers[2:]) // draining
	is.Equal(s.sharesOf(testKey, receivers), []int{0, 0, 6})
	s.Divide(sharesStart, testKey, 9, receivers)
	is.Equal(sum(s.sharesOf(testKey, receivers)), 9)
	is.True(s.Of(testKey, receivers[0].Ref) > 0)
	s.Divide(sharesStart, testKey, 9, nil)
	is.Equal(sum(s.sharesOf(testKey, receivers)), 0)
}

// TestHoldersPerTask checks that a task is shared with the more holders the fewer slots
// each of them has.
func TestHoldersPerTask(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		slots []int
		want  int
	}{
		{"no receiver", nil, 1},
		{"one receiver", []int{3}, 1},
		{"few slots", []int{4, 4, 4}, 3},
		{"ten slots each", []int{10, 10, 10, 10, 10, 10, 10, 10}, 4},
		{"uneven", []int{2, 18, 2, 18, 2, 18, 2, 18}, 4},
		{"many slots", []int{22, 22, 22, 22}, 2},
		{"very many slots", []int{200, 200}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(HoldersPerTask(receiversWith(tt.slots...)), tt.want)
		})
	}
}
