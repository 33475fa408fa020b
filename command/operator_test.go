package command

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/operator"
	"github.com/lovagecrank/lovagecrank/team"
	"github.com/matryer/is"
)

// fakeFleet has one class, team, instance and endpoint, and records the last
// change.
type fakeFleet struct{ change configuration.Change }

func (f *fakeFleet) Configuration(context.Context) (configuration.Document, error) {
	return configuration.Document{
		Version: 7,
		Classes: []class.Class{{Name: "payment", Target: time.Second, DurableAnswers: true}},
		Teams:   []team.Team{{Name: "filings", ConcurrentTasks: 5}},
	}, nil
}

func (f *fakeFleet) Change(_ context.Context, c configuration.Change) (configuration.Document, error) {
	if len(c.DeleteTeams) > 0 && c.DeleteTeams[0] == "doubtful" {
		return configuration.Document{}, fault.New(fault.ChangeUnknown, "")
	}
	if c.Base != 0 && c.Base != 7 {
		return configuration.Document{}, fault.New(fault.Conflict, "version 7 is in force")
	}
	f.change = c
	return configuration.Document{Version: 8}, nil
}

func (f *fakeFleet) Classes(context.Context) ([]operator.ClassStatus, error) {
	c := operator.ClassStatus{Class: class.Class{Name: "payment", Target: time.Second}}
	return []operator.ClassStatus{c}, nil
}

func (f *fakeFleet) Teams(context.Context) ([]operator.TeamStatus, error) {
	return []operator.TeamStatus{{Team: team.Team{Name: "filings"}}}, nil
}

func (f *fakeFleet) Instances(context.Context) ([]operator.InstanceStatus, error) {
	i := operator.InstanceStatus{Info: instance.Info{Ref: instance.Ref{ID: "entry-1"}}, Self: true}
	return []operator.InstanceStatus{i}, nil
}

func (f *fakeFleet) Endpoints(context.Context) ([]operator.EndpointStatus, error) {
	e := operator.EndpointStatus{Info: endpoint.Info{ID: "w-1"}, State: "ejected", Reason: "fails everything"}
	return []operator.EndpointStatus{e}, nil
}

func (f *fakeFleet) Explain(_ context.Context, id string) (operator.Explanation, error) {
	if id != "known" {
		return operator.Explanation{}, fault.New(fault.NotFound, "%s", id)
	}
	return operator.Explanation{Steps: []operator.Step{{Kind: "waited", Reason: "no slot"}}}, nil
}

func TestOperatorCommands(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		status int
		// out is a substring of standard output, or of standard error if the
		// status is not 0.
		out string
	}{
		{"classes", []string{"class", "list"}, statusOK, "payment"},
		{"classes as JSON", []string{"class", "list", "-output", "json"}, statusOK, `"target_ms": 1000`},
		{"class", []string{"class", "show", "payment"}, statusOK, "target 1s"},
		{"unknown class", []string{"class", "show", "none"}, statusFailed, "class list"},
		{"new class without target", []string{"class", "set", "sweep"}, statusFailed, "target"},
		{"new class", []string{"class", "set", "-target", "3s", "sweep"}, statusOK, "version 8"},
		{"target is not a duration", []string{"class", "set", "-target", "soon", "sweep"}, statusUsageError, "invalid value"},
		{"stale change", []string{"class", "set", "-target", "3s", "-expected-version", "6", "payment"}, statusFailed, "LC1017"},
		{"delete class", []string{"class", "delete", "-expected-version", "7", "payment"}, statusOK, "version 8"},
		{"teams", []string{"team", "list"}, statusOK, "no bound"},
		{"set team", []string{"team", "set", "-starts-per-second", "2.5", "filings"}, statusOK, "version 8"},
		{"negative quota", []string{"team", "set", "-starts-per-second", "-1", "filings"}, statusUsageError, "negative"},
		{"quota is not a number", []string{"team", "set", "-starts-per-second", "NaN", "filings"}, statusUsageError, "negative"},
		{"quota is not finite", []string{"team", "set", "-starts-per-second", "Inf", "filings"}, statusUsageError, "finite"},
		{"delete team", []string{"team", "delete", "filings"}, statusOK, "version 8"},
		{"outcome unknown", []string{"team", "delete", "-change-id", "c-9", "doubtful"}, statusFailed, "the id c-9"},
		{"instances", []string{"instance", "list"}, statusOK, "entry-1 (this)"},
		{"endpoints", []string{"endpoint", "list"}, statusOK, "fails everything"},
		{"explain", []string{"job", "explain", "known"}, statusOK, "no slot"},
		{"explain unknown", []string{"job", "explain", "unknown"}, statusFailed, "LC1016"},
	}
	server := httptest.NewServer(operator.NewHandler(operator.Config{Service: &fakeFleet{}}))
	defer server.Close()
	address := []string{"-address", server.Listener.Addr().String()}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			args := append(append(append([]string{}, tt.args[:2]...), address...), tt.args[2:]...)
			status, out, errs := run(t, args...)
			is.Equal(status, tt.status)
			if status != statusOK {
				out = errs
			}
			is.True(strings.Contains(out, tt.out))
		})
	}
}

// TestSetKeepsOtherFields checks that setting one field of a class or a team
// leaves the others unchanged.
func TestSetKeepsOtherFields(t *testing.T) {
	is := is.New(t)
	fleet := &fakeFleet{}
	server := httptest.NewServer(operator.NewHandler(operator.Config{Service: fleet}))
	defer server.Close()
	address := server.Listener.Addr().String()

	status, _, _ := run(t, "class", "set", "-address", address, "-target", "3s", "-change-id", "c-1", "payment")
	is.Equal(status, statusOK)
	is.Equal(fleet.change.ID, "c-1")
	is.Equal(fleet.change.SetClasses, []class.Class{{Name: "payment", Target: 3 * time.Second, DurableAnswers: true}})

	status, _, _ = run(t, "team", "set", "-address", address, "-starts-per-second", "9", "filings")
	is.Equal(status, statusOK)
	is.Equal(fleet.change.SetTeams, []team.Team{{Name: "filings", ConcurrentTasks: 5, StartsPerSecond: 9}})

	status, _, errs := run(t, "team", "set", "-address", "127.0.0.1:1", "-change-id", "c-2", "filings")
	is.Equal(status, statusFailed)
	is.True(strings.Contains(errs, "-change-id c-2")) // the error says how to repeat the change
}
