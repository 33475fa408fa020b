package logline

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// A flood of ordinary lines does not push out failures, and what is dropped is
// told.
func TestFlood(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	w := NewWriter("instance", "a")
	for range 3 * ordinaryLines {
		w.Write(now, event.Record{Kind: event.JobAnswered, Subject: "j"})
	}
	w.Write(now, event.Record{Kind: event.JobFailed, Subject: "lost one"})
	text := string(w.take(now))
	is.Equal(strings.Count(text, "code=LC2069"), ordinaryLines)
	is.True(strings.Contains(text, `subject="lost one"`))
	is.True(strings.Contains(text, "code=LC2070"))
	is.True(strings.Contains(text, "detail=8192"))
	is.Equal(len(w.take(now)), 0) // nothing is written twice
}
