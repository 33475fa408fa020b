package worker

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
)

// TestLargeReplyThatIsNoAnswer tests that a reply beyond the limit proves that the
// task ran only if it begins as an endpoint's reply does, with its outcome.
func TestLargeReplyThatIsNoAnswer(t *testing.T) {
	tests := []struct{ name, body string }{
		{"a page of a proxy", "<html>" + strings.Repeat("x", 2000)},
		{"not run", `{"outcome":"not_run","reason":"full","answer":"` + strings.Repeat("x", 2000) + `"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, e := newTestClient(t, replyWith(200, tt.body))
			is.Equal(c.Start(t.Context(), e, newRequest(0)).Outcome, endpoint.Lost)
		})
	}
}
