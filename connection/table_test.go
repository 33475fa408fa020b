package connection

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

// TestLongestWaitingGivesWay: connections without a request kept new ones out.
func TestLongestWaitingGivesWay(t *testing.T) {
	tests := []struct {
		name string
		// change is called between the first three connections, added at 1, 2 and 3, and
		// the fourth.
		change func(*Table[string], []*Entry[string])
		// want is the connection that gives way, or empty if none does; refused means
		// that the fourth is not added.
		want    string
		refused bool
	}{
		{name: "none has sent anything", want: "a"},
		{name: "the first is served", change: func(_ *Table[string], e []*Entry[string]) { e[0].Serve() }, want: "b"},
		{name: "the first has just been answered", change: func(_ *Table[string], e []*Entry[string]) {
			e[0].Serve()
			e[0].Wait(at(4))
		}, want: "b"},
		{name: "two are being answered", change: func(_ *Table[string], e []*Entry[string]) {
			e[0].Wait(at(6))
			e[1].Wait(at(5))
			e[2].Wait(at(6))
		}, want: "b"},
		{name: "all are being answered", change: func(_ *Table[string], e []*Entry[string]) {
			for _, entry := range e {
				entry.Wait(at(6))
			}
		}, refused: true},
		{name: "only the last waits", change: func(_ *Table[string], e []*Entry[string]) {
			e[0].Serve()
			e[1].Serve()
		}, want: "c"},
		{name: "all are served", change: func(_ *Table[string], e []*Entry[string]) {
			for _, entry := range e {
				entry.Serve()
			}
		}, refused: true},
		{name: "the second is closed", change: func(table *Table[string], e []*Entry[string]) {
			table.Remove(e[1])
			table.Remove(e[1])
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable[string](3)
			var entries []*Entry[string]
			for i, name := range []string{"a", "b", "c"} {
				e, displaced := table.Add(at(i+1), name)
				is.True(e != nil && displaced == nil)
				entries = append(entries, e)
			}
			if tt.change != nil {
				tt.change(table, entries)
			}
			e, displaced := table.Add(at(5), "d")
			is.Equal(e == nil, tt.refused)
			is.Equal(displaced != nil, tt.want != "")
			if displaced != nil {
				is.Equal(displaced.Conn, tt.want)
				is.True(!displaced.Serve()) // its request must not be served
				displaced.Wait(at(6))
				table.Remove(displaced)
			}
			c := table.Count()
			is.Equal(c.Waiting+c.Serving, 3)
			is.Equal(c.Limit, 3)
		})
	}
}

// TestServedIsNeverDisplaced checks, with the race detector, that a connection is either
// served or displaced, whatever happens at the same moment.
func TestServedIsNeverDisplaced(t *testing.T) {
	const limit, clients, rounds = 4, 16, 500
	is := is.New(t)
	table := NewTable[*int](limit)
	var mu sync.Mutex
	closed := map[*Entry[*int]]bool{}
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for i := range rounds {
				e, displaced := table.Add(at(i), new(int))
				if displaced != nil {
					mu.Lock()
					closed[displaced] = true
					mu.Unlock()
				}
				if e == nil {
					continue
				}
				if e.Serve() {
					mu.Lock()
					is.True(!closed[e])
					mu.Unlock()
					c := table.Count()
					is.True(c.Serving >= 1 && c.Waiting+c.Serving <= limit)
					e.Wait(at(i))
				}
				table.Remove(e)
			}
		})
	}
	group.Wait()
	is.Equal(table.Count(), Count{Limit: limit})
}
