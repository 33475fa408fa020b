package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"
)

const maxFileBytes = 1 << 20

type (
	// Fault is one error in a settings file.
	Fault struct {
		File string
		// Line is the line number, from 1; zero means the file as a whole.
		Line int
		// Key is the path of the key, with its parts joined by dots. It may be
		// empty.
		Key string
		// Problem describes the error and how to correct it.
		Problem string
	}

	// Faults holds all errors of a settings file.
	Faults []Fault

	// reader reads the settings from the YAML nodes of a file.
	reader struct {
		file     string
		settings Settings
		// lines holds the line number of each key that the file sets.
		lines  map[string]int
		faults Faults
	}
)

// Error returns the file, the line, the key and the problem on one line.
func (f Fault) Error() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", location, f.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", location, f.Key, f.Problem)
}

// Error returns one line per fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is of type [Faults] if path is
// a directory, or if the file can be read but its content is not valid.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings file cannot be read; check the path: %w", err)
	}
	if info.IsDir() {
		return nil, Faults{{File: path, Problem: "is a directory; name the settings file in it"}}
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings file cannot be read; check its permissions: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("settings file cannot be read: %w", err)
	}
	return Parse(path, data)
}

// Parse reads and checks the content of a settings file. The name is that of the
// file in error messages. The error is of type [Faults].
func Parse(name string, data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, Faults{{File: name, Problem: fmt.Sprintf("is larger than %d bytes; name a settings file", maxFileBytes)}}
	}
	r := &reader{file: name, settings: Default(), lines: map[string]int{}}
	r.readDocument(data)
	if len(r.faults) == 0 {
		r.checkCombinations()
	}
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return &r.settings, nil
}

// addFault records a fault of the file.
func (r *reader) addFault(line int, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// readDocument reads the file, which must consist of one YAML document.
func (r *reader) readDocument(data []byte) {
	dec := yaml.NewDecoder(strings.NewReader(string(data)))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		r.addFault(0, "", "is empty; start with one of the files in examples/")
		return
	}
	if err != nil {
		r.addFault(0, "", "is not YAML: %s; correct the text", err)
		return
	}
	var second yaml.Node
	if !errors.Is(dec.Decode(&second), io.EOF) {
		r.addFault(second.Line, "", "has text after the first document; keep one document")
	}
	r.readNode("", doc.Content[0])
	if doc.Content[0].Kind == yaml.MappingNode {
		r.reportMissing()
	}
}

// readNode reads one value, or the group of keys below key. The empty key is the
// whole document.
func (r *reader) readNode(key string, n *yaml.Node) {
	if row, ok := findSetting(key); ok {
		if err := row.set(&r.settings, n); err != nil {
			r.addFault(n.Line, key, "%s", err)
		}
		return
	}
	if n.Kind != yaml.MappingNode {
		r.addFault(n.Line, key, "is not a group of keys; see docs/SETTINGS.md")
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		r.readEntry(key, n.Content[i], n.Content[i+1])
	}
}

// readEntry reads one key of a group and its value.
func (r *reader) readEntry(group string, name, value *yaml.Node) {
	key := name.Value
	if group != "" {
		key = group + "." + name.Value
	}
	if !isKnown(key) {
		r.addFault(name.Line, shorten(key), "is not a setting; remove it or correct its name%s", suggestion(key))
		return
	}
	if firstLine, seen := r.lines[key]; seen {
		r.addFault(name.Line, key, "is set a second time; keep this line or line %d", firstLine)
		return
	}
	r.lines[key] = name.Line
	r.readNode(key, value)
}

// reportMissing records a fault for each required setting that the file lacks.
func (r *reader) reportMissing() {
	for _, row := range table {
		if _, seen := r.lines[row.key]; row.required && !seen {
			r.addFault(0, row.key, "is missing; set it (%s)", row.syntax)
		}
	}
}

// findSetting returns the setting with the given key and reports whether there is
// one.
func findSetting(key string) (setting, bool) {
	for _, row := range table {
		if row.key == key {
			return row, true
		}
	}
	return setting{}, false
}

// isKnown reports whether the key is a setting or a group of settings.
func isKnown(key string) bool {
	for _, row := range table {
		if row.key == key || strings.HasPrefix(row.key, key+".") {
			return true
		}
	}
	return false
}

// suggestion returns a hint that names a setting whose last part equals that of
// the key. It is empty if there is none.
func suggestion(key string) string {
	last := key[strings.LastIndexByte(key, '.')+1:]
	for _, row := range table {
		if row.key[strings.LastIndexByte(row.key, '.')+1:] == last {
			return "; did you mean " + row.key + "?"
		}
	}
	return ""
}
