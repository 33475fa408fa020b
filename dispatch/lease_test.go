package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/message"
)

// pair is two instances of which the first holds the only endpoint.
func pair() (holder, borrower *Scheduler, out *Output) {
	out = &Output{}
	infos := instanceInfos(2)
	list := endpointInfos(1)
	var both [2]*Scheduler
	for i, info := range infos {
		both[i] = New(Settings{Self: info.Ref}, begin)
		both[i].SetConfiguration(begin, simDocument(nil), out)
		both[i].SetEndpoints(begin, list, out)
		both[i].SetInstances(begin, infos, out)
	}
	if both[0].endpoints[0].holder == nil {
		return both[0], both[1], out
	}
	return both[1], both[0], out
}

// lendAll lets the borrower have every slot.
func lendAll(holder, borrower *Scheduler, out *Output) {
	*out = Output{}
	j := jobOf("borrowed", "urgent", "", slotsOfOne, time.Minute)
	borrower.Enqueue(begin, j, begin, indexesOf(j), out)
	exchange(begin, out, holder, borrower)
}

// exchange delivers messages until there are none.
func exchange(now time.Time, out *Output, all ...*Scheduler) {
	for len(out.Messages) > 0 {
		m := out.Messages[0]
		out.Messages = out.Messages[1:]
		for _, s := range all {
			if s.settings.Self == m.To {
				s.Receive(now, m, out)
			}
		}
	}
}

func TestSlotsOfASilentBorrowerComeBack(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := pair()
	lendAll(holder, borrower, out)
	is.Equal(len(out.Starts), slotsOfOne)
	is.Equal(holder.endpoints[0].lent, slotsOfOne)
	*out = Output{}
	j := jobOf("own", "urgent", "", 1, time.Second)
	holder.Enqueue(begin, j, begin, []int{0}, out)
	is.Equal(len(out.Starts), 0)
	silent := begin.Add(defaultLeaseLength * 5 / 4)
	holder.Tick(silent, out)
	is.Equal(len(out.Starts), 0)
	holder.Tick(silent.Add(refreshInterval), out)
	is.Equal(len(out.Starts), 1)
	is.Equal(holder.endpoints[0].lent, 0)
}

func TestBorrowerOfASilentHolderStartsNothing(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := pair()
	lendAll(holder, borrower, out)
	silent := begin.Add(defaultLeaseLength + refreshInterval)
	borrower.Tick(silent, out)
	first := out.Starts[0].Ref
	*out = Output{}
	j := jobOf("more", "urgent", "", 1, time.Second)
	borrower.Enqueue(silent, j, silent, []int{0}, out)
	borrower.Finished(silent, first, endpoint.Answered, time.Second, endpoint.Load{}, out)
	borrower.Tick(silent.Add(refreshInterval), out)
	is.Equal(len(out.Starts), 0) // the lease has ended
}

func TestSlotsOfALostBorrowerComeBackAtOnce(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := pair()
	lendAll(holder, borrower, out)
	*out = Output{}
	j := jobOf("own", "urgent", "", 1, time.Second)
	holder.Enqueue(begin, j, begin, []int{0}, out)
	holder.PeerLost(begin, borrower.settings.Self, out)
	is.Equal(len(out.Starts), 1)
}

// What is lent is agreed on again after a Return was lost.
func TestLostReturnIsMadeGood(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := pair()
	lendAll(holder, borrower, out)
	now := begin.Add(time.Second)
	for _, st := range out.Starts {
		borrower.Finished(now, st.Ref, endpoint.Answered, time.Second, endpoint.Load{}, &Output{})
	}
	lost := &Output{}
	borrower.Tick(now.Add(maxBorrowedIdle), lost)
	is.True(len(lost.Messages) > 0)
	is.Equal(borrower.endpoints[0].borrowed, 0)
	is.Equal(holder.endpoints[0].lent, slotsOfOne)
	now = now.Add(maxMessageDelay + time.Second)
	full := message.Message{From: borrower.settings.Self, To: holder.settings.Self, Body: message.Want{Sequence: 100, Full: true}}
	holder.Receive(now, full, &Output{})
	is.Equal(holder.endpoints[0].lent, 0)
}

// A borrower that always has waiting tasks also tells what it has, so that
// slots whose Return was lost do not stay lent. Found by TestAnyOrderOfEvents
// with -rapid.seed=14840907975356173884.
func TestLostReturnIsMadeGoodWhileTasksWait(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := pair()
	lendAll(holder, borrower, out)
	now := begin.Add(time.Second)
	lost := &Output{}
	for _, st := range out.Starts {
		borrower.Finished(now, st.Ref, endpoint.Answered, time.Second, endpoint.Load{}, lost)
	}
	now = now.Add(maxBorrowedIdle)
	borrower.Tick(now, lost)
	is.Equal(borrower.endpoints[0].borrowed, 0)
	*out = Output{}
	j := jobOf("waiting", "urgent", "", 20, time.Second)
	borrower.Enqueue(now, j, now, indexesOf(j), out)
	for range 50 {
		exchange(now, out, holder, borrower)
		now = now.Add(100 * time.Millisecond)
		borrower.Tick(now, out)
		holder.Tick(now, out)
	}
	is.Equal(len(out.Starts), slotsOfOne)
}
