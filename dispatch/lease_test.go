package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/message"
)

// newPair returns two instances, of which the first holds the only endpoint.
func newPair() (holder, borrower *Scheduler, out *Output) {
	out = &Output{}
	infos := instanceInfos(2)
	endpoints := endpointInfos(1)
	var schedulers [2]*Scheduler
	for i, info := range infos {
		schedulers[i] = New(Settings{Self: info.Ref}, startTime)
		schedulers[i].SetConfiguration(startTime, simDocument(nil), out)
		schedulers[i].SetEndpoints(startTime, endpoints, out)
		schedulers[i].SetInstances(startTime, infos, out)
	}
	if schedulers[0].endpoints[0].holder == nil {
		return schedulers[0], schedulers[1], out
	}
	return schedulers[1], schedulers[0], out
}

// lendAll makes the holder lend every slot to the borrower.
func lendAll(holder, borrower *Scheduler, out *Output) {
	*out = Output{}
	j := newJob("borrowed", "urgent", "", slotsPerEndpoint, time.Minute)
	borrower.Enqueue(startTime, j, startTime, indexesOf(j), out)
	deliverAll(startTime, out, holder, borrower)
}

// deliverAll delivers messages until there are none.
func deliverAll(now time.Time, out *Output, schedulers ...*Scheduler) {
	for len(out.Messages) > 0 {
		m := out.Messages[0]
		out.Messages = out.Messages[1:]
		for _, s := range schedulers {
			if s.settings.Self == m.To {
				s.Receive(now, m, out)
			}
		}
	}
}

func TestLeaseOfSilentBorrowerExpires(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := newPair()
	lendAll(holder, borrower, out)
	is.Equal(len(out.Starts), slotsPerEndpoint)
	is.Equal(holder.endpoints[0].lent, slotsPerEndpoint)
	*out = Output{}
	j := newJob("own", "urgent", "", 1, time.Second)
	holder.Enqueue(startTime, j, startTime, []int{0}, out)
	is.Equal(len(out.Starts), 0)
	silent := startTime.Add(defaultLeaseLength * 5 / 4)
	holder.Tick(silent, out)
	is.Equal(len(out.Starts), 0)
	holder.Tick(silent.Add(refreshInterval), out)
	is.Equal(len(out.Starts), 1)
	is.Equal(holder.endpoints[0].lent, 0)
}

func TestBorrowerOfSilentHolderStartsNothing(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := newPair()
	lendAll(holder, borrower, out)
	silent := startTime.Add(defaultLeaseLength + refreshInterval)
	borrower.Tick(silent, out)
	first := out.Starts[0].Ref
	*out = Output{}
	j := newJob("more", "urgent", "", 1, time.Second)
	borrower.Enqueue(silent, j, silent, []int{0}, out)
	borrower.Finished(silent, first, endpoint.Answered, time.Second, endpoint.Load{}, out)
	borrower.Tick(silent.Add(refreshInterval), out)
	is.Equal(len(out.Starts), 0) // the lease has ended
}

func TestLoansToLostBorrowerAreReclaimedAtOnce(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := newPair()
	lendAll(holder, borrower, out)
	*out = Output{}
	j := newJob("own", "urgent", "", 1, time.Second)
	holder.Enqueue(startTime, j, startTime, []int{0}, out)
	holder.PeerLost(startTime, borrower.settings.Self, out)
	is.Equal(len(out.Starts), 1)
}

// A lost Return leaves slots lent at the holder that the borrower no longer has.
// The next full Want must correct that.
func TestLostReturnIsReconciled(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := newPair()
	lendAll(holder, borrower, out)
	now := startTime.Add(time.Second)
	for _, st := range out.Starts {
		borrower.Finished(now, st.Ref, endpoint.Answered, time.Second, endpoint.Load{}, &Output{})
	}
	lost := &Output{}
	borrower.Tick(now.Add(maxBorrowedIdle), lost)
	is.True(len(lost.Messages) > 0)
	is.Equal(borrower.endpoints[0].borrowed, 0)
	is.Equal(holder.endpoints[0].lent, slotsPerEndpoint)
	now = now.Add(maxMessageDelay + time.Second)
	full := message.Message{From: borrower.settings.Self, To: holder.settings.Self, Body: message.Want{Sequence: 100, Full: true}}
	holder.Receive(now, full, &Output{})
	is.Equal(holder.endpoints[0].lent, 0)
}

// A borrower that always has waiting tasks also sends full Wants, so that slots
// whose Return was lost do not stay lent. Found by TestAnyOrderOfEvents with
// -rapid.seed=14840907975356173884.
func TestLostReturnIsReconciledWhileTasksWait(t *testing.T) {
	is := is.New(t)
	holder, borrower, out := newPair()
	lendAll(holder, borrower, out)
	now := startTime.Add(time.Second)
	lost := &Output{}
	for _, st := range out.Starts {
		borrower.Finished(now, st.Ref, endpoint.Answered, time.Second, endpoint.Load{}, lost)
	}
	now = now.Add(maxBorrowedIdle)
	borrower.Tick(now, lost)
	is.Equal(borrower.endpoints[0].borrowed, 0)
	*out = Output{}
	j := newJob("waiting", "urgent", "", 20, time.Second)
	borrower.Enqueue(now, j, now, indexesOf(j), out)
	for range 50 {
		deliverAll(now, out, holder, borrower)
		now = now.Add(100 * time.Millisecond)
		borrower.Tick(now, out)
		holder.Tick(now, out)
	}
	is.Equal(len(out.Starts), slotsPerEndpoint)
}
