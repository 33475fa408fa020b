package command

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

// maxLineBytes bounds a log line; a line of a job names its first tasks only.
const maxLineBytes = 1 << 20

type (
	// logLine is one line of an instance's log.
	logLine struct {
		at, instance, code, event, subject, detail string
	}

	// logError is a log file that can't be read.
	logError struct {
		path string
		err  error
	}
)

func (e *logError) Error() string {
	return fmt.Sprintf("log %s: %v; give the files of all instances, separated by commas", e.path, e.err)
}

func (e *logError) Unwrap() error { return e.err }

// field finds one key and value of a line in logfmt.
var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// writeStory prints what the instances' logs tell of a job, in order.
func writeStory(w io.Writer, id string, paths []string) error {
	var lines []logLine
	for _, path := range paths {
		found, err := readLog(path, id)
		if err != nil {
			return &logError{path, err}
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line of these logs names %q; check the id, and that the logs of all instances are given", id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		fmt.Fprintf(w, "%s  %-20s %s %s: %s  %s\n", l.at, l.instance, l.code, l.event, l.subject, l.detail)
	}
	return nil
}

// readLog returns the lines of a file that name the id.
func readLog(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if !strings.Contains(s.Text(), id) {
			continue
		}
		if l, ok := parseLine(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

// parseLine reads a line of a log. What stands before its time is left out.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	for _, m := range field.FindAllStringSubmatch(text[start:], -1) {
		value := strings.Trim(m[2], `"`)
		switch m[1] {
		case "ts":
			l.at = value
		case "instance":
			l.instance = value
		case "code":
			l.code = value
		case "event":
			l.event = value
		case "subject":
			l.subject = value
		case "detail":
			l.detail = value
		}
	}
	return l, l.code != ""
}
