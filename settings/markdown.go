package settings

import (
	"fmt"
	"strings"
)

// intro is the start of docs/SETTINGS.md.
const intro = `The settings file is YAML. Every key is checked: unknown keys, keys that
are set twice and values out of range are errors, and ` + "`lovagecrank check`" + ` lists
all of them with file, line, key and remedy. This page writes keys with dots; in
the file, each part before a dot is a group, as in ` + "`examples/`" + `.`

// Markdown returns the content of docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Settings\n\n%s\n\n", intro)
	b.WriteString("| key | value | default | meaning |\n|---|---|---|---|\n")
	defaults := Default()
	for _, row := range table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", row.key, row.syntax, defaultOf(row, &defaults), row.meaning)
	}
	return b.String()
}

// defaultOf returns the text in the default column for a setting.
func defaultOf(row setting, defaults *Settings) string {
	if row.required {
		return "required"
	}
	v := row.format(defaults)
	if v == "" || v == "[]" {
		return "none"
	}
	return "`" + v + "`"
}
