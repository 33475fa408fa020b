package command

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const statusText = "Exit status: 0 success, 1 failure, 2 usage error."

// writeOverview writes a list of all commands.
func writeOverview(w io.Writer) {
	fmt.Fprint(w, "lovagecrank dispatches sub-second tasks to endpoints.\n\nusage: lovagecrank COMMAND [flags] [arguments]\n\n")
	writeGroup(w, commands())
	fmt.Fprintf(w, "\n\"lovagecrank help COMMAND\" shows a command's flags and an example.\n%s\n", statusText)
}

// writeGroupHelp writes a list of the commands that share a first word.
func writeGroupHelp(w io.Writer, word string, group []command) {
	fmt.Fprintf(w, "usage: lovagecrank %s COMMAND [flags] [arguments]\n\n", word)
	writeGroup(w, group)
}

func writeGroup(w io.Writer, group []command) {
	t := tabwriter.NewWriter(w, 0, 0, 3, ' ', 0)
	for _, c := range group {
		fmt.Fprintf(t, "  %s\t%s\n", c.name, c.title)
	}
	t.Flush()
}

// writeHelp writes the help of one command.
func writeHelp(w io.Writer, c command) {
	fmt.Fprintf(w, "%s\n\nusage: %s\n\n%s\n", c.title, c.usage(), c.text)
	fs, _ := c.flagSet()
	heading := "\nFlags:\n"
	fs.VisitAll(func(f *flag.Flag) {
		fmt.Fprint(w, heading)
		heading = ""
		fmt.Fprintf(w, "  %s\n        %s\n", flagTitle(f), flagText(f))
	})
	fmt.Fprintf(w, "\nExample:\n  %s\n\n%s\n", c.example, statusText)
}

// flagTitle returns the flag with the name of its value, such as "-config FILE".
func flagTitle(f *flag.Flag) string {
	valueName, _ := flag.UnquoteUsage(f)
	return strings.TrimSpace("-" + f.Name + " " + valueName)
}

// flagText returns the usage text of a flag and its default, unless that is
// empty, false or 0s.
func flagText(f *flag.Flag) string {
	_, usage := flag.UnquoteUsage(f)
	if f.DefValue == "" || f.DefValue == "false" || f.DefValue == "0s" {
		return usage
	}
	return fmt.Sprintf("%s (default %s)", usage, f.DefValue)
}

// markdown returns docs/COMMANDS.md.
func markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Commands\n\nDerived from the table in package `command`. %s\nFlags go before arguments. `-h` after a command prints its help.\n", statusText)
	for _, c := range commands() {
		fmt.Fprintf(&b, "\n## %s\n\n%s.\n\n    %s\n\n%s\n", c.name, c.title, c.usage(), c.text)
		writeMarkdownFlags(&b, c)
		fmt.Fprintf(&b, "\nExample:\n\n    %s\n", c.example)
	}
	return b.String()
}

func writeMarkdownFlags(b *strings.Builder, c command) {
	fs, _ := c.flagSet()
	heading := "\n"
	fs.VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(b, "%s- `%s`: %s\n", heading, flagTitle(f), flagText(f))
		heading = ""
	})
}
