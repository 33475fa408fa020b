package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
)

// TestConfigurationRequests tests when a configuration is requested, and from whom.
func TestConfigurationRequests(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	a, b, c := instance.Ref{ID: "a"}, instance.Ref{ID: "b"}, instance.Ref{ID: "c"}
	var q configurationRequests
	last := func(n int) int { return n - 1 }
	next := func(after time.Duration, inForce uint64, readable bool) string {
		peer, _ := q.next(start.Add(after), inForce, readable, last)
		return peer.ID
	}
	is.Equal(next(0, 0, true), "") // nobody has one
	q.report(start, a, 7)
	q.report(start, b, 7)
	q.report(start, c, 6)
	is.Equal(next(50*time.Millisecond, 6, false), "") // more peers may report it
	is.Equal(next(lostStoreGrace, 6, true), "")       // the own read shows it soon
	is.Equal(next(lostStoreGrace, 7, false), "")      // it is in force
	is.Equal(next(lostStoreGrace, 6, false), "b")     // the store can't be read
	is.Equal(next(configurationGrace, 6, true), "")   // b is asked
	is.Equal(next(lostStoreGrace+configurationRequestTimeout, 6, true), "a")
	is.Equal(next(time.Minute, 6, true), "") // all were asked
	q.report(start.Add(time.Minute), b, 8)
	is.Equal(next(time.Minute+configurationGrace-1, 6, true), "")
	is.Equal(next(time.Minute+configurationGrace, 6, true), "b")
	// In force within two seconds, even if the first peer asked does not answer.
	is.True(configurationGrace+2*configurationRequestTimeout < 1500*time.Millisecond)
}
