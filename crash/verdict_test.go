package crash

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lostWith is a loss of an endpoint with the task "t".
type lostWith struct {
	at    time.Duration
	state State
	// beside are the other tasks of the endpoint.
	beside []string
	// unconfirmed means that the endpoint has not confirmed the start of "t".
	unconfirmed bool
}

func ledgerOf(losses ...lostWith) *Ledger {
	l := NewLedger()
	for i, w := range losses {
		loss := lossOf(string(rune('a'+i)), now.Add(w.at), append([]string{"t"}, w.beside...)...)
		loss.Address, loss.State = netip.AddrPortFrom(address.Addr(), uint16(i+1)), w.state
		loss.Runs[0].Started = !w.unconfirmed
		l.Record(loss)
	}
	return l
}

// crashWithout records endpoints that have crashed without the task "t".
func (l *Ledger) crashWithout(endpoints int) {
	for i := range endpoints {
		loss := lossOf("without"+strconv.Itoa(i), now, "u"+strconv.Itoa(i))
		loss.Address, loss.State = netip.AddrPortFrom(other.Addr(), uint16(i+1)), Proved
		l.Record(loss)
	}
}

// TestVerdict checks how a task may start again after its losses. It guards against a task
// that is withheld since endpoints crashed on their own.
func TestVerdict(t *testing.T) {
	const s = time.Second
	beside := []string{"u"}
	lost := func(at time.Duration, state State, beside []string) lostWith {
		return lostWith{at: at, state: state, beside: beside}
	}
	thrice := []lostWith{lost(0, Proved, beside), lost(s, Proved, nil), lost(8*s, Proved, nil)}
	tests := []struct {
		name   string
		losses []lostWith
		// without is the number of endpoints that have crashed without the task.
		without int
		at      time.Duration
		want    Verdict
	}{
		{"no loss", nil, 0, 0, Free},
		{"a withdrawn loss", []lostWith{lost(0, Withdrawn, nil)}, 0, s, Free},
		{"one loss", []lostWith{lost(0, Suspected, beside)}, 0, 0, Apart},
		{"one proved loss", []lostWith{lost(0, Proved, beside)}, 0, 4 * s, Apart},
		{"two losses without proof", []lostWith{lost(0, Suspected, beside), lost(s, Suspected, nil)}, 0, 2 * s, Wait},
		{"two losses, one of them proved", []lostWith{lost(0, Proved, beside), lost(s, Suspected, nil)}, 0, 4 * s, Wait},
		{"two proved losses, once alone", []lostWith{lost(0, Proved, beside), lost(s, Proved, nil)}, 0, 5 * s, Alone},
		{"two proved losses, each alone", []lostWith{lost(0, Proved, nil), lost(s, Proved, nil)}, 0, 5 * s, Withhold},
		{"two proved losses, each alone, one crash without it", []lostWith{lost(0, Proved, nil), lost(s, Proved, nil)}, 1, 5 * s, Alone},
		{"two proved losses, each alone, one of a start that may not have arrived", []lostWith{{0, Proved, nil, true}, lost(s, Proved, nil)}, 0, 5 * s, Alone},
		{"two proved losses beside others", []lostWith{lost(0, Proved, beside), lost(s, Proved, beside)}, 0, 5 * s, Alone},
		{"two proved losses, four crashes without it", []lostWith{lost(0, Proved, nil), lost(s, Proved, nil)}, 4, 5 * s, Alone},
		{"three proved losses beside others", []lostWith{lost(0, Proved, beside), lost(s, Proved, beside), lost(2*s, Proved, beside)}, 0, 40 * s, Withhold},
		{"three proved losses, once alone", []lostWith{lost(0, Proved, beside), lost(s, Proved, beside), lost(2*s, Proved, nil)}, 0, 40 * s, Withhold},
		{"three proved losses, twice alone", thrice, 0, 12 * s, Withhold},
		{"three proved losses, two crashes without it", thrice, 2, 12 * s, Withhold},
		{"three proved losses, as many crashes without it", thrice, 3, 12 * s, Withhold},
		{"three proved losses, twice as many crashes without it", thrice, 6, 12 * s, Withhold},
		{"three proved losses, one of a start that may not have arrived", []lostWith{{0, Proved, nil, true}, lost(s, Proved, nil), lost(8*s, Proved, nil)}, 1, 12 * s, Withhold},
		{"the proof does not come", []lostWith{lost(0, Suspected, beside), lost(s, Suspected, nil)}, 0, 8 * s, Alone},
		{"the proof of the third does not come", []lostWith{lost(0, Suspected, nil), lost(s, Suspected, nil), lost(8*s, Suspected, nil)}, 0, 15 * s, Alone},
		{"four losses without proof", []lostWith{lost(0, Suspected, nil), lost(s, Suspected, nil), lost(8*s, Suspected, nil), lost(16*s, Suspected, nil)}, 0, 40 * s, Wait},
		{"two silent endpoints of three", []lostWith{lost(0, Withdrawn, nil), lost(s, Withdrawn, nil), lost(2*s, Suspected, beside)}, 0, 3 * s, Apart},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := ledgerOf(tt.losses...)
			l.crashWithout(tt.without)
			v, until := l.Verdict(now.Add(tt.at), "t", "other queue")
			is.Equal(v, tt.want)
			is.Equal(v == Wait || v == Withhold, until.After(now.Add(tt.at)))
		})
	}
}

