package crash

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestObserveList checks which changes of the list count as crashes without a task. It
// guards against a task that is given up because the crashes of idle endpoints are not
// known.
func TestObserveList(t *testing.T) {
	listed := Boot{Endpoint: "e", Address: address, StartedAt: boot}
	changed := func(change func(b *Boot)) []Boot {
		b := listed
		change(&b)
		return []Boot{b}
	}
	later := func(b *Boot) { b.StartedAt = now }
	tests := []struct {
		name  string
		first []Boot
		then  []Boot
		// lost are the losses that are known besides.
		lost []Loss
		want int
	}{
		{"nothing changes", []Boot{listed}, []Boot{listed}, nil, 0},
		{"it starts again", []Boot{listed}, changed(later), nil, 1},
		{"it starts again elsewhere", []Boot{listed}, changed(func(b *Boot) { b.Address = other; later(b) }), nil, 1},
		{"another one starts at its address", []Boot{listed}, changed(func(b *Boot) { b.Endpoint = "f"; later(b) }), nil, 1},
		{"another one starts elsewhere", []Boot{listed}, changed(func(b *Boot) { b.Endpoint, b.Address = "f", other; later(b) }), nil, 0},
		{"it was draining", changed(func(b *Boot) { b.Draining = true }), changed(later), nil, 0},
		{"an earlier boot is listed", changed(later), []Boot{listed}, nil, 0},
		{"its start is not known", changed(func(b *Boot) { b.StartedAt = time.Time{} }), changed(later), nil, 0},
		{"its loss with another task is known", []Boot{listed}, changed(later), []Loss{lossOf("e", now, "u")}, 0},
		{"its loss with the task is known", []Boot{listed}, changed(later), []Loss{lossOf("e", now, "t")}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger()
			l.ObserveList(now, tt.first)
			for _, loss := range tt.lost {
				l.Record(loss)
			}
			for range 2 { // the list is read again and again
				l.ObserveList(now.Add(time.Second), tt.then)
			}
			is.Equal(l.History("t").Others, tt.want)
			is.Equal(len(l.Restarts()), tt.want)
			l.ObserveList(now.Add(2*time.Second), nil)
			l.Expire(now.Add(lossTTL + 3*time.Second))
			is.Equal(l.History("t").Others, 0)
			is.Equal(len(l.restarts.listed)+len(l.restarts.byAddress)+len(l.restarts.crashes), 0)
		})
	}
}

// TestLossOfListedRestart guards against one crash that counts twice, once by the list and
// once by the report of its holder, and so clears the task.
func TestLossOfListedRestart(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.ObserveList(now, []Boot{{Endpoint: "e", Address: address, StartedAt: boot}})
	l.ObserveList(now, []Boot{{Endpoint: "e", Address: address, StartedAt: now}})
	is.Equal(l.History("t").Others, 1)
	loss := lossOf("e", now, "t")
	loss.State = Proved
	is.True(l.Record(loss))
	is.Equal(l.History("t"), History{Losses: 1, Proved: 1, UnderWay: 1, Alone: 1, Last: "e", LastAt: now})
	is.Equal(len(l.Restarts()), 0)
}

// TestRestartsAreMergedAndBounded checks that peers' reports of crashes without runs are
// counted once and that their number is bounded.
func TestRestartsAreMergedAndBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	loss := lossOf("e", now)
	loss.State = Proved
	is.True(l.Record(loss))
	is.True(!l.Record(loss))
	is.Equal(l.History("t").Others, 1)
	for i := range 2 * maxLosses {
		loss.Endpoint = strconv.Itoa(i)
		l.Record(loss)
	}
	is.Equal(l.History("t").Others, maxLosses)
	is.Equal(len(l.Losses()), 0)
}

// TestRestartAfterUnchangedList guards against a crash of an idle endpoint that is not
// counted because no list came for a minute: the driver passes a list only if it has changed.
func TestRestartAfterUnchangedList(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.ObserveList(now, []Boot{{Endpoint: "e", Address: address, StartedAt: boot}})
	crashedAt := now.Add(lossTTL + time.Second)
	for at := now; at.Before(crashedAt); at = at.Add(50 * time.Millisecond) {
		l.Expire(at)
	}
	l.ObserveList(crashedAt, []Boot{{Endpoint: "e", Address: address, StartedAt: crashedAt}})
	is.Equal(l.History("t").Others, 1)
}

// TestRestartAfterWithdrawnLoss guards against a crash of an idle endpoint that is not
// counted because an earlier loss of the same boot was withdrawn.
func TestRestartAfterWithdrawnLoss(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.ObserveList(now, []Boot{{Endpoint: "e", Address: address, StartedAt: boot}})
	l.Record(lossOf("e", now, "u"))
	is.Equal(len(l.ObserveAnswer(now.Add(2*time.Second), now.Add(time.Second), "e", address, boot)), 1) // the same boot
	crashedAt := now.Add(10 * time.Second)
	l.ObserveList(crashedAt, []Boot{{Endpoint: "e", Address: address, StartedAt: crashedAt}})
	is.Equal(l.History("t").Others, 1)
}
