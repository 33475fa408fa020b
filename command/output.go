package command

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
)

// The output formats.
const (
	textFormat format = "text"
	jsonFormat format = "json"
)

// format is an output format. It implements [flag.Value].
type format string

// outputFlag declares the -output flag and returns its value.
func outputFlag(fs *flag.FlagSet) *format {
	f := textFormat
	fs.Var(&f, "output", "print the output as `FORMAT`, text or json")
	return &f
}

// Set accepts text and json.
func (f *format) Set(s string) error {
	if s != string(textFormat) && s != string(jsonFormat) {
		return fmt.Errorf("must be text or json")
	}
	*f = format(s)
	return nil
}

func (f *format) String() string { return string(*f) }

// write writes the value as JSON or, in the text format, the text.
func (f *format) write(w io.Writer, value any, text string) error {
	if *f == textFormat {
		_, err := io.WriteString(w, text)
		return err
	}
	return writeJSON(w, value)
}

func writeJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
