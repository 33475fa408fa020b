package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/lovagecrank/lovagecrank/catalogue"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the generated pages under docs")

// run runs a command line and returns its exit status and output.
func run(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	status = Run(context.Background(), args, strings.NewReader(""), &out, &errs)
	return status, out.String(), errs.String()
}

func TestExitStatus(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		status int
	}{
		{"no command", nil, statusUsageError},
		{"unknown command", []string{"fly"}, statusUsageError},
		{"help", []string{"help"}, statusOK},
		{"help of a command", []string{"help", "explain"}, statusOK},
		{"group alone", []string{"job"}, statusUsageError},
		{"unknown command of a group", []string{"job", "fly"}, statusUsageError},
		{"help of a group", []string{"help", "job"}, statusOK},
		{"flag for help of a group", []string{"job", "-h"}, statusOK},
		{"help of an unknown command", []string{"help", "fly"}, statusUsageError},
		{"flag for help", []string{"version", "-h"}, statusOK},
		{"unknown flag", []string{"version", "-colour"}, statusUsageError},
		{"unknown format", []string{"version", "-output", "xml"}, statusUsageError},
		{"missing argument", []string{"explain"}, statusUsageError},
		{"excess argument", []string{"version", "now"}, statusUsageError},
		{"explain an error", []string{"explain", "lc1007"}, statusOK},
		{"explain a kind", []string{"explain", "over_quota"}, statusOK},
		{"explain an event", []string{"explain", "LC2032"}, statusOK},
		{"explain a metric", []string{"explain", "lovagecrank_ready"}, statusOK},
		{"check an example", []string{"check", "-config", "../examples/voltmesh.yaml"}, statusOK},
		{"check a directory", []string{"check", "-config", "."}, statusFailed},
		{"check without file", []string{"check"}, statusUsageError},
		{"serve a directory", []string{"serve", "-config", "."}, statusFailed},
		{"serve without file", []string{"serve"}, statusUsageError},
		{"load without file", []string{"load"}, statusUsageError},
		{"load a directory", []string{"load", "-config", "."}, statusFailed},
		{"trial without rounds", []string{"trial", "-rounds", "0"}, statusUsageError},
		{"endpoint without slots", []string{"standin", "endpoint", "-slots", "0"}, statusUsageError},
		{"address without port", []string{"standin", "platform", "-listen", "127.0.0.1"}, statusUsageError},
		{"explain unknown code", []string{"explain", "LC9999"}, statusFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			status, _, _ := run(t, tt.args...)
			is.Equal(status, tt.status)
		})
	}
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, c := range commands() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, out, _ := run(t, append(strings.Fields(c.name), "-h")...)
			is.Equal(status, statusOK)
			is.True(strings.Contains(out, c.example))
			is.True(strings.HasPrefix(c.example, "lovagecrank "+c.name))
			is.True(strings.HasSuffix(c.text, "."))
			is.True(!strings.HasSuffix(c.title, "."))
		})
	}
}

func TestVersionAsJSON(t *testing.T) {
	is := is.New(t)
	status, out, _ := run(t, "version", "-output", "json")
	is.Equal(status, statusOK)
	var v versionView
	is.NoErr(json.Unmarshal([]byte(out), &v))
	is.Equal(v.Version, release)
}

// TestPages checks that the generated pages match their tables. The -update
// flag rewrites the pages.
func TestPages(t *testing.T) {
	tests := []struct{ file, content string }{
		{"../docs/COMMANDS.md", markdown()},
		{"../docs/ERRORS.md", catalogue.Markdown("Errors", "Derived from the table in package `fault`. `lovagecrank explain CODE` prints one of them.", fault.Entries())},
		{"../docs/EVENTS.md", catalogue.Markdown("Log events", "Derived from the table in package `event`. Each log line carries one of these codes; `lovagecrank explain CODE` prints one of them.", event.Entries())},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			is := is.New(t)
			if *update {
				is.NoErr(os.WriteFile(tt.file, []byte(tt.content), 0o644))
			}
			got, err := os.ReadFile(tt.file)
			is.NoErr(err)
			is.Equal(string(got), tt.content) // run: go test ./command -update
		})
	}
}

func TestCodesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, e := range append(fault.Entries(), event.Entries()...) {
		is.True(!seen[e.Code]) // duplicate code
		seen[e.Code] = true
	}
}

// TestTroubleshootingCodes checks that the page names only existing codes and
// covers every event that is not informational.
func TestTroubleshootingCodes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/TROUBLESHOOTING.md")
	is.NoErr(err)
	codes := regexp.MustCompile(`LC[0-9]{4}`).FindAllString(string(page), -1)
	is.True(len(codes) > 0)
	for _, code := range codes {
		_, ok := findEntry(code)
		is.True(ok) // the page names a code that is in no table
	}
	for _, e := range event.Entries() {
		if e.Severity != catalogue.Info {
			is.True(slices.Contains(codes, e.Code)) // the page does not cover this event
		}
	}
}

// TestLinks checks that the targets of all relative links in the pages exist.
func TestLinks(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	is.New(t).NoErr(err)
	pages = append(pages, "../README.md", "../CONTRIBUTING.md", "../CHANGELOG.md")
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for _, page := range pages {
		t.Run(page, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(page)
			is.NoErr(err)
			for _, m := range link.FindAllStringSubmatch(string(text), -1) {
				_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
				is.NoErr(err) // broken link
			}
		})
	}
}
