package catalogue

import (
	"fmt"
	"strings"
)

// The severities of an entry, from least to most serious.
const (
	Info Severity = iota
	Warning
	Error
)

type (
	// Severity is how serious an entry is for an operator.
	Severity uint8

	// Entry documents one code.
	Entry struct {
		// Code identifies the entry, for example "LC1004". It never changes.
		Code string
		// Title is one line without a full stop.
		Title string
		// Text explains the entry in full sentences.
		Text string
		// Remedy is what the reader should do, in full sentences.
		Remedy string
		// Since is the first release that has the entry.
		Since string
		// Severity is how serious the entry is.
		Severity Severity
	}
)

// String returns the name of the severity in lower case.
func (s Severity) String() string {
	switch s {
	case Info:
		return "info"
	case Warning:
		return "warning"
	default:
		return "error"
	}
}

// Find returns the entry with the given code and reports whether there is one.
// It ignores case.
func Find(entries []Entry, code string) (Entry, bool) {
	for _, e := range entries {
		if strings.EqualFold(e.Code, code) {
			return e, true
		}
	}
	return Entry{}, false
}

// Explain returns the text that the explain command prints for an entry.
func (e Entry) Explain() string {
	return fmt.Sprintf("%s: %s\n\n%s\n\nRemedy: %s\nSeverity: %s, since %s\n",
		e.Code, e.Title, e.Text, e.Remedy, e.Severity, e.Since)
}

// Markdown returns a page with one section per entry.
func Markdown(title, intro string, entries []Entry) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n", title, intro)
	for _, e := range entries {
		fmt.Fprintf(&b, "\n## %s: %s\n\n%s\n\nRemedy: %s\n\nSeverity: %s. Since: %s.\n",
			e.Code, e.Title, e.Text, e.Remedy, e.Severity, e.Since)
	}
	return b.String()
}
