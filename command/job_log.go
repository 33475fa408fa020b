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

// maxLineBytes limits the length of a log line. A line about a job names only
// its first tasks.
const maxLineBytes = 1 << 20

type (
	// logLine is one line of an instance's log.
	logLine struct {
		time, instance, code, event, subject, detail string
	}

	// logError is the error of a log file that cannot be read.
	logError struct {
		path string
		err  error
	}
)

func (e *logError) Error() string {
	return fmt.Sprintf("cannot read log %s: %v; give the files of all instances, separated by commas", e.path, e.err)
}

func (e *logError) Unwrap() error { return e.err }

// logfmtField matches one key and value of a logfmt line.
var logfmtField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// writeJobLog prints the log lines of all instances about a job, ordered by
// time.
func writeJobLog(w io.Writer, id string, paths []string) error {
	var lines []logLine
	for _, path := range paths {
		found, err := readLog(path, id)
		if err != nil {
			return &logError{path, err}
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line in these logs contains %q; check the id and that the logs of all instances are given", id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, l := range lines {
		fmt.Fprintf(w, "%s  %-20s %s %s: %s  %s\n", l.time, l.instance, l.code, l.event, l.subject, l.detail)
	}
	return nil
}

// readLog returns the lines of a log file that contain the id.
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

// parseLine parses a log line. It skips everything before the ts key, such as
// fields added by a log collector.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	for _, m := range logfmtField.FindAllStringSubmatch(text[start:], -1) {
		value := strings.Trim(m[2], `"`)
		switch m[1] {
		case "ts":
			l.time = value
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