// TestReportsOfOneLoss checks that the reports of two instances on one loss are merged: a
// task that one of them had alone was not alone, and a start is certain if one knows it.
func TestReportsOfOneLoss(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	first, second := lossOf("e", now, "t"), lossOf("e", now, "u", "t")
	first.State, second.State = Proved, Proved
	first.Runs[0].Started = false
	is.True(l.Record(first))
	is.Equal(l.History("t"), History{Losses: 1, Proved: 1, Last: "e", LastAt: now})
	is.True(l.Record(second))
	is.Equal(l.History("t"), History{Losses: 1, Proved: 1, Started: 1, Last: "e", LastAt: now})
	is.True(!l.Record(second))
}

// TestCrashingQueue checks that the tasks of a queue wait for the proof of their first
// loss while others of its tasks have crashed endpoints, and not while endpoints crash on
// their own with tasks of several queues.
func TestCrashingQueue(t *testing.T) {
	tests := []struct {
		name   string
		queues []string // of the tasks that were lost twice
		at     time.Duration
		want   Verdict
	}{
		{"no other task", nil, 0, Apart},
		{"one task", []string{"q"}, 0, Apart},
		{"two tasks", []string{"q", "q"}, 0, Wait},
		{"two tasks and one of another queue", []string{"q", "r", "q"}, 0, Apart},
		{"three of four tasks", []string{"q", "r", "q", "q"}, 0, Wait},
		{"three of five tasks", []string{"q", "r", "q", "q", "r"}, 0, Apart},
		{"tasks of another queue", []string{"r", "r", "r"}, 0, Apart},
		{"three tasks long ago", []string{"q", "q", "q"}, blameTTL, Apart},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger()
			lose := func(endpoint int, task, queue string, s State) {
				l.Record(Loss{
					Endpoint: strconv.Itoa(endpoint), Address: netip.AddrPortFrom(address.Addr(), uint16(endpoint)), StartedAt: boot, At: now, State: s,
					Runs: []Run{{Task: task, Queue: queue}},
				})
			}
			for i, q := range tt.queues {
				task := "t" + strconv.Itoa(i)
				lose(2*i+1, task, q, Proved)
				lose(2*i+2, task, q, Suspected)
			}
			lose(100, "v", "q", Suspected)
			v, _ := l.Verdict(now.Add(time.Second).Add(tt.at), "v", "q")
			is.Equal(v, tt.want)
		})
	}
}

// TestLossesOfTaskAreForgottenTogether guards against a withheld task that starts again
// because its losses are forgotten one by one.
func TestLossesOfTaskAreForgottenTogether(t *testing.T) {
	is := is.New(t)
	l := ledgerOf(lostWith{at: 0, state: Proved}, lostWith{at: time.Second, state: Proved}, lostWith{at: 8 * time.Second, state: Proved})
	l.crashWithout(1)
	verdictAt := func(d time.Duration) Verdict {
		l.Expire(now.Add(d))
		v, _ := l.Verdict(now.Add(d), "t", "q")
		return v
	}
	is.Equal(verdictAt(59*time.Second), Withhold)
	is.Equal(verdictAt(67*time.Second), Withhold)
	is.Equal(verdictAt(69*time.Second), Free)
	is.Equal(len(l.Losses())+len(l.byTask), 0)
}
