package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// Exit statuses.
const (
	statusOK         = 0
	statusFailed     = 1
	statusUsageError = 2
)

type (
	// streams are the standard streams of a command.
	streams struct {
		in       io.Reader
		out, err io.Writer
	}

	// usageError is an error in the command line, such as a missing flag.
	usageError struct{ message string }
)

func (m *usageError) Error() string { return m.message }

// Run runs the command that args name and returns the exit status: 0 for
// success, 1 for a failure and 2 for a usage error.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := streams{in: stdin, out: stdout, err: stderr}
	if len(args) == 0 {
		writeOverview(s.err)
		return statusUsageError
	}
	if isHelp(args[0]) {
		return help(s, args[1:])
	}
	c, rest, ok := findCommand(args)
	if !ok {
		return reportUnknown(s, args)
	}
	return c.execute(ctx, s, rest)
}

// execute parses the flags of one command and runs it.
func (c command) execute(ctx context.Context, s streams, args []string) int {
	fs, run := c.flagSet()
	fs.SetOutput(io.Discard)
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		writeHelp(s.out, c)
		return statusOK
	}
	if err != nil {
		fmt.Fprintf(s.err, "lovagecrank %s: %v\nRun \"lovagecrank help %s\" to list its flags.\n", c.name, err, c.name)
		return statusUsageError
	}
	if want := c.argumentCount(); fs.NArg() != want {
		fmt.Fprintf(s.err, "lovagecrank %s: got %d arguments, want %d; flags must precede arguments\nusage: %s\n", c.name, fs.NArg(), want, c.usage())
		return statusUsageError
	}
	return reportError(s, c, run(ctx, s, fs.Args()))
}

// reportError prints a command's error and returns the exit status.
func reportError(s streams, c command, err error) int {
	if err == nil {
		return statusOK
	}
	fmt.Fprintf(s.err, "lovagecrank %s: %v\n", c.name, err)
	var m *usageError
	if errors.As(err, &m) {
		return statusUsageError
	}
	return statusFailed
}

// help shows the help of the command or group that args name, or the overview
// without args.
func help(s streams, args []string) int {
	if len(args) == 0 {
		writeOverview(s.out)
		return statusOK
	}
	if c, _, ok := findCommand(args); ok {
		writeHelp(s.out, c)
		return statusOK
	}
	if group := commandsInGroup(args[0]); len(group) > 0 {
		writeGroupHelp(s.out, args[0], group)
		return statusOK
	}
	return reportUnknown(s, args)
}

// reportUnknown reports an unknown command. If args start with the name of a
// group, it shows the commands of that group.
func reportUnknown(s streams, args []string) int {
	group := commandsInGroup(args[0])
	if len(group) == 0 {
		fmt.Fprintf(s.err, "lovagecrank: unknown command %q; \"lovagecrank help\" lists all commands\n", args[0])
		return statusUsageError
	}
	if len(args) > 1 && isHelp(args[1]) {
		writeGroupHelp(s.out, args[0], group)
		return statusOK
	}
	if len(args) > 1 {
		fmt.Fprintf(s.err, "lovagecrank: unknown command %q\n", args[0]+" "+args[1])
	}
	writeGroupHelp(s.err, args[0], group)
	return statusUsageError
}

// isHelp reports whether the argument asks for help.
func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

// findCommand returns the command named by the first words of args and the
// remaining args.
func findCommand(args []string) (command, []string, bool) {
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(args) < len(words) {
			continue
		}
		if strings.Join(args[:len(words)], " ") == c.name {
			return c, args[len(words):], true
		}
	}
	return command{}, nil, false
}

// commandsInGroup returns the commands whose name starts with the word.
func commandsInGroup(word string) []command {
	var group []command
	for _, c := range commands() {
		if strings.HasPrefix(c.name, word+" ") {
			group = append(group, c)
		}
	}
	return group
}
