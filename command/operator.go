package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
)

// defaultOperator is the default address of an instance's operators' listener.
const defaultOperator = "127.0.0.1:7200"

func operatorFlags(fs *flag.FlagSet) *target { return targetFlags(fs, defaultOperator, "operators'") }

// query gets a path, decodes the reply into view and returns the reply's body.
func (t *target) query(ctx context.Context, path string, view any) (json.RawMessage, error) {
	reply, err := t.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	if err := reply.Err(); err != nil {
		return nil, err
	}
	return reply.Body, decode(reply.Body, view)
}

// listFlags returns a function that declares the flags of a list command. The
// command gets the path and prints the heading and one row per item.
func listFlags[T any](path, heading string, rows func(T, io.Writer)) func(fs *flag.FlagSet) action {
	return func(fs *flag.FlagSet) action {
		t, format := operatorFlags(fs), outputFlag(fs)
		return func(ctx context.Context, s streams, _ []string) error {
			var view T
			body, err := t.query(ctx, path, &view)
			if err != nil {
				return err
			}
			if *format == jsonFormat {
				return writeBody(s.out, body)
			}
			w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, heading)
			rows(view, w)
			return w.Flush()
		}
	}
}

type (
	// changeFlags are the flags of a command that changes the configuration.
	changeFlags struct {
		target          *target
		format          *format
		id              *string
		expectedVersion *uint64
	}

	// changeMetadata holds the fields that the request bodies of all changes
	// share.
	changeMetadata struct {
		ChangeID        string `json:"change_id"`
		ExpectedVersion uint64 `json:"expected_version,omitempty"`
	}

	// changeView is the reply to an accepted change.
	changeView struct {
		Version  uint64 `json:"version"`
		ChangeID string `json:"change_id"`
	}
)

func newChangeFlags(fs *flag.FlagSet) changeFlags {
	return changeFlags{
		target:          operatorFlags(fs),
		format:          outputFlag(fs),
		id:              fs.String("change-id", "", "identify the change by `ID`; a change repeated with the same id takes effect once; a new id is generated if absent"),
		expectedVersion: fs.Uint64("expected-version", 0, "refuse the change unless configuration `VERSION` is in force; 0 means any"),
	}
}

// metadata returns the change's id and expected version. It generates an id if
// none was given.
func (c changeFlags) metadata() changeMetadata {
	if *c.id == "" {
		*c.id = uuid.NewString()
	}
	return changeMetadata{ChangeID: *c.id, ExpectedVersion: *c.expectedVersion}
}

// put sends the change as a PUT request with a JSON body.
func (c changeFlags) put(ctx context.Context, s streams, path string, change any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return &usageError{message: "a number is not finite"}
	}
	return c.apply(ctx, s, http.MethodPut, path, body)
}

// delete sends the change as a DELETE request.
func (c changeFlags) delete(ctx context.Context, s streams, path string) error {
	f := c.metadata()
	query := url.Values{"change_id": {f.ChangeID}}
	if f.ExpectedVersion != 0 {
		query.Set("expected_version", strconv.FormatUint(f.ExpectedVersion, 10))
	}
	return c.apply(ctx, s, http.MethodDelete, path+"?"+query.Encode(), nil)
}

// apply sends a change and prints the accepted version. If the outcome is
// unknown, the error names the change id, so that the change can be repeated.
func (c changeFlags) apply(ctx context.Context, s streams, method, path string, body []byte) error {
	reply, err := c.target.call(ctx, method, path, nil, body)
	if err != nil {
		return fmt.Errorf("the change may have been accepted; repeat it with -change-id %s: %w", *c.id, err)
	}
	if err := reply.Err(); err != nil && reply.Status >= http.StatusInternalServerError {
		return fmt.Errorf("the change has the id %s: %w", *c.id, err)
	} else if err != nil {
		return err
	}
	var v changeView
	if err := decode(reply.Body, &v); err != nil {
		return err
	}
	if *c.format == jsonFormat {
		return writeBody(s.out, reply.Body)
	}
	_, err = fmt.Fprintf(s.out, "accepted as version %d\n", v.Version)
	return err
}

// isSet reports whether the flag was given on the command line.
func isSet(fs *flag.FlagSet, name string) bool {
	set := false
	fs.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
