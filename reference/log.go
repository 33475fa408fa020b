package reference

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

type (
	// Job is a job as the log of an instance describes it.
	Job struct {
		ID    string
		Queue string
		// Priority is that of the queue; 0 is the most urgent.
		Priority int
		// Arrived is the time from the start of the log until the job arrived.
		Arrived time.Duration
		Tasks   int
		// Cores is what each task needs, Estimate its stated run time, and Goal how
		// long the job may take.
		Cores          float64
		Estimate, Goal time.Duration
		// Took is how long it took, and Answered reports that it is complete.
		Took     time.Duration
		Answered bool
		// Run is about the longest run time of its tasks; zero if unknown.
		Run time.Duration
	}

	// line is a line of the log about the end of a job.
	line struct {
		at     time.Duration
		fields map[string]string
	}
)

var (
	fieldPattern = regexp.MustCompile(`\b([a-z]+)=("[^"]*"|[^ ]+)`)
	startPattern = regexp.MustCompile(`\+([0-9.]+m?s)`)
)

// ReadLog returns the jobs in the output of a play, in the order of arrival. A line is
// preceded by its time in seconds. Jobs that were submitted several times count from
// their first arrival, with their last answer.
func ReadLog(r io.Reader) ([]Job, error) {
	jobs := map[string]Job{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Text())
		if !ok {
			continue
		}
		j, err := l.job()
		if err != nil {
			return nil, fmt.Errorf("line %q: %w; play the log with a build that describes jobs", scanner.Text(), err)
		}
		if first, again := jobs[j.ID]; again {
			end := j.Arrived + j.Took
			j.Arrived = min(j.Arrived, first.Arrived)
			j.Took = end - j.Arrived
		}
		jobs[j.ID] = j
	}
	list := make([]Job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b Job) int {
		if a.Arrived != b.Arrived {
			return int(a.Arrived - b.Arrived)
		}
		return strings.Compare(a.ID, b.ID)
	})
	return list, scanner.Err()
}

// parseLine returns a line about the end of a job; ok is false for other lines.
func parseLine(text string) (l line, ok bool) {
	at, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	seconds, err := strconv.ParseFloat(at, 64)
	head, detail, found := strings.Cut(rest, ` detail="`)
	if err != nil || !found || !strings.Contains(detail, " priority=") {
		return line{}, false
	}
	l = line{at: time.Duration(seconds * float64(time.Second)), fields: map[string]string{}}
	for _, m := range fieldPattern.FindAllStringSubmatch(head+" "+strings.TrimSuffix(detail, `"`), -1) {
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return l, true
}

func (l line) job() (Job, error) {
	j := Job{ID: l.fields["subject"], Queue: l.fields["queue"]}
	var err error
	number := func(name string) float64 {
		n, failure := strconv.ParseFloat(l.fields[name], 64)
		if failure != nil {
			err = fmt.Errorf("no %s", name)
		}
		return n
	}
	duration := func(name string) time.Duration {
		d, failure := time.ParseDuration(l.fields[name])
		if failure != nil {
			err = fmt.Errorf("no %s", name)
		}
		return d
	}
	j.Priority, j.Tasks, j.Cores = int(number("priority")), int(number("tasks")), number("cores")
	j.Estimate, j.Goal = duration("estimate"), duration("goal")
	j.Arrived = l.at
	if _, ended := l.fields["took"]; !ended {
		return j, err // refused when it arrived
	}
	j.Took = duration("took")
	j.Arrived -= j.Took
	j.Answered = l.fields["code"] == answeredCode
	if last := lastStart(l.fields["runs"]); j.Answered && last > 0 {
		j.Run = j.Took - last
	}
	return j, err
}

// answeredCode is the code of event.JobAnswered.
const answeredCode = "LC2069"

// lastStart returns when the last run started, from the arrival of the job.
func lastStart(runs string) time.Duration {
	last := time.Duration(0)
	for _, m := range startPattern.FindAllStringSubmatch(runs, -1) {
		if d, err := time.ParseDuration(m[1]); err == nil {
			last = max(last, d)
		}
	}
	return last
}
