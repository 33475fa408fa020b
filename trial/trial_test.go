package trial

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

func TestRun(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(Run(context.Background(), Options{Rounds: 3}, &out))
	for _, part := range []string{
		"corner-sweep.json, class sweep",
		"filing-fees.json, class payment",
		`fee-wor-2202 {"docket":"WOR-2202"`,
		"no task was started twice",
	} {
		is.True(strings.Contains(out.String(), part))
	}
}

// TestCheckFindsWrongAnswers guards against a jobReply.check that accepts
// wrong answers.
func TestCheckFindsWrongAnswers(t *testing.T) {
	is := is.New(t)
	examples, err := readJobs()
	is.NoErr(err)
	e := examples[0]
	var right jobReply
	right.State = "complete"
	right.Tasks = make([]taskReply, len(e.wantAnswers))
	for i, answer := range e.wantAnswers {
		right.Tasks[i].Answer = answer
	}
	is.NoErr(right.check(e))

	wrong := right
	wrong.Tasks = append([]taskReply{}, right.Tasks...)
	wrong.Tasks[3].Answer = right.Tasks[4].Answer
	is.True(wrong.check(e) != nil) // answers in the wrong order
	wrong = right
	wrong.Tasks = right.Tasks[1:]
	is.True(wrong.check(e) != nil) // one answer is missing
	wrong = right
	wrong.State = "failed"
	is.True(wrong.check(e) != nil)
}

// TestChangesInARow guards against rejected configuration changes when a script
// sends several in a row, the rest after the instance shows the first. Each
// change is based on the version made by the previous one.
func TestChangesInARow(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, err := startCluster(ctx, log.NewNopLogger())
	is.NoErr(err)
	_, err = c.change(ctx, "/v1/teams/first", struct{}{})
	is.NoErr(err)
	is.NoErr(c.retry(ctx, func(ctx context.Context) error {
		reply, err := c.operators[0].Call(ctx, http.MethodGet, "/v1/teams", nil, nil)
		if err == nil && !bytes.Contains(reply.Body, []byte("first")) {
			err = errors.New("the team is not shown")
		}
		return err
	}))
	for _, name := range []string{"a", "b", "c", "d"} {
		_, err := c.change(ctx, "/v1/teams/"+name, struct{}{})
		is.NoErr(err)
	}
	is.NoErr(c.stop())
}
