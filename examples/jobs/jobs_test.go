package jobs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovagecrank/lovagecrank/standin"
	"github.com/matryer/is"
)

// TestAnswers compares the answers to the example jobs with the files in
// testdata, which have one answer per line. A separate program computed them
// with closed-form formulas.
func TestAnswers(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := Read(name)
			is.NoErr(err)
			var j struct {
				Tasks []struct {
					TaskID  string          `json:"task_id"`
					Payload json.RawMessage `json:"payload"`
				} `json:"tasks"`
			}
			is.NoErr(json.Unmarshal(data, &j))
			var lines strings.Builder
			for _, task := range j.Tasks {
				answer, failed := standin.Work(task.Payload)
				is.True(!failed)
				lines.WriteString(task.TaskID + " " + string(answer) + "\n")
			}
			want, err := os.ReadFile(filepath.Join("testdata", strings.TrimSuffix(name, ".json")+".txt"))
			is.NoErr(err)
			is.Equal(lines.String(), string(want))
		})
	}
}
