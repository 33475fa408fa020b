package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
)

var (
	sharesStart = time.Unix(1_800_000_000, 0)
	testKey     = shareKey{service: "s", priority: 1}
)

func holderRef(id string) instance.Ref { return instance.Ref{ID: id, Incarnation: 1} }

func receiversWith(slots ...int) []receiver {
	var list []receiver
	for i, n := range slots {
		list = append(list, receiver{holderRef(string(rune('a' + i))), n})
	}
	return list
}

// sharesOf returns the shares of the receivers in their order.
func (s *shares) sharesOf(k shareKey, receivers []receiver) []int {
	var list []int
	for _, r := range receivers {
		list = append(list, s.shareOf(k, r.ref))
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
			s := newShares("home")
			receivers := receiversWith(tt.slots...)
			s.divide(sharesStart, testKey, tt.tasks, receivers)
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
	s := newShares("home")
	for i := range 120 {
		now := sharesStart.Add(time.Duration(i) * time.Millisecond)
		s.divide(now, testKey, 1, receivers)
		for _, r := range receivers {
			if s.shareOf(testKey, r.ref) > 0 {
				asked[r.ref]++
				s.offered(now, "s", r.ref, true)
			}
		}
	}
	for _, r := range receivers {
		is.True(asked[r.ref] >= 5*r.slots-1 && asked[r.ref] <= 5*r.slots+1)
	}
	first := map[instance.Ref]bool{}
	for _, home := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"} {
		s := newShares(home)
		s.divide(sharesStart, testKey, 1, receivers)
		for _, r := range receivers {
			if s.shareOf(testKey, r.ref) > 0 {
				first[r.ref] = true
			}
		}
	}
	is.True(len(first) >= 3)
}

// TestSharesFollowTasks checks the account as tasks come, end and are offered for.
func TestSharesFollowTasks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newShares("home")
	receivers := receiversWith(10, 10, 10)
	s.divide(sharesStart, testKey, 9, receivers)
	is.Equal(s.sharesOf(testKey, receivers), []int{3, 3, 3})
	for _, r := range receivers {
		is.True(s.changedFor(r.ref))
		s.sent(r.ref)
	}
	s.divide(sharesStart, testKey, 9, receivers)
	is.True(!s.changedFor(receivers[0].ref)) // nothing to send again

	s.offered(sharesStart, "s", receivers[0].ref, true) // the holder has counted it too
	s.divide(sharesStart, testKey, 8, receivers)
	is.Equal(s.sharesOf(testKey, receivers), []int{2, 3, 3})
	is.True(!s.changedFor(receivers[0].ref))

	s.divide(sharesStart, testKey, 2, receivers) // others were served elsewhere
	is.Equal(sum(s.sharesOf(testKey, receivers)), 2)
	s.divide(sharesStart, testKey, 0, receivers)
	is.Equal(s.sharesOf(testKey, receivers), []int{0, 0, 0})
	is.True(s.nextTimeout(sharesStart).IsZero())
}

// TestOfferCountsForMostUrgentShare checks that an offer counts against the most
// urgent share of the holder.
func TestOfferCountsForMostUrgentShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newShares("home")
	receivers := receiversWith(10)
	keys := []shareKey{{"s", 0, true}, {"s", 2, false}, {"s", 1, false}, {"other", 0, false}}
	for _, k := range keys {
		s.divide(sharesStart, k, 1, receivers)
	}
	var got []shareKey
	for range 4 {
		before := map[shareKey]int{}
		for _, k := range keys {
			before[k] = s.shareOf(k, receivers[0].ref)
		}
		s.offered(sharesStart, "s", receivers[0].ref, true)
		for _, k := range keys {
			if s.shareOf(k, receivers[0].ref) < before[k] {
				got = append(got, k)
			}
		}
	}
	is.Equal(got, []shareKey{keys[2], keys[1], keys[0]}) // the fourth offer has no share
}

// TestSharesOfSilentHolder checks that a holder which serves nothing, being slow,
// full, cut off or suspended, holds a task up for one shareTimeout only, and is
// asked ever more rarely until it offers again.
func TestSharesOfSilentHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newShares("home")
	receivers := receiversWith(10, 10, 10)
	silent := receivers[1].ref
	held := 0
	for ms := range 1000 {
		now := sharesStart.Add(time.Duration(ms) * time.Millisecond)
		s.divide(now, testKey, 6, receivers)
		is.Equal(sum(s.sharesOf(testKey, receivers)), 6)
		held += s.shareOf(testKey, silent)
		if ms%10 == 0 {
			s.offered(now, "s", receivers[0].ref, true)
			s.offered(now, "s", receivers[2].ref, true)
		}
	}
	is.True(held < 2*1000*2/3) // its share would be two for all the time
	s.offered(sharesStart.Add(time.Second), "s", silent, true)
	is.Equal(s.timeout("s", silent), shareTimeout)
}

// TestSharesWithoutAnotherHolder checks that an expired share stays if nobody else
// can get it, and asks for no further tick. That tick was due at once, for ever.
func TestSharesWithoutAnotherHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newShares("home")
	receivers := receiversWith(10)
	s.divide(sharesStart, testKey, 2, receivers)
	is.Equal(s.nextTimeout(sharesStart), sharesStart.Add(shareTimeout))
	now := sharesStart.Add(shareTimeout)
	s.divide(now, testKey, 2, receivers)
	is.Equal(s.shareOf(testKey, receivers[0].ref), 2)
	is.True(s.nextTimeout(now).IsZero())
}

// TestSharesOfLostHolder checks that the shares of a holder that is lost, or no
// longer a receiver, go to others at once, and that it is among the next when it
// comes back.
func TestSharesOfLostHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newShares("home")
	receivers := receiversWith(10, 10, 10)
	s.divide(sharesStart, testKey, 6, receivers)
	s.remove(receivers[0].ref)
	s.divide(sharesStart, testKey, 6, receivers[1:])
	is.Equal(s.sharesOf(testKey, receivers), []int{0, 3, 3})
	s.divide(sharesStart, testKey, 6, receivers[2:]) // draining
	is.Equal(s.sharesOf(testKey, receivers), []int{0, 0, 6})
	s.divide(sharesStart, testKey, 9, receivers)
	is.Equal(sum(s.sharesOf(testKey, receivers)), 9)
	is.True(s.shareOf(testKey, receivers[0].ref) > 0)
	s.divide(sharesStart, testKey, 9, nil)
	is.Equal(sum(s.sharesOf(testKey, receivers)), 0)
}
