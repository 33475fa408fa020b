package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/team"
)

// fakeService is a Service that records the requested changes.
type fakeService struct {
	document configuration.Document
	changes  []configuration.Change
	err      error
}

func (f *fakeService) Configuration(context.Context) (configuration.Document, error) {
	return f.document, nil
}

func (f *fakeService) Change(_ context.Context, c configuration.Change) (configuration.Document, error) {
	f.changes = append(f.changes, c)
	return configuration.Document{Version: f.document.Version + 1}, f.err
}

func (f *fakeService) Classes(context.Context) ([]ClassStatus, error) {
	return []ClassStatus{{Class: f.document.Classes[0], Answered: 10, WithinTarget: 9, P99: 1500 * time.Microsecond}}, f.err
}

func (f *fakeService) Teams(context.Context) ([]TeamStatus, error) {
	return []TeamStatus{{Team: f.document.Teams[0], Running: 3}}, f.err
}

func (f *fakeService) Instances(context.Context) ([]InstanceStatus, error) {
	return []InstanceStatus{{Info: instance.Info{Ref: instance.Ref{ID: "i"}}, Self: true}, {}}, f.err
}

func (f *fakeService) Endpoints(context.Context) ([]EndpointStatus, error) {
	return []EndpointStatus{{Info: endpoint.Info{ID: "w"}, State: "ejected", Reason: "failing", Speed: 0.5}}, f.err
}

func (f *fakeService) Explain(_ context.Context, id string) (Explanation, error) {
	return Explanation{Steps: []Step{{Kind: "sent", Endpoint: id}}}, f.err
}

func newFakeService() *fakeService {
	return &fakeService{document: configuration.Document{
		Version: 7,
		Classes: []class.Class{{Name: "urgent", Target: time.Second, DurableAnswers: true}},
		Teams:   []team.Team{{Name: "sofia", ConcurrentTasks: 5, StartsPerSecond: 2}},
	}}
}

func request(t *testing.T, f *fakeService, method, path, body string) (int, map[string]any) {
	is := is.New(t)
	w := httptest.NewRecorder()
	NewHandler(Config{Service: f}).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	var fields map[string]any
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &fields)) // every reply is JSON
	return w.Code, fields
}

