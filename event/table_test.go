package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/event"
)

// TestEveryKindIsDocumented tests that each kind of event has a complete entry
// and a section of docs/EVENTS.md.
func TestEveryKindIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	is.New(t).NoErr(err)
	seen := map[string]bool{}
	for _, e := range event.Entries() {
		t.Run(e.Code, func(t *testing.T) {
			is := is.New(t)
			is.True(!seen[e.Code])
			seen[e.Code] = true
			is.True(e.Title != "" && e.Text != "" && e.Remedy != "")
			is.True(strings.Contains(string(page), "## "+e.Code+": "+e.Title+"\n\n"+e.Text+"\n"))
		})
	}
}

// TestEveryKindIsEmitted tests that the program uses each kind of event.
func TestEveryKindIsEmitted(t *testing.T) {
	is := is.New(t)
	used := selectorsOf(t, "..", "event")
	for _, name := range kindNames(t) {
		t.Log(name)
		is.True(used[name])
	}
}

// kindNames returns the names of the constants in table.go.
func kindNames(t *testing.T) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "table.go", nil, 0)
	is.New(t).NoErr(err)
	var names []string
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.CONST {
			continue
		}
		for _, s := range g.Specs {
			if n := s.(*ast.ValueSpec).Names[0]; n.IsExported() {
				names = append(names, n.Name)
			}
		}
	}
	is.New(t).Equal(len(names), len(event.Entries()))
	return names
}

// selectorsOf returns the names that the Go files below the directory, other
// than tests, select from a package.
func selectorsOf(t *testing.T, directory, pkg string) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	err := filepath.WalkDir(directory, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := s.X.(*ast.Ident); ok && x.Name == pkg {
					used[s.Sel.Name] = true
				}
			}
			return true
		})
		return nil
	})
	is.New(t).NoErr(err)
	return used
}
