package caller

import (
	"encoding/json"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/task"
)

type (
	openAPI struct {
		Paths      map[string]map[string]any `yaml:"paths"`
		Components struct {
			Schemas map[string]schema `yaml:"schemas"`
		} `yaml:"components"`
	}

	schema struct {
		Type       string            `yaml:"type"`
		Reference  string            `yaml:"$ref"`
		Enum       []string          `yaml:"enum"`
		Properties map[string]schema `yaml:"properties"`
		Items      *schema           `yaml:"items"`
	}
)

func readOpenAPI(t *testing.T) openAPI {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile("../docs/openapi.yaml")
	is.NoErr(err)
	var doc openAPI
	is.NoErr(yaml.Unmarshal(data, &doc))
	return doc
}

// propertyNames returns the sorted names of a schema's properties.
func (d openAPI) propertyNames(name string) []string {
	return slices.Sorted(maps.Keys(d.Components.Schemas[name].Properties))
}

// TestOpenAPIRoutes checks that the documented paths are the handler's routes.
func TestOpenAPIRoutes(t *testing.T) {
	is := is.New(t)
	var documented, served []string
	for path, methods := range readOpenAPI(t).Paths {
		for method := range methods {
			if method != "parameters" {
				documented = append(documented, strings.ToUpper(method)+" "+path)
			}
		}
	}
	parameter := regexp.MustCompile(`:(\w+)`)
	for _, r := range (&handler{}).routes() {
		served = append(served, r.Method+" "+parameter.ReplaceAllString(r.Path, "{$1}"))
	}
	slices.Sort(documented)
	slices.Sort(served)
	is.Equal(documented, served)
}

// TestOpenAPIErrors checks that the documented kinds of errors are those of package
// fault.
func TestOpenAPIErrors(t *testing.T) {
	is := is.New(t)
	documented := readOpenAPI(t).Components.Schemas["Error"].Properties["kind"].Enum
	var kinds []string
	for _, e := range fault.Entries() {
		kinds = append(kinds, kindOfCode(e.Code))
	}
	is.Equal(documented, kinds) // both are in the order of the codes
}

func kindOfCode(code string) string {
	for k := fault.Internal; ; k++ {
		if row := k.Row(); row.Code == code {
			return row.Name
		}
	}
}

// TestOpenAPIRequest checks that a job with every documented field is decoded, and
// that all fields of requests are documented.
func TestOpenAPIRequest(t *testing.T) {
	is := is.New(t)
	doc := readOpenAPI(t)
	values := map[string]any{
		"submission_id": "s-1", "class": "c", "team": "t", "deadline": "5s", "task_id": "a", "kind": "k", "payload": 1,
		"idempotent": true, "cores": 1.5, "memory_bytes": 1, "accelerators": 1, "run_time_ms": 1.5, "count": 1,
	}
	object := func(name string) map[string]any {
		fields := map[string]any{}
		for _, field := range doc.propertyNames(name) {
			fields[field] = values[field]
		}
		return fields
	}
	body := object("Job")
	body["tasks"] = []any{object("Task")}
	is.Equal(doc.propertyNames("Task"), jsonNames[wireTask](t))
	is.Equal(doc.propertyNames("IDRequest"), jsonNames[wireIDRequest](t))
	data, err := json.Marshal(body)
	is.NoErr(err)
	j, err := decodeJob(strings.NewReader(string(data)), limits, time.Now())
	is.NoErr(err)
	is.Equal(j.SubmissionID, "s-1")
	is.Equal(len(j.Tasks), 1)
}

// jsonNames returns the sorted JSON names of a wire type's fields.
func jsonNames[T any](t *testing.T) []string {
	t.Helper()
	var zero T
	data, err := json.Marshal(zero)
	is.New(t).NoErr(err)
	var fields map[string]any
	is.New(t).NoErr(json.Unmarshal(data, &fields))
	return slices.Sorted(maps.Keys(fields))
}

// TestOpenAPIReply checks that the documented fields of replies are exactly those
// that are written, and that all states are documented.
func TestOpenAPIReply(t *testing.T) {
	is := is.New(t)
	doc := readOpenAPI(t)
	r := job.Result{
		SubmissionID: "s-1", State: job.Failed, Accepted: time.Now(), Finished: time.Now(),
		Fault: fault.New(fault.TaskFailed, "x").WithRetryAfter(time.Second),
		Tasks: []task.Outcome{{TaskID: "a", State: task.Answered, Failed: true, Endpoint: "w", Answer: []byte("1")}},
	}
	var reply map[string]any
	is.NoErr(json.Unmarshal(appendResult(nil, r), &reply))
	is.Equal(slices.Sorted(maps.Keys(reply)), doc.propertyNames("Result"))
	is.Equal(slices.Sorted(maps.Keys(reply["error"].(map[string]any))), doc.propertyNames("Error"))
	is.Equal(slices.Sorted(maps.Keys(reply["tasks"].([]any)[0].(map[string]any))), doc.propertyNames("TaskResult"))

	states := doc.Components.Schemas["Result"].Properties["state"].Enum
	for s := job.Running; s <= job.NotRun; s++ {
		is.True(slices.Contains(states, s.String()))
	}
	taskStates := doc.Components.Schemas["TaskResult"].Properties["state"].Enum
	for s := task.Waiting; s <= task.Unknown; s++ {
		is.True(slices.Contains(taskStates, s.String()))
	}
}

// TestOpenAPIReferences checks that every reference in the document resolves.
func TestOpenAPIReferences(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../docs/openapi.yaml")
	is.NoErr(err)
	var doc map[string]any
	is.NoErr(yaml.Unmarshal(data, &doc))
	for _, m := range regexp.MustCompile(`"#/([^"]+)"`).FindAllStringSubmatch(string(data), -1) {
		var node any = doc
		for part := range strings.SplitSeq(m[1], "/") {
			node = node.(map[string]any)[part]
		}
		is.True(node != nil) // the reference resolves
	}
}
