package crash

import (
	"net/netip"
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
}

func ledgerOf(losses ...lostWith) *Ledger {
	l := NewLedger()
	for i, w := range losses {
		loss := lossOf(string(rune('a'+i)), now.Add(w.at), append([]string{"t"}, w.beside...)...)
		loss.Address, loss.State = netip.AddrPortFrom(address.Addr(), uint16(i+1)), w.state
		l.Record(loss)
	}
	return l
}

// TestVerdict checks how a task may start again after its losses.
func TestVerdict(t *testing.T) {
	const s = time.Second
	beside := []string{"u"}
	tests := []struct {
		name   string
		losses []lostWith
		at     time.Duration
		want   Verdict
	}{
		{"no loss", nil, 0, Free},
		{"a withdrawn loss", []lostWith{{0, Withdrawn, nil}}, s, Free},
		{"one loss", []lostWith{{0, Suspected, beside}}, 0, Apart},
		{"one proved loss", []lostWith{{0, Proved, beside}}, 4 * s, Apart},
		{"two losses without proof", []lostWith{{0, Suspected, beside}, {s, Suspected, nil}}, 2 * s, Wait},
		{"two losses, one of them proved", []lostWith{{0, Proved, beside}, {s, Suspected, nil}}, 4 * s, Wait},
		{"two proved losses, once alone", []lostWith{{0, Proved, beside}, {s, Proved, nil}}, 5 * s, GiveUp},
		{"two proved losses beside others", []lostWith{{0, Proved, beside}, {s, Proved, beside}}, 5 * s, Alone},
		{"three proved losses beside others", []lostWith{{0, Proved, beside}, {s, Proved, beside}, {2 * s, Proved, beside}}, 6 * s, GiveUp},
		{"the proof does not come", []lostWith{{0, Suspected, beside}, {s, Suspected, nil}}, 8 * s, Alone},
		{"the proof of the third does not come", []lostWith{{0, Suspected, nil}, {s, Suspected, nil}, {8 * s, Suspected, nil}}, 15 * s, Alone},
		{"four losses without proof", []lostWith{{0, Suspected, nil}, {s, Suspected, nil}, {8 * s, Suspected, nil}, {16 * s, Suspected, nil}}, 40 * s, Wait},
		{"two silent endpoints of three", []lostWith{{0, Withdrawn, nil}, {s, Withdrawn, nil}, {2 * s, Suspected, beside}}, 3 * s, Apart},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v, until := ledgerOf(tt.losses...).Verdict(now.Add(tt.at), "t", "other queue")
			is.Equal(v, tt.want)
			is.Equal(v == Wait, until.After(now.Add(tt.at)))
		})
	}
}

// TestCrashingQueue checks that the tasks of a queue wait for the proof of their first
// loss while another of its tasks has crashed endpoints, and that those of other queues
// do not.
func TestCrashingQueue(t *testing.T) {
	is := is.New(t)
	l := ledgerOf(lostWith{0, Proved, nil}, lostWith{time.Second, Suspected, nil})
	loss := lossOf("z", now.Add(time.Second), "v")
	loss.Address = other
	l.Record(loss)
	at := now.Add(2 * time.Second)
	v, _ := l.Verdict(at, "v", "q")
	is.Equal(v, Wait)
	v, _ = l.Verdict(at, "v", "other queue")
	is.Equal(v, Apart)
	v, _ = l.Verdict(now.Add(time.Second+queueTTL), "v", "q") // the queue is no longer suspected
	is.Equal(v, Apart)
}
