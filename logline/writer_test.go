package logline

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// TestFullBuffer checks that ordinary lines beyond the limit do not displace
// failures, and that the number of dropped lines is reported.
func TestFullBuffer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	w := NewWriter("instance", "a")
	var reported []event.Record
	w.OnDropped = func(r event.Record) { reported = append(reported, r) }
	for range 3 * maxOrdinaryLines {
		w.Write(now, event.Record{Kind: event.JobAnswered, Subject: "j"})
	}
	w.Write(now, event.Record{Kind: event.JobFailed, Subject: "lost one"})
	text := string(w.drain(now))
	is.Equal(strings.Count(text, "code=LC2069"), maxOrdinaryLines)
	is.True(strings.Contains(text, `subject="lost one"`))
	is.True(strings.Contains(text, "code=LC2070"))
	is.True(strings.Contains(text, "detail=8192"))
	is.Equal(reported, []event.Record{{Kind: event.LinesDropped, Detail: "8192"}})
	is.Equal(len(w.drain(now)), 0) // nothing is written twice
	is.Equal(len(reported), 1)
}
