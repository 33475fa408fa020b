package crash

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	now     = time.Unix(1_800_000_000, 0)
	boot    = now.Add(-time.Hour)
	address = netip.MustParseAddrPort("10.0.0.1:1")
	other   = netip.MustParseAddrPort("10.0.0.2:1")
)

func lossOf(endpoint string, at time.Time, tasks ...string) Loss {
	l := Loss{Endpoint: endpoint, Address: address, StartedAt: boot, At: at}
	for _, t := range tasks {
		l.Runs = append(l.Runs, Run{Task: t, Queue: "q", Started: true})
	}
	return l
}

// TestProof checks what proves the crash of a lost endpoint, and what withdraws the
// suspicion.
func TestProof(t *testing.T) {
	tests := []struct {
		name    string
		observe func(l *Ledger) []Loss
		want    State
	}{
		{"nothing", func(*Ledger) []Loss { return nil }, Suspected},
		{"a later boot answers", func(l *Ledger) []Loss {
			return l.ObserveAnswer(now, now, "e", address, now)
		}, Proved},
		{"a later boot is listed", func(l *Ledger) []Loss { return l.ObserveBoot("e", address, now) }, Proved},
		{"another endpoint is listed at its address", func(l *Ledger) []Loss { return l.ObserveBoot("f", address, now) }, Proved},
		{"another endpoint is listed elsewhere", func(l *Ledger) []Loss { return l.ObserveBoot("f", other, now) }, Suspected},
		{"an earlier boot is listed", func(l *Ledger) []Loss { return l.ObserveBoot("e", address, boot.Add(-time.Hour)) }, Suspected},
		{"it was announced to leave", func(l *Ledger) []Loss { return l.ObserveLeaving(now.Add(time.Second), "e", boot) }, Withdrawn},
		{"its later boot is announced to leave", func(l *Ledger) []Loss { return l.ObserveLeaving(now.Add(time.Second), "e", now) }, Suspected},
		{"a boot at an unknown time is listed", func(l *Ledger) []Loss { return l.ObserveBoot("e", address, time.Time{}) }, Suspected},
		{"it answers an order that was sent before the loss", func(l *Ledger) []Loss {
			return l.ObserveAnswer(now.Add(time.Second), now.Add(-time.Second), "e", address, boot)
		}, Suspected},
		{"it answers an order that was sent after the loss", func(l *Ledger) []Loss {
			return l.ObserveAnswer(now.Add(time.Second), now.Add(time.Millisecond), "e", address, boot)
		}, Withdrawn},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger()
			is.True(l.Record(lossOf("e", now, "a", "b")))
			changed := tt.observe(l)
			is.Equal(l.Losses()[0].State, tt.want)
			is.Equal(len(changed) == 1, tt.want != Suspected)
			is.Equal(l.History("c").Others, map[State]int{Proved: 1}[tt.want])
			is.Equal(len(l.byTask), map[State]int{Suspected: 2, Proved: 2, Withdrawn: 0}[tt.want])
		})
	}
}

// TestRecordMerges checks that reports of one loss are merged in any order, and that
// a late report does not bring a withdrawn suspicion back.
func TestRecordMerges(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.True(l.Record(lossOf("e", now, "a")))
	is.True(!l.Record(lossOf("e", now, "a")))
	is.True(l.Record(lossOf("e", now, "a", "b")))
	is.Equal(len(l.Losses()), 1)
	is.Equal(len(l.Losses()[0].Runs), 2)

	l.ObserveAnswer(now.Add(time.Second), now.Add(time.Second), "e", address, boot)
	is.True(!l.Record(lossOf("e", now, "a")))
	is.Equal(l.Losses()[0].State, Withdrawn)
	is.True(l.Record(lossOf("e", now.Add(2*time.Second), "c"))) // lost again
	is.Equal(l.Losses()[0].State, Suspected)
	is.Equal(len(l.byTask), 1)

	late := lossOf("e", now.Add(time.Second)) // the earlier withdrawal, on a longer way
	late.State = Withdrawn
	is.True(!l.Record(late))
	is.Equal(l.Losses()[0].State, Suspected)
}

// TestLedgerIsBounded checks that the account stays bounded and forgets old losses.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 2 * maxLosses {
		loss := lossOf("e"+strconv.Itoa(i), now, "t"+strconv.Itoa(i))
		loss.State = State(i % 2)
		l.Record(loss)
	}
	is.Equal(l.proved, maxLosses/2)
	is.Equal(len(l.Losses()), maxLosses)
	is.Equal(len(l.byTask), maxLosses)
	l.Expire(now.Add(lossTTL + time.Second))
	is.Equal(len(l.Losses())+len(l.byTask)+l.proved, 0)
	is.True(!l.AwaitsProof())
}
