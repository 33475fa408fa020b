package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestJobLog checks that the lines about a job are collected from the logs of
// several instances and ordered by time, including lines to which a log
// collector has prepended fields.
func TestJobLog(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	is.NoErr(os.WriteFile(a, []byte(`ts=2026-12-04T10:00:00.200Z instance=a level=warning code=LC2041 event="Job failed" subject=5c0e detail="LC1012 \"x\": gone"
ts=2026-12-04T10:00:00.100Z instance=a level=info code=LC2069 event="Job answered" subject=other detail=complete
`), 0o600))
	is.NoErr(os.WriteFile(b, []byte(`  4.2 b ts=2026-12-04T10:00:00.100Z instance=b level=warning code=LC2063 event="Start not answered" subject=5c0e.0.0.1 detail="endpoint e"
not a line 5c0e
`), 0o600))
	var out, errs strings.Builder
	is.Equal(Run(t.Context(), []string{"explain", "-logs", a + "," + b, "5c0e"}, nil, &out, &errs), 0)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "LC2063"))
	is.True(strings.Contains(lines[1], "LC2041"))

	is.Equal(Run(t.Context(), []string{"explain", "-logs", a, "nobody"}, nil, &out, &errs), 1)
	is.Equal(Run(t.Context(), []string{"explain", "-logs", filepath.Join(dir, "none"), "x"}, nil, &out, &errs), 1)
	is.True(strings.Contains(errs.String(), "give the files of all instances"))
}