func TestChanges(t *testing.T) {
	urgent := func(target time.Duration, durable bool) []class.Class {
		return []class.Class{{Name: "urgent", Target: target, DurableAnswers: durable}}
	}
	tests := []struct {
		name, method, path, body string
		want                     configuration.Change
	}{
		{"complete class, any version", "PUT", "/v1/classes/urgent", `{"target":"2s","durable_answers":false,"change_id":"x"}`,
			configuration.Change{ID: "x", SetClasses: urgent(2*time.Second, false)}},
		{"target only, based on the version that was read", "PUT", "/v1/classes/urgent", `{"target":"2s","change_id":"x"}`,
			configuration.Change{ID: "x", Base: 7, SetClasses: urgent(2*time.Second, true)}},
		{"expected version", "PUT", "/v1/classes/urgent", `{"target":"2s","change_id":"x","expected_version":5}`,
			configuration.Change{ID: "x", Base: 5, SetClasses: urgent(2*time.Second, true)}},
		{"new class", "PUT", "/v1/classes/new", `{"target":"2s","change_id":"x"}`,
			configuration.Change{ID: "x", Base: 7, SetClasses: []class.Class{{Name: "new", Target: 2 * time.Second}}}},
		{"deleted class", "DELETE", "/v1/classes/urgent?change_id=x&expected_version=6", "",
			configuration.Change{ID: "x", Base: 6, DeleteClasses: []string{"urgent"}}},
		{"part of a quota", "PUT", "/v1/teams/sofia", `{"concurrent_tasks":9,"change_id":"x"}`,
			configuration.Change{ID: "x", Base: 7, SetTeams: []team.Team{{Name: "sofia", ConcurrentTasks: 9, StartsPerSecond: 2}}}},
		{"deleted team", "DELETE", "/v1/teams/sofia?change_id=x", "",
			configuration.Change{ID: "x", DeleteTeams: []string{"sofia"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeService()
			status, fields := request(t, f, tt.method, tt.path, tt.body)
			is.Equal(status, 200)
			is.Equal(fields["version"], 8.0)
			is.Equal(fields["change_id"], "x")
			is.Equal(f.changes, []configuration.Change{tt.want})
		})
	}
}

func TestChangeIDIsGenerated(t *testing.T) {
	is := is.New(t)
	f := newFakeService()
	_, fields := request(t, f, "PUT", "/v1/classes/urgent", `{"target":"2s"}`)
	is.True(f.changes[0].ID != "")
	is.Equal(fields["change_id"], f.changes[0].ID)
}

func TestBadChanges(t *testing.T) {
	tests := []struct{ name, method, path, body, reason string }{
		{"no target", "PUT", "/v1/classes/new", `{}`, "target: is missing"},
		{"target without unit", "PUT", "/v1/classes/urgent", `{"target":"5"}`, "not a duration"},
		{"unknown field", "PUT", "/v1/classes/urgent", `{"weight":5}`, "weight"},
		{"trailing garbage", "PUT", "/v1/classes/urgent", `{"target":"1s"}{}`, "goes on"},
		{"unsafe change id", "PUT", "/v1/classes/urgent", `{"target":"1s","change_id":"a b"}`, "change_id"},
		{"bad version", "DELETE", "/v1/classes/urgent?expected_version=-1", "", "expected_version"},
		{"large body", "PUT", "/v1/teams/sofia", `{"change_id":"` + strings.Repeat("x", maxBodyBytes) + `"}`, "exceeds"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeService()
			status, fields := request(t, f, tt.method, tt.path, tt.body)
			is.True(status >= 400)
			reason := fields["error"].(map[string]any)["reason"].(string)
			is.True(strings.Contains(reason, tt.reason))
			is.Equal(len(f.changes), 0)
		})
	}
}

func TestConflictNamesTheChange(t *testing.T) {
	is := is.New(t)
	f := newFakeService()
	f.err = fault.New(fault.Conflict, "version 8 (change y): class urgent set")
	status, fields := request(t, f, "PUT", "/v1/classes/urgent", `{"target":"2s"}`)
	is.Equal(status, http.StatusConflict)
	failure := fields["error"].(map[string]any)
	is.Equal(failure["kind"], "conflict")
	is.True(strings.Contains(failure["reason"].(string), "class urgent set"))
}

func TestQueries(t *testing.T) {
	tests := []struct{ path, list, field, want string }{
		{"/v1/classes", "classes", "within_target", "9"},
		{"/v1/classes", "classes", "target_ms", "1000"},
		{"/v1/teams", "teams", "running", "3"},
		{"/v1/instances", "instances", "store_reachable", "false"},
		{"/v1/endpoints", "endpoints", "reason", `"failing"`},
		{"/v1/submissions/s-1", "steps", "endpoint", `"s-1"`},
	}
	for _, tt := range tests {
		t.Run(tt.path+" "+tt.field, func(t *testing.T) {
			is := is.New(t)
			status, fields := request(t, newFakeService(), "GET", tt.path, "")
			is.Equal(status, 200)
			first := fields[tt.list].([]any)[0].(map[string]any)
			got, err := json.Marshal(first[tt.field])
			is.NoErr(err)
			is.Equal(string(got), tt.want)
		})
	}
	is := is.New(t)
	_, fields := request(t, newFakeService(), "GET", "/v1/configuration", "")
	is.Equal(fields["version"], 7.0)
	f := newFakeService()
	f.err = fault.New(fault.NotFound, "")
	status, _ := request(t, f, "GET", "/v1/submissions/s-1", "")
	is.Equal(status, 404)
}
